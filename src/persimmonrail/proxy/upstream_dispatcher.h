#pragma once

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/exchange_codec.h"
#include "persimmonrail/proxy/proxy_types.h"
#include "persimmonrail/proxy/slot_gate.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// The upstream beside this daemon as a request sees it.
struct local_target
{
    upstream_id id;
    std::string service;
    // "ip:port".
    std::string address;
    // Why it takes no work; None if it does.
    proxy_reason closed = proxy_reason::None;
    // The same for keys that it still holds: they are served until they have moved, as long as the
    // platform lets a leaving upstream work.
    proxy_reason closedForKeys = proxy_reason::None;
};

// Hooks into the state of the daemon; all are thread safe, none blocks.
struct upstream_dispatcher_hooks
{
    std::function<local_target()> local;
    // Whether the upstream holds the key at this moment.
    std::function<bool(shard_key key)> mayServe;
    // Counts a request for the key, for the balance of ranges.
    std::function<void(shard_key key)> countKey;
    // A connection was refused: no process listens at the address.
    std::function<void(const upstream_id &id)> onRefusedConnection;
    std::function<void(const upstream_id &id)> onResponse;
};

// Hands requests to the upstream beside this daemon. Thread safe; each request runs on the thread
// of its connection.
class upstream_dispatcher
{
public:
    upstream_dispatcher(exchange_codec codec, upstream_dispatcher_hooks hooks);

    // `exchange` supplies the body and is watched for the requester's departure; the answer goes to
    // `sink`.
    proxy_result dispatch(const proxied_request &request, server_exchange &exchange,
                          response_sink &sink);
    queue_report queue() const { return m_gate.report(); }
    void setSlots(int slots) { m_gate.setSlots(slots); }
    // The upstream that takes requests now.
    local_target local() const { return m_hooks.local(); }
    // Closes idle connections to an address, since another process may listen there.
    void dropConnections(const std::string &address) { m_pool->closeIdle(address); }

private:
    // Why the request can't be handed over now; None if it can.
    proxy_reason refusal(const proxied_request &request, const local_target &target) const;
    proxy_result dispatchTo(const proxied_request &request, const local_target &target,
                            server_exchange &exchange, response_sink &sink);

    const exchange_codec m_codec;
    const upstream_dispatcher_hooks m_hooks;
    slot_gate m_gate;
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
};

} // namespace persimmonrail
