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

// Number of parts of a strike. A crash counts as one strike, which is shared equally by its
// suspects; 12 parts can be divided equally among 1 to 4 suspects.
inline constexpr uint32_t partsPerStrike = 12;

struct crash_quarantine_options
{
    // Requests with a fingerprint that has at least this many strikes are rejected.
    uint32_t strikesToReject = 2;
    // A crash with more suspects than this adds no strikes, because the crash is too little
    // evidence against each of them.
    size_t maxSuspects = 4;
    // An entry expires at this time after its newest strike.
    std::chrono::seconds entryLifetime{600};
    // Entries that expire within this time are neither sent nor accepted. The transit time makes an
    // entry appear younger at each daemon, and could otherwise keep the entry from ever expiring.
    std::chrono::seconds minRemainingLifetime{60};
    // Maximum time between the loss of a connection and the detection of the crash, in either
    // order. This time covers the validity of an announcement of the upstream (3 s) and the
    // interval at which the validity is checked.
    milliseconds connectionLossWindow{5000};
    size_t maxEntries = 1024;
    // Maximum number of requests with lost connections that are recorded until a crash is detected.
    size_t maxLostRequests = 256;
};

// Counts strikes against the fingerprints of requests that were running when the upstream crashed,
// and rejects requests whose fingerprint has too many strikes. A lost connection without a crash
// adds no strike, nor does a crash without a lost connection. This class is thread-safe.
class crash_quarantine
{
public:
    // Identifies one dispatched request.
    using run_id = uint64_t;
    // How a dispatched request ended.
    enum class run_end {
        // A response arrived, the request was not dispatched, or the request was abandoned.
        Regular,
        // The connection to the upstream was lost before the complete response had arrived.
        ConnectionLost,
    };
    // The strikes of one fingerprint, as daemons exchange them.
    struct entry
    {
        uint64_t fingerprint = 0;
        // In parts of a strike; see partsPerStrike.
        uint32_t strikes = 0;
        // Time since the newest strike.
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
    // Records a crash of the upstream: the upstream has restarted under another boot id, or its
    // announcement has expired. Requests that lost their connections within the last
    // connectionLossWindow are suspects. Requests that still run become suspects if they lose their
    // connections within connectionLossWindow from now. Returns the number of suspects.
    size_t recordCrash(steady_time now);

    // Returns at most `limit` entries to send to another daemon, those with the most strikes first.
    std::vector<entry> entries(size_t limit, steady_time now) const;
    // Merges entries of another daemon. For each fingerprint, the entry with more strikes is kept.
    void merge(const std::vector<entry> &entries, steady_time now);
    // Returns the number of entries, including expired entries that have not been removed yet.
    size_t size() const;

private:
    struct strike_record
    {
        // In parts of a strike; see partsPerStrike.
        uint32_t strikeParts = 0;
        steady_time lastStrike;
    };
    struct lost_request
    {
        std::optional<uint64_t> fingerprint;
        steady_time lostAt;
    };
    struct running_request
    {
        // Parts of a strike that are added to the fingerprint if the request loses its connection
        // before `suspectUntil`.
        uint32_t strikeShare = 0;
        steady_time suspectUntil;
    };

    bool isUnexpired(const strike_record &record, steady_time now) const;
    bool isRejected(const strike_record &record, steady_time now) const;
    void addStrikeParts(uint64_t fingerprint, uint32_t parts, steady_time now);
    void insertRecord(uint64_t fingerprint, const strike_record &record, steady_time now);

    const crash_quarantine_options m_options;
    mutable std::mutex m_mutex;
    run_id m_nextRun = 1;
    std::map<run_id, running_request> m_running;
    std::list<lost_request> m_lostRequests;
    std::unordered_map<uint64_t, strike_record> m_strikeRecords;
};

} // namespace persimmonrail
