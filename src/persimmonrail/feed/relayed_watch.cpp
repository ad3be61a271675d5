#include "persimmonrail/feed/relayed_watch.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/objects/object_list_codec.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <memory>

namespace persimmonrail {
namespace {

// Maximum number of members that share a relay.
constexpr size_t membersPerRelay = 64;
// Limit of the wait that a follower can request.
constexpr milliseconds maxWait{10000};
// Longest age that a relay may state, in either direction.
constexpr milliseconds maxAge{3'600'000};
constexpr milliseconds connectTimeout{400};
constexpr milliseconds idleTimeout{5000};

// Query of a request for changesPath.
struct changes_query
{
    feed_cursor cursor;
    uint64_t revision = 0;
    milliseconds wait{0};
};

Poco::JSON::Array encodeNotices(const std::vector<change_notice> &notices)
{
    Poco::JSON::Array array;
    for (const change_notice &notice : notices) {
        Poco::JSON::Object object;
        object.set("prefix", notice.prefix);
        object.set("version", notice.version);
        object.set("age_ms", notice.age.count());
        array.add(object);
    }
    return array;
}

// The age counts from the request, so it is negative if the store responded while the relay waited.
// Throws a Poco::Exception if the member is missing or of another type.
milliseconds parseAge(const Poco::JSON::Object &object)
{
    const milliseconds age{integerMember<int64_t>(object, "age_ms")};
    return std::clamp(age, -maxAge, maxAge);
}

// Returns nothing if the member is missing, as in responses of daemons that send no notices. Throws
// a Poco::Exception if a notice is malformed.
std::vector<change_notice> parseNotices(const Poco::JSON::Object &object)
{
    std::vector<change_notice> notices;
    const Poco::JSON::Array::Ptr array = object.getArray("notices");
    for (size_t i = 0; array && i < array->size(); ++i) {
        const Poco::JSON::Object::Ptr notice = array->getObject(i);
        if (notice) {
            notices.push_back({textMember(*notice, "prefix"),
                               integerMember<uint64_t>(*notice, "version"), parseAge(*notice)});
        }
    }
    return notices;
}

std::string encodeQuery(const changes_query &query)
{
    return absl::StrCat(changesPath, "?feed=", query.cursor.feed,
                        "&position=", query.cursor.position, "&revision=", query.revision,
                        "&wait_ms=", query.wait.count());
}

// Parses the query of `uri`; absent parameters are 0. Errors: InvalidArgument.
absl::StatusOr<changes_query> parseQuery(const std::string &uri)
{
    std::map<std::string, uint64_t> parameters;
    try {
        for (const auto &[name, value] : Poco::URI(uri).getQueryParameters()) {
            const bool isRepeated = parameters.contains(name);
            if (isRepeated || !absl::SimpleAtoi(value, &parameters[name])) {
                return absl::InvalidArgumentError(
                    absl::StrCat(name, " must be one unsigned integer"));
            }
        }
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(error.displayText());
    }
    const auto wait = std::min<uint64_t>(parameters["wait_ms"], maxWait.count());
    return changes_query{{parameters["feed"], parameters["position"]},
                         parameters["revision"],
                         milliseconds(static_cast<int64_t>(wait))};
}

absl::StatusOr<feed_changes> parseChanges(const std::string &text)
{
    return decodeJson(
        text, "changes", [](const Poco::JSON::Object &object) -> absl::StatusOr<feed_changes> {
            auto list = decodeObjectList(object);
            if (!list.ok()) {
                return list.status();
            }
            list->age = object.has("age_ms") ? std::optional(parseAge(object)) : std::nullopt;
            return feed_changes{std::move(*list),
                                {integerMember<uint64_t>(object, "feed"),
                                 integerMember<uint64_t>(object, "position")},
                                parseNotices(object)};
        });
}

// Watches the store through a relay or directly. Used by one thread at a time.
class relayed_watch
{
public:
    relayed_watch(object_api store, relayed_watch_hooks hooks, relayed_watch_options options)
        : m_store(std::move(store))
        , m_hooks(std::move(hooks))
        , m_options(options)
        , m_client(std::make_shared<connection_pool>(
              connection_pool_options{1, 4, idleTimeout, idleTimeout, connectTimeout, false}))
    { }

    absl::StatusOr<object_list> watch(const std::string &prefix, uint64_t revision,
                                      milliseconds wait)
    {
        absl::Status failure;
        for (const std::string &address : m_hooks.relays()) {
            if (m_hooks.now() < m_retryAt[address]) {
                continue;
            }
            auto changes = fetchChanges(address, revision);
            if (changes.ok()) {
                updateSource(address, changes->cursor, failure);
                return std::move(changes->changes);
            }
            if (absl::IsOutOfRange(changes.status())) {
                updateSource(address, {}, failure);
                return changes.status();
            }
            failure = changes.status();
            m_retryAt[address] = m_hooks.now() + m_options.relayRetryDelay;
        }
        updateSource(storeSource, {}, failure);
        return watchStore(prefix, revision, wait);
    }

private:
    // Requests the changes after the cursor if the relay is the current source, otherwise those
    // after `revision`. Errors: OutOfRange if the store must be listed.
    absl::StatusOr<feed_changes> fetchChanges(const std::string &address, uint64_t revision)
    {
        const feed_cursor cursor = address == m_source ? m_cursor : feed_cursor();
        const std::string uri = encodeQuery({cursor, revision, m_options.relayWaitTimeout});
        const boot_time sentAt = bootNow();
        const auto response =
            simpleRequest(m_client, address, "GET", uri, "",
                          m_hooks.now() + m_options.relayWaitTimeout + m_options.responseTimeout);
        if (!response.ok()) {
            return absl::UnavailableError(response.status().message());
        }
        if (response->status != 200) {
            return absl::UnavailableError(
                absl::StrCat("the relay responded with status ", response->status));
        }
        auto changes = parseChanges(response->body);
        if (changes.ok() && m_hooks.onNotice) {
            for (const change_notice &notice : changes->notices) {
                m_hooks.onNotice(notice, sentAt);
            }
        }
        return changes;
    }

    // Sets the source and the cursor of the next request and reports a change of the source.
    void updateSource(const std::string &source, const feed_cursor &cursor,
                      const absl::Status &reason)
    {
        m_cursor = cursor;
        if (source != m_source) {
            m_source = source;
            m_hooks.onSourceChanged(source, reason);
        }
    }

    absl::StatusOr<object_list> watchStore(const std::string &prefix, uint64_t revision,
                                           milliseconds wait)
    {
        const auto sinceChange = m_hooks.now() - m_lastChangeAt;
        if (sinceChange < m_options.minStoreWatchInterval) {
            m_hooks.pause(std::chrono::duration_cast<milliseconds>(m_options.minStoreWatchInterval
                                                                   - sinceChange));
        }
        auto changes = m_store.watch(prefix, revision, std::min(wait, m_options.storeWaitTimeout));
        const steady_time now = m_hooks.now();
        if (changes.ok() && !changes->objects.empty()) {
            m_lastChangeAt = now;
        }
        return changes;
    }

    const object_api m_store;
    const relayed_watch_hooks m_hooks;
    const relayed_watch_options m_options;
    http_client m_client;
    // Address of the relay that responded last, or storeSource; empty before the first watch.
    std::string m_source;
    feed_cursor m_cursor;
    // Time from which each relay that has failed may be asked again.
    std::map<std::string, steady_time> m_retryAt;
    // Time of the latest response of the store that contained changes.
    steady_time m_lastChangeAt{};
};

} // namespace

std::vector<std::string> selectRelayAddresses(const fleet_directory &directory,
                                              std::string_view availabilityZone,
                                              const std::string &ownAddress)
{
    std::vector<const upstream_member *> candidates;
    for (const auto &[name, entry] : directory.members()) {
        const upstream_member &member = entry.member;
        if (member.availabilityZone == availabilityZone && !member.isTerminated
            && !entry.isRecordedAsDraining) {
            candidates.push_back(&member);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto *a, const auto *b) { return hasMoreCapacity(*a, *b); });
    candidates.resize((candidates.size() + membersPerRelay - 1) / membersPerRelay);
    std::vector<std::string> addresses;
    addresses.reserve(candidates.size());
    for (const upstream_member *candidate : candidates) {
        addresses.push_back(candidate->peerAddress);
    }
    if (addresses.empty()
        || std::find(addresses.begin(), addresses.end(), ownAddress) != addresses.end()) {
        return {};
    }
    const size_t offset = std::hash<std::string>()(ownAddress) % addresses.size();
    std::rotate(addresses.begin(), addresses.begin() + static_cast<std::ptrdiff_t>(offset),
                addresses.end());
    return addresses;
}

object_api makeRelayedWatch(object_api store, relayed_watch_hooks hooks,
                            relayed_watch_options options)
{
    object_api relayed = store;
    const auto watch = std::make_shared<relayed_watch>(std::move(store), std::move(hooks), options);
    relayed.watch = [watch](const std::string &prefix, uint64_t revision, milliseconds wait) {
        return watch->watch(prefix, revision, wait);
    };
    return relayed;
}

std::string serveChanges(change_feed &feed, const std::string &uri, boot_time arrivedAt,
                         steady_time now)
{
    const auto query = parseQuery(uri);
    if (!query.ok()) {
        return renderJson(encodeObjectList(query.status()));
    }
    const auto changes =
        feed.changesAfter(query->cursor, query->revision, arrivedAt, now + query->wait);
    if (!changes.ok()) {
        return renderJson(encodeObjectList(changes.status()));
    }
    Poco::JSON::Object object = encodeObjectList(changes->changes);
    object.set("feed", changes->cursor.feed);
    object.set("position", changes->cursor.position);
    object.set("notices", encodeNotices(changes->notices));
    if (const auto age = changes->changes.age) {
        // 0 would stand for a response of the store itself.
        object.set("age_ms", age->count() == 0 ? 1 : age->count());
    }
    return renderJson(object);
}

} // namespace persimmonrail
