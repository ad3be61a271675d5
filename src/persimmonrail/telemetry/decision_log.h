#pragma once

#include "persimmonrail/base/request_outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonrail {

// One routing or placement decision. Fields that do not apply stay empty.
struct decision
{
    // "route", "hand-over", "place" and the like.
    std::string_view kind;
    std::string_view requestId;
    std::string_view service;
    uint64_t keyHash = 0;
    bool hasKeyHash = false;
    std::string_view partition;
    uint64_t term = 0;
    // Instance that was chosen.
    std::string_view instance;
    std::string_view outcome;
    std::string_view reason;
};

enum class log_level { Debug, Info, Warn, Error, Off };

struct log_options
{
    log_level level = log_level::Info;
    // Path of the log file; empty logs to the console.
    std::string file;
    // Lines of level Info and below that are written in one second; 0 sets no limit.
    uint64_t linesPerSecond = 0;
    // Hands lines to a thread of their own through a buffer that drops rather than waits, so that a
    // reader which stands still does not hold up requests.
    bool isAsynchronous = false;
};

// Log of decisions and events on log4cxx, one line each. Thread safe.
class decision_log
{
public:
    explicit decision_log(const log_options &options);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    // Logged at level Info.
    void write(const decision &decision);
    void write(log_level level, std::string_view text);
    bool isEnabled(log_level level) const;

    // Lines that were dropped because of the limit.
    uint64_t droppedLines() const;

    // The line that write() logs for a decision.
    static std::string format(const decision &decision);

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
