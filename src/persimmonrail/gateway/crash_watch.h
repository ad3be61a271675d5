#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/upstream/upstream_client.h"

#include <optional>
#include <string>

namespace persimmonrail {

// Connects one hand-over with the crash quarantine: supplies the body and computes the request's
// fingerprint from it on the way. Used by one thread.
class crash_watch : public body_source
{
public:
    static constexpr std::string_view refusalReason = "quarantined";

    // Without a quarantine the watch only passes the body on.
    crash_watch(crash_quarantine *quarantine, server_exchange &exchange, std::string service,
                uint64_t keyHash);
    crash_watch(const crash_watch &) = delete;
    crash_watch &operator=(const crash_watch &) = delete;
    ~crash_watch() override;

    // Whether the request must not be handed over. Reads ahead in the body, until `deadline` at
    // most, if any fingerprint is quarantined; a body that breaks off is refused too.
    std::optional<admission_refusal> refusal(steady_time deadline, steady_time now);
    // Note the hand-over and its end. An end that is missing counts as regular.
    void begin();
    void end(const dispatch_result &result, steady_time now);

    body_framing framing() const override { return m_exchange.framing(); }
    io_status read(std::string &piece, steady_time until) override;
    bool rewind() override;

private:
    fingerprint_builder startFingerprint() const;
    // Nothing until enough of the body has passed.
    std::optional<uint64_t> fingerprint() const;

    crash_quarantine *const m_quarantine;
    server_exchange &m_exchange;
    const std::string m_service;
    const uint64_t m_keyHash;
    fingerprint_builder m_builder;
    uint64_t m_bodyBytes = 0;
    bool m_bodyEnded = false;
    std::optional<crash_quarantine::run_id> m_run;
};

} // namespace persimmonrail
