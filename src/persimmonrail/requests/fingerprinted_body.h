#pragma once

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/requests/crash_quarantine.h"

#include <optional>

namespace persimmonrail {

// Supplies the body of one request to the local upstream. Computes the fingerprint of the request
// while the body is read, and reports the dispatch to the crash quarantine. Not thread safe.
class fingerprinted_body : public body_source
{
public:
    // Result of checkQuarantine().
    struct admission
    {
        enum class verdict {
            Accepted,
            // Requests with this fingerprint are rejected for `rejectionTime`.
            Quarantined,
            // The framing of the body is invalid.
            MalformedBody,
            // The body did not arrive by the deadline, or the requester closed the connection.
            IncompleteBody,
        };
        verdict decision = verdict::Accepted;
        milliseconds rejectionTime{0};
    };

    // `head` has the fingerprint of the request without its body. If `quarantine` is null, the
    // object only passes the body on. `quarantine` and `exchange` must outlive it.
    fingerprinted_body(crash_quarantine *quarantine, server_exchange &exchange,
                       const fingerprint_builder &head);
    fingerprinted_body(const fingerprinted_body &) = delete;
    fingerprinted_body &operator=(const fingerprinted_body &) = delete;
    ~fingerprinted_body() override;

    // Returns whether the request may be dispatched. If any fingerprint is quarantined, reads ahead
    // in the body until `deadline` at most.
    admission checkQuarantine(steady_time deadline, steady_time now);
    // Reports the start of the dispatch to the quarantine.
    void recordDispatch();
    // Reports the end of the dispatch. If this function is not called, the destructor reports a
    // regular end.
    void recordEnd(crash_quarantine::run_end endKind, steady_time now);
    // Returns the fingerprint; nullopt until the whole body or its first fingerprintBodyBytes have
    // been read.
    std::optional<uint64_t> fingerprint() const;

    body_framing framing() const override { return m_exchange.framing(); }
    io_status read(std::string &piece, steady_time until) override;
    bool rewind() override;

private:
    crash_quarantine *const m_quarantine;
    server_exchange &m_exchange;
    const fingerprint_builder m_head;
    fingerprint_builder m_builder;
    uint64_t m_bodyBytes = 0;
    bool m_bodyEnded = false;
    std::optional<crash_quarantine::run_id> m_run;
};

} // namespace persimmonrail
