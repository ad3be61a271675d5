#include "persimmonrail/feed/relayed_watch.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/objects/object_list_codec.h"

#include <Poco/URI.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <memory>

namespace persimmonrail {
namespace {

constexpr size_t membersPerRelay = 64;
constexpr milliseconds maxRelayWait{10000};
constexpr milliseconds connectTime{400};
constexpr milliseconds idleTime{5000};

struct changes_query
{
    feed_cursor cursor;
    uint64_t revision = 0;
    milliseconds wait{0};
};

std::string encodeQuery(const changes_query &query)
{
    return absl::StrCat(changesPath, "?feed=", query.cursor.feed,
                        "&position=", query.cursor.position, "&revision=", query.revision,
                        "&wait_ms=", query.wait.count());
}

absl::StatusOr<changes_query> parseQuery(const std::string &uri)
{
    std::map<std::string, uint64_t> numbers;
    try {
        for (const auto &[name, value] : Poco::URI(uri).getQueryParameters()) {
            if (!absl::SimpleAtoi(value, &numbers[name])) {
                return absl::InvalidArgumentError(absl::StrCat(name, " is no number"));
            }
        }
    } catch (const Poco::Exception &error) {
        return absl::InvalidArgumentError(error.displayText());
    }
    const auto wait = std::min<uint64_t>(numbers["wait_ms"], maxRelayWait.count());
    return changes_query{{numbers["feed"], numbers["position"]},
                         numbers["revision"],
                         milliseconds(static_cast<int64_t>(wait))};
}

absl::StatusOr<feed_changes> parseChanges(const std::string &text)
{
    return decodeJson(text, "changes",
                      [](const Poco::JSON::Object &object) -> absl::StatusOr<feed_changes> {
                          auto list = decodeObjectList(object);
                          if (!list.ok()) {
                              return list.status();
                          }
                          return feed_changes{std::move(*list),
                                              {object.getValue<uint64_t>("feed"),
                                               object.getValue<uint64_t>("position")}};
                      });
}

class relayed_watch
{
public:
    relayed_watch(object_api direct, relayed_watch_hooks hooks, relayed_watch_options options)
        : m_direct(std::move(direct))
        , m_hooks(std::move(hooks))
        , m_options(options)
        , m_client(std::make_shared<connection_pool>(
              connection_pool_options{1, 4, idleTime, idleTime, connectTime, false}))
    { }

    absl::StatusOr<object_list> watch(const std::string &prefix, uint64_t revision,
                                      milliseconds wait)
    {
        absl::Status failure;
        for (const std::string &address : m_hooks.relays()) {
            if (m_hooks.now() < m_pausedUntil[address]) {
                continue;
            }
            auto changes = askRelay(address, revision);
            if (changes.ok()) {
                follow(address, changes->cursor, failure);
                return std::move(changes->changes);
            }
            if (absl::IsOutOfRange(changes.status())) {
                follow(address, {}, failure);
                return changes.status();
            }
            failure = changes.status();
            m_pausedUntil[address] = m_hooks.now() + m_options.failurePause;
        }
        follow(storeSource, {}, failure);
        return watchStore(prefix, revision, wait);
    }

private:
    static constexpr char storeSource[] = "store";

    absl::StatusOr<feed_changes> askRelay(const std::string &address, uint64_t revision)
    {
        const feed_cursor cursor = address == m_source ? m_cursor : feed_cursor();
        const std::string uri = encodeQuery({cursor, revision, m_options.relayWait});
        const auto response =
            simpleRequest(m_client, address, "GET", uri, "",
                          m_hooks.now() + m_options.relayWait + m_options.responseSlack);
        if (!response.ok()) {
            return absl::UnavailableError(response.status().message());
        }
        return response->status == 200
            ? parseChanges(response->body)
            : absl::UnavailableError(absl::StrCat("relay answered ", response->status));
    }

    void follow(const std::string &source, const feed_cursor &cursor, const absl::Status &reason)
    {
        m_cursor = cursor;
        if (source != m_source) {
            m_source = source;
            m_hooks.onSource(source, reason);
        }
    }

    absl::StatusOr<object_list> watchStore(const std::string &prefix, uint64_t revision,
                                           milliseconds wait)
    {
        const auto sinceChange = m_hooks.now() - m_changedAt;
        if (sinceChange < m_options.minGap) {
            m_hooks.pause(std::chrono::duration_cast<milliseconds>(m_options.minGap - sinceChange));
        }
        auto changes = m_direct.watch(prefix, revision, std::min(wait, m_options.directWait));
        const steady_time now = m_hooks.now();
        if (changes.ok()) {
            m_hooks.onDirectResponse(now);
            if (!changes->objects.empty()) {
                m_changedAt = now;
            }
        }
        return changes;
    }

    const object_api m_direct;
    const relayed_watch_hooks m_hooks;
    const relayed_watch_options m_options;
    http_client m_client;
    std::string m_source;
    feed_cursor m_cursor;
    std::map<std::string, steady_time> m_pausedUntil;
    steady_time m_changedAt{};
};

} // namespace

std::vector<std::string> relaysFor(const fleet_directory &directory,
                                   std::string_view availabilityZone, const std::string &ownAddress)
{
    std::vector<const upstream_member *> candidates;
    for (const auto &[name, known] : directory.members()) {
        const upstream_member &member = known.member;
        if (member.availabilityZone == availabilityZone && !member.isTerminated
            && !member.isDraining) {
            candidates.push_back(&member);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto *a, const auto *b) { return hasMoreCapacity(*a, *b); });
    candidates.resize((candidates.size() + membersPerRelay - 1) / membersPerRelay);
    std::vector<std::string> members;
    members.reserve(candidates.size());
    for (const upstream_member *candidate : candidates) {
        members.push_back(candidate->peerAddress);
    }
    if (members.empty() || std::find(members.begin(), members.end(), ownAddress) != members.end()) {
        return {};
    }
    const size_t first = std::hash<std::string>()(ownAddress) % members.size();
    std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(first),
                members.end());
    return members;
}

object_api makeRelayedWatch(object_api direct, relayed_watch_hooks hooks,
                            relayed_watch_options options)
{
    object_api relayed = direct;
    const auto watch =
        std::make_shared<relayed_watch>(std::move(direct), std::move(hooks), options);
    relayed.watch = [watch](const std::string &prefix, uint64_t revision, milliseconds wait) {
        return watch->watch(prefix, revision, wait);
    };
    return relayed;
}

std::string serveChanges(change_feed &feed, const std::string &uri, steady_time now)
{
    const auto query = parseQuery(uri);
    if (!query.ok()) {
        return renderJson(encodeObjectList(query.status()));
    }
    const auto found = feed.changesAfter(query->cursor, query->revision, now, now + query->wait);
    if (!found.ok()) {
        return renderJson(encodeObjectList(found.status()));
    }
    Poco::JSON::Object object = encodeObjectList(found->changes);
    object.set("feed", found->cursor.feed);
    object.set("position", found->cursor.position);
    return renderJson(object);
}

} // namespace persimmonrail
