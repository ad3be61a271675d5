#include "persimmonrail/router/store_proxy.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/objects/object_list_codec.h"

#include <algorithm>

namespace persimmonrail {
namespace {

struct store_call
{
    std::string operation;
    // Key of the object, or prefix of the keys to be listed.
    std::string key;
    // Version that a put expects; unused otherwise.
    uint64_t version = 0;
    std::string value;
};

std::string encodeCall(const store_call &call)
{
    Poco::JSON::Object object;
    object.set("operation", call.operation);
    object.set("key", call.key);
    object.set("version", call.version);
    object.set("value", call.value);
    return renderJson(object);
}

absl::StatusOr<store_call> decodeCall(std::string_view text)
{
    return decodeJson(
        text, "store call", [](const Poco::JSON::Object &object) -> absl::StatusOr<store_call> {
            return store_call{textMember(object, "operation"), textMember(object, "key"),
                              integerMember<uint64_t>(object, "version"),
                              textMember(object, "value")};
        });
}

std::string encodeResponse(const absl::StatusOr<object_list> &result)
{
    return renderJson(encodeObjectList(result));
}

// Returns whether the same call may succeed through another daemon: the store was not reached, or
// it rejected the call because the permitted rate is exceeded.
bool mayRetryElsewhere(const absl::Status &status)
{
    return absl::IsUnavailable(status) || absl::IsResourceExhausted(status);
}

// Calls the store directly, and through other daemons while the direct path fails.
class store_with_fallback
{
public:
    store_with_fallback(object_api direct, store_proxy_hooks hooks, store_proxy_options options)
        : m_direct(std::move(direct))
        , m_hooks(std::move(hooks))
        , m_options(options)
        , m_client(std::make_shared<connection_pool>(connection_pool_options{
              2, 32, milliseconds(5000), milliseconds(1000), milliseconds(400), false}))
    { }

    absl::StatusOr<stored_object> get(const std::string &key)
    {
        return callWithFallback<stored_object>(
            [&] { return m_direct.get(key); }, {"get", key, 0, ""},
            [](const object_list &list) -> absl::StatusOr<stored_object> {
                return list.objects.empty() ? absl::InternalError("peer returned no object")
                                            : absl::StatusOr<stored_object>(list.objects.front());
            });
    }

    absl::StatusOr<uint64_t> put(const std::string &key, uint64_t version, const std::string &value)
    {
        return callWithFallback<uint64_t>(
            [&] { return m_direct.put(key, version, value); }, {"put", key, version, value},
            [](const object_list &list) -> absl::StatusOr<uint64_t> { return list.revision; });
    }

    absl::StatusOr<object_list> list(const std::string &prefix)
    {
        return callWithFallback<object_list>(
            [&] { return m_direct.list(prefix); }, {"list", prefix, 0, ""},
            [](const object_list &list) -> absl::StatusOr<object_list> { return list; });
    }

private:
    bool canTryDirect()
    {
        const std::lock_guard lock(m_mutex);
        return m_hooks.now() >= m_nextDirectAttemptAt;
    }

    void recordDirectResult(const absl::Status &status)
    {
        const bool isDirectPathUp = !mayRetryElsewhere(status);
        bool changed = false;
        {
            const std::lock_guard lock(m_mutex);
            changed = isDirectPathUp != m_isDirectPathUp;
            m_isDirectPathUp = isDirectPathUp;
            m_nextDirectAttemptAt =
                isDirectPathUp ? steady_time{} : m_hooks.now() + m_options.directRetryDelay;
        }
        if (changed) {
            m_hooks.onPathChange(isDirectPathUp, status);
        }
    }

    template <typename Value, typename Direct, typename Extract>
    absl::StatusOr<Value> callWithFallback(const Direct &direct, const store_call &call,
                                           const Extract &extract)
    {
        absl::Status failure =
            absl::UnavailableError("the direct path to the store is unavailable");
        if (canTryDirect()) {
            auto response = direct();
            recordDirectResult(response.status());
            if (!mayRetryElsewhere(response.status())) {
                return response;
            }
            failure = response.status();
        }
        const std::vector<std::string> peers = m_hooks.peers();
        const size_t count = std::min(peers.size(), static_cast<size_t>(m_options.maxPeers));
        for (size_t i = 0; i < count; ++i) {
            const auto response = callPeer(peers[i], call);
            if (response.ok()) {
                return extract(*response);
            }
            if (!mayRetryElsewhere(response.status())) {
                return response.status();
            }
        }
        return failure;
    }

    absl::StatusOr<object_list> callPeer(const std::string &address, const store_call &call)
    {
        // The HTTP client measures deadlines by the real clock, also when a test replaces
        // m_hooks.now().
        const auto response =
            simpleRequest(m_client, address, "POST", storeProxyPath, encodeCall(call),
                          std::chrono::steady_clock::now() + m_options.peerTimeout);
        if (!response.ok()) {
            // An Unknown error of a write is returned, because the write may have taken effect. All
            // other errors of the request become Unavailable, so that the call is sent to the next
            // peer.
            return call.operation == "put" && absl::IsUnknown(response.status())
                ? response.status()
                : absl::UnavailableError(response.status().message());
        }
        if (response->status != 200) {
            return absl::UnavailableError(
                absl::StrCat("peer responded with status ", response->status));
        }
        return decodeJson(response->body, "store response", decodeObjectList);
    }

    const object_api m_direct;
    const store_proxy_hooks m_hooks;
    const store_proxy_options m_options;
    http_client m_client;
    std::mutex m_mutex;
    bool m_isDirectPathUp = true;
    steady_time m_nextDirectAttemptAt{};
};

} // namespace

object_api makeProxiedStore(object_api direct, store_proxy_hooks hooks, store_proxy_options options)
{
    object_api proxied = direct;
    const auto store =
        std::make_shared<store_with_fallback>(std::move(direct), std::move(hooks), options);
    proxied.get = [store](const std::string &key) { return store->get(key); };
    proxied.put = [store](const std::string &key, uint64_t version, const std::string &value) {
        return store->put(key, version, value);
    };
    proxied.list = [store](const std::string &prefix) { return store->list(prefix); };
    return proxied;
}

std::string serveStoreProxy(const object_api &direct, std::string_view body)
{
    const auto call = decodeCall(body);
    if (!call.ok()) {
        return encodeResponse(call.status());
    }
    if (call->operation == "get") {
        const auto object = direct.get(call->key);
        // The revision of the response to a get is unused.
        return encodeResponse(object.ok() ? absl::StatusOr<object_list>(object_list{0, {*object}})
                                          : object.status());
    }
    if (call->operation == "put") {
        const auto version = direct.put(call->key, call->version, call->value);
        // The response to a put contains the new version as the revision of an empty list.
        return encodeResponse(version.ok() ? absl::StatusOr<object_list>(object_list{*version, {}})
                                           : version.status());
    }
    if (call->operation == "list") {
        return encodeResponse(direct.list(call->key));
    }
    return encodeResponse(absl::InvalidArgumentError("unknown operation"));
}

} // namespace persimmonrail
