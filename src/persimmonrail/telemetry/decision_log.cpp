#include "persimmonrail/telemetry/decision_log.h"

#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/telemetry/log_rate_limiter.h"

#include <absl/strings/str_cat.h>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/hierarchy.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <mutex>

namespace persimmonrail {
namespace {

// Capacity of the buffer of an asynchronous log, in lines.
constexpr int maxBufferedLines = 512;
constexpr char linePattern[] = "%d{ISO8601} %-5p %m%n";

log4cxx::LevelPtr toLevel(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return log4cxx::Level::getDebug();
    case log_level::Info:
        return log4cxx::Level::getInfo();
    case log_level::Warn:
        return log4cxx::Level::getWarn();
    case log_level::Error:
        return log4cxx::Level::getError();
    case log_level::Off:
        return log4cxx::Level::getOff();
    }
    return log4cxx::Level::getInfo();
}

void appendField(std::string &line, std::string_view name, std::string_view value)
{
    if (value.empty()) {
        return;
    }
    absl::StrAppend(&line, " ", toAbsl(name), "=");
    // Values taken from requests may contain arbitrary bytes, and control characters and spaces
    // would break the line format.
    for (const char c : value) {
        line += static_cast<unsigned char>(c) <= 0x20 || c == 0x7f ? '_' : c;
    }
}

} // namespace

class decision_log::state
{
public:
    explicit state(uint64_t maxLinesPerSecond)
        : limiter(maxLinesPerSecond)
    { }

    // Each log has its own hierarchy, so that several logs in one process do not share their
    // levels.
    log4cxx::spi::LoggerRepositoryPtr repository = log4cxx::Hierarchy::create();
    log4cxx::LoggerPtr logger;
    std::mutex mutex;
    log_rate_limiter limiter;
};

decision_log::decision_log(const log_options &options)
    : m_state(std::make_unique<state>(options.maxLinesPerSecond))
{
    m_state->logger = m_state->repository->getLogger("persimmonrail");
    m_state->logger->setAdditivity(false);
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(linePattern));
    const log4cxx::AppenderPtr target(
        options.file.empty()
            ? static_cast<log4cxx::Appender *>(new log4cxx::ConsoleAppender(layout))
            : static_cast<log4cxx::Appender *>(
                new log4cxx::FileAppender(layout, options.file, true)));
    if (options.isAsynchronous) {
        auto *const asyncAppender = new log4cxx::AsyncAppender;
        asyncAppender->setBufferSize(maxBufferedLines);
        asyncAppender->setBlocking(false);
        asyncAppender->addAppender(target);
        m_state->logger->addAppender(log4cxx::AppenderPtr(asyncAppender));
    } else {
        m_state->logger->addAppender(target);
    }
    m_state->logger->setLevel(toLevel(options.level));
}

decision_log::~decision_log()
{
    m_state->repository->shutdown();
}

void decision_log::write(const decision &decision)
{
    if (isEnabled(log_level::Info)) {
        write(log_level::Info, format(decision));
    }
}

void decision_log::write(log_level level, std::string_view text)
{
    if (level == log_level::Off || !isEnabled(level)) {
        return;
    }
    uint64_t dropped = 0;
    if (level == log_level::Debug || level == log_level::Info) {
        const std::lock_guard lock(m_state->mutex);
        if (!m_state->limiter.allowLine(std::chrono::steady_clock::now(), dropped)) {
            return;
        }
    }
    if (dropped > 0) {
        m_state->logger->forcedLog(toLevel(log_level::Warn),
                                   absl::StrCat("log-lines-dropped count=", dropped));
    }
    m_state->logger->forcedLog(toLevel(level), std::string(text));
}

uint64_t decision_log::droppedLines() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->limiter.totalDropped();
}

bool decision_log::isEnabled(log_level level) const
{
    return m_state->logger->isEnabledFor(toLevel(level));
}

std::string decision_log::format(const decision &decision)
{
    std::string line(decision.kind);
    appendField(line, "request", decision.requestId);
    appendField(line, "service", decision.service);
    if (decision.hasKeyHash) {
        appendField(line, "key_hash", hashToString(decision.keyHash));
    }
    appendField(line, "partition", decision.partition);
    if (decision.term != 0) {
        appendField(line, "term", absl::StrCat(decision.term));
    }
    appendField(line, "instance", decision.instance);
    appendField(line, "outcome", decision.outcome);
    appendField(line, "reason", decision.reason);
    return line;
}

} // namespace persimmonrail
