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

// Bytes of a body that enter its fingerprint.
inline constexpr size_t fingerprintBodyBytes = 64 * 1024;

// Computes the fingerprint of a request: service, operation (method and target), key hash and the
// first fingerprintBodyBytes of the body. Daemons exchange fingerprints, so the function must not
// change between versions. Not thread safe.
class fingerprint_builder
{
public:
    fingerprint_builder(std::string_view service, std::string_view method, std::string_view target,
                        uint64_t keyHash);

    // Takes the next bytes of the body; those beyond fingerprintBodyBytes do not count.
    void addBody(std::string_view piece);
    // Whether further body bytes no longer matter.
    bool isFull() const { return m_bodyBytes == fingerprintBodyBytes; }
    uint64_t value() const;

private:
    void add(std::string_view bytes);

    uint64_t m_state;
    size_t m_bodyBytes = 0;
};

// Strikes are counted in this many parts, so that each of up to 4 suspects gets an equal share.
inline constexpr uint32_t strikeParts = 12;

struct crash_quarantine_options
{
    // A fingerprint with this many strikes is refused.
    uint32_t strikesToRefuse = 2;
    // With more requests running than this, a crash tells too little about each of them.
    size_t maxSuspects = 4;
    // Time after which an entry ends, counted from its newest strike.
    std::chrono::seconds entryLife{600};
    // Entries with less time left are neither sent nor taken, since the transit time makes an entry
    // appear younger at each daemon and could otherwise keep it alive for good.
    std::chrono::seconds spreadMargin{60};
    // A connection lost this long before the crash is noticed still counts. Covers the validity of
    // an announcement (3 s) and the interval of its check.
    milliseconds lossWindow{5000};
    size_t maxEntries = 1024;
    // Lost requests that are remembered until a crash is noticed.
    size_t maxLost = 256;
};

// Remembers requests that were running when the upstream crashed, and refuses those that crashed it
// repeatedly. A connection that is lost without a crash is no strike, and neither is a crash
// without a lost connection. Thread safe.
class crash_quarantine
{
public:
    using run_id = uint64_t;
    enum class run_end {
        // An answer came, or the request was not handed over, or was given up.
        Regular,
        // The connection to the upstream was lost before the whole answer had come.
        ConnectionLost,
    };
    // An entry as daemons exchange it.
    struct entry
    {
        uint64_t fingerprint = 0;
        // In parts of a strike; see strikeParts.
        uint32_t strikes = 0;
        milliseconds age{0};

        bool operator==(const entry &) const = default;
    };

    explicit crash_quarantine(const crash_quarantine_options &options = {});

    // Returns how long requests with this fingerprint are still refused; nothing if they are not.
    std::optional<milliseconds> refusedFor(uint64_t fingerprint, steady_time now) const;
    // Whether any fingerprint is refused. Until then a request need not wait for its body before
    // the hand-over.
    bool refusesAny(steady_time now) const;

    // Notes that a request is handed over; end() must follow.
    run_id begin();
    // `fingerprint` is absent if the connection was lost before enough of the body was sent.
    void end(run_id run, std::optional<uint64_t> fingerprint, run_end how, steady_time now);
    // The upstream came up under another boot id, or its announcement ran out. Requests whose
    // connections were lost within the loss window are suspects, and those still running become
    // suspects if they end with a lost connection.
    void noteCrash(steady_time now);

    // Entries for another daemon, most strikes first.
    std::vector<entry> entries(size_t limit, steady_time now) const;
    // Takes entries from another daemon; of two entries the one with more strikes counts.
    void merge(const std::vector<entry> &entries, steady_time now);
    size_t size() const;

private:
    struct record
    {
        uint32_t strikes = 0;
        steady_time lastStrike;
    };
    struct lost_run
    {
        std::optional<uint64_t> fingerprint;
        steady_time at;
    };
    struct running
    {
        // Parts of a strike that the request gains if it ends with a lost connection before
        // `until`.
        uint32_t share = 0;
        steady_time until;
    };

    bool isAlive(const record &record, steady_time now) const;
    bool isRefused(const record &record, steady_time now) const;
    void strike(uint64_t fingerprint, uint32_t parts, steady_time now);
    void put(uint64_t fingerprint, const record &record, steady_time now);

    const crash_quarantine_options m_options;
    mutable std::mutex m_mutex;
    run_id m_nextRun = 1;
    std::map<run_id, running> m_running;
    std::list<lost_run> m_lost;
    std::unordered_map<uint64_t, record> m_records;
};

} // namespace persimmonrail
