#pragma once

#include "persimmonrail/base/request_outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonrail {

// Describes one routing or placement decision. Fields that do not apply stay empty.
struct decision
{
    // Event name, for example "route", "hand-over" or "place".
    std::string_view kind;
    std::string_view requestId;
    std::string_view service;
    uint64_t keyHash = 0;
    bool hasKeyHash = false;
    std::string_view partition;
    uint64_t term = 0;
    // Name of the chosen instance.
    std::string_view instance;
    std::string_view outcome;
    std::string_view reason;
};

enum class log_level { Debug, Info, Warn, Error, Off };

struct log_options
{
    log_level level = log_level::Info;
    // Path of the log file; if empty, lines are written to the console.
    std::string file;
    // Maximum number of lines of level Info and below that are written in one second; 0 means no
    // limit.
    uint64_t maxLinesPerSecond = 0;
    // Writes the lines on a separate thread. The buffer between the threads drops lines when
    // full instead of blocking, so that a stalled reader of the log does not delay requests.
    bool isAsynchronous = false;
};

// Writes decisions and events to a log through log4cxx, one line each. Thread safe.
class decision_log
{
public:
    explicit decision_log(const log_options &options);
    ~decision_log();
    decision_log(const decision_log &) = delete;
    decision_log &operator=(const decision_log &) = delete;

    // Logs a decision at level Info.
    void write(const decision &decision);
    // Logs a line of text.
    void write(log_level level, std::string_view text);
    bool isEnabled(log_level level) const;

    // Returns the number of lines that were dropped because of maxLinesPerSecond.
    uint64_t droppedLines() const;

    // Returns the line that write() logs for a decision. Control characters and spaces in values
    // are replaced by underscores.
    static std::string format(const decision &decision);

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
