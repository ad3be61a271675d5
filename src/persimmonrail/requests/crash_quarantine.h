#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmonrail {

// Maximum number of bytes of a request body that enter the fingerprint.
inline constexpr size_t fingerprintBodyBytes = 64 * 1024;

// Computes the fingerprint of a request from its service, operation (method and target), key hash
// and the first fingerprintBodyBytes of its body. Daemons exchange fingerprints, so the hash
// function must not change between versions. This class is not thread-safe.
class fingerprint_builder
{
public:
    fingerprint_builder(std::string_view service, std::string_view method, std::string_view target,
                        uint64_t keyHash);

    // Adds the next bytes of the body. Bytes beyond fingerprintBodyBytes are ignored.
    void addBody(std::string_view chunk);
    // Returns whether further bytes of the body would be ignored.
    bool isFull() const { return m_bodyBytes == fingerprintBodyBytes; }
    // Returns the fingerprint of the bytes added so far.
    uint64_t value() const;

private:
    void addBytes(std::string_view bytes);

    uint64_t m_hash;
    size_t m_bodyBytes = 0;
};

// Number of parts of a strike. A crash counts as one strike if only one request was in flight, and
// as sharedStrikeParts for each of several suspects.
inline constexpr uint32_t partsPerStrike = 12;
inline constexpr uint32_t sharedStrikeParts = 8;

struct crash_quarantine_options
{
    // Requests with a fingerprint that has at least this many strikes are rejected: after two
    // crashes as the only suspect, or three as one of several.
    uint32_t strikesToReject = 2;
    // The strikes of a fingerprint expire at this time after the newest one.
    std::chrono::seconds entryLifetime{600};
    // Entries that expire within this time are neither sent nor accepted. The transit time makes an
    // entry appear younger at each daemon, and could otherwise keep the entry from ever expiring.
    std::chrono::seconds minRemainingLifetime{60};
    // Maximum time between the loss of a connection and the detection of the crash, in either
    // order. This time covers the validity of an announcement of the upstream (3 s) and the
    // interval at which the validity is checked.
    milliseconds connectionLossWindow{5000};
    // Maximum number of fingerprints.
    size_t maxEntries = 1024;
    // Maximum number of crashes that are kept for one fingerprint. More don't change the decision.
    size_t maxCrashesPerEntry = 8;
    // Maximum number of requests with lost connections that are recorded until a crash is detected.
    size_t maxLostRequests = 256;
};

// Finds out which requests crash upstreams, and rejects them. Each crash of an upstream adds a
// strike to the fingerprints that were in flight there; the crashes that different daemons have
// seen add up. A complete response to a request clears its fingerprint, since an upstream has
// survived it. A busy upstream takes many requests with it, so the number of suspects doesn't
// weaken the evidence further: a request that was in flight at three crashes and got no response in
// between is rejected. A lost connection without a crash adds no strike, nor does a crash without a
// lost connection. This class is thread-safe.
class crash_quarantine
{
public:
    // Identifies one dispatched request.
    using run_id = uint64_t;
    // How a dispatched request ended.
    enum class run_end {
        // The request was not dispatched, was rejected by the upstream, or was abandoned.
        Regular,
        // The complete response arrived.
        Responded,
        // The connection to the upstream was lost before the complete response had arrived.
        ConnectionLost,
    };
    // One piece of evidence, as daemons exchange it.
    struct entry
    {
        uint64_t fingerprint = 0;
        // Identifies the crash, that is, the incarnation of the upstream that ended. Meaningless
        // without strikes.
        uint64_t crash = 0;
        // In parts of a strike; see partsPerStrike. 0 marks a complete response, which clears the
        // strikes before it.
        uint32_t strikes = 0;
        // Time since the crash or the response.
        milliseconds age{0};

        bool operator==(const entry &) const = default;
    };

    explicit crash_quarantine(const crash_quarantine_options &options = {});

    // Returns the time for which requests with this fingerprint are still rejected, or std::nullopt
    // if they are accepted.
    std::optional<milliseconds> remainingRejectionTime(uint64_t fingerprint, steady_time now) const;
    // Returns whether any fingerprint is rejected. If no fingerprint is rejected, a request
    // can be dispatched before its body has arrived.
    bool rejectsAny(steady_time now) const;

    // Records the dispatch of a request; end() must follow.
    run_id begin();
    // Records the end of a request. `fingerprint` is absent if the connection was lost before
    // enough of the body was sent to compute the fingerprint. An unknown `run` is ignored.
    void end(run_id run, std::optional<uint64_t> fingerprint, run_end endKind, steady_time now);
    // Records a crash of the upstream, that is, an end that the upstream had not announced. `crash`
    // identifies the incarnation that has ended. Requests that lost their connections within the
    // last connectionLossWindow are suspects. Requests that still run become suspects if they lose
    // their connections within connectionLossWindow from now. Returns the number of suspects.
    size_t recordCrash(uint64_t crash, steady_time now);

    // Returns at most `limit` entries to send to another daemon, those of the fingerprints with the
    // most strikes first.
    std::vector<entry> entries(size_t limit, steady_time now) const;
    // Merges entries of another daemon. Known crashes keep their times.
    void merge(const std::vector<entry> &entries, steady_time now);
    // Returns the number of fingerprints, including expired ones that have not been removed yet.
    size_t size() const;

private:
    struct strike
    {
        uint32_t parts = 0;
        steady_time crashedAt;
    };
    struct suspect_record
    {
        // By crash.
        std::map<uint64_t, strike> strikes;
        // The latest complete response since the first strike; nullopt if there was none. An empty
        // optional is less than any time.
        std::optional<steady_time> respondedAt;
    };
    struct lost_request
    {
        std::optional<uint64_t> fingerprint;
        steady_time lostAt;
    };
    struct running_request
    {
        // The strike that the fingerprint gets if the request loses its connection before
        // `suspectUntil`.
        uint64_t crash = 0;
        uint32_t strikeParts = 0;
        steady_time suspectUntil;
    };

    // Returns the sum of the strikes since the latest response, in parts; 0 if the record has
    // expired.
    uint32_t strikeParts(const suspect_record &record, steady_time now) const;
    bool isRejected(const suspect_record &record, steady_time now) const;
    // Returns the time of the newest strike; the epoch if there is none.
    static steady_time newestStrike(const suspect_record &record);
    void addStrike(uint64_t fingerprint, uint64_t crash, const strike &added, steady_time now);
    void recordResponse(uint64_t fingerprint, steady_time respondedAt);
    suspect_record &findOrCreateRecord(uint64_t fingerprint, steady_time now);

    const crash_quarantine_options m_options;
    mutable std::mutex m_mutex;
    run_id m_nextRun = 1;
    std::map<run_id, running_request> m_running;
    std::list<lost_request> m_lostRequests;
    std::unordered_map<uint64_t, suspect_record> m_records;
};

} // namespace persimmonrail
