#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/upstream/upstream_client.h"

#include <optional>
#include <string>

namespace persimmonrail {

// Supplies the body of one request to the local upstream. Computes the fingerprint of the request
// while the body is read, and reports the dispatch to the crash quarantine. Not thread safe.
class fingerprinted_body : public body_source
{
public:
    // Reason of the rejection of a request whose fingerprint is quarantined.
    static constexpr std::string_view quarantinedReason = "quarantined";

    // If `quarantine` is null, the object only passes the body on. `quarantine` and `exchange` must
    // outlive it.
    fingerprinted_body(crash_quarantine *quarantine, server_exchange &exchange, std::string service,
                       uint64_t keyHash);
    fingerprinted_body(const fingerprinted_body &) = delete;
    fingerprinted_body &operator=(const fingerprinted_body &) = delete;
    ~fingerprinted_body() override;

    // Returns a rejection if the request must not be dispatched, nullopt otherwise. If any
    // fingerprint is quarantined, reads ahead in the body until `deadline` at most; a malformed or
    // incomplete body is rejected too.
    std::optional<admission_rejection> checkQuarantine(steady_time deadline, steady_time now);
    // Reports the start of the dispatch to the quarantine.
    void recordDispatch();
    // Reports the end of the dispatch. If this function is not called, the destructor reports a
    // regular end.
    void recordEnd(const dispatch_result &result, steady_time now);

    body_framing framing() const override { return m_exchange.framing(); }
    io_status read(std::string &piece, steady_time until) override;
    bool rewind() override;

private:
    fingerprint_builder startFingerprint() const;
    // Returns nullopt until the whole body or its first fingerprintBodyBytes have been read.
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
