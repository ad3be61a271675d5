#pragma once

#include "persimmonrail/base/request_outcome.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmonrail {

// Latencies of the requests of one service, rank and outcome.
struct latency_summary
{
    uint64_t count = 0;
    std::chrono::duration<double> sum{0};
    std::chrono::duration<double> p50{0};
    std::chrono::duration<double> p99{0};
    std::chrono::duration<double> p999{0};
};

// Holds the counters, gauges and latency quantiles of one daemon. Latency quantiles are kept per
// service, rank and outcome, and are estimated by the extended P-square algorithm in constant
// memory. Thread safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // Adds `amount` to a counter. `labels` has the syntax of the Prometheus text format, for
    // example `reason="not-owner"`.
    void count(std::string_view name, std::string_view labels = {}, uint64_t amount = 1);
    // Returns the value of a counter, or 0 if nothing has been counted.
    uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    // Adds a gauge, or replaces the gauge of the same name. renderText() calls `read`, which must
    // be thread safe.
    void addGauge(std::string_view name, std::function<double()> read);
    // The same for a gauge with labels, whose syntax is that of count().
    void addGauge(std::string_view name, std::string_view labels, std::function<double()> read);
    void recordLatency(std::string_view service, std::string_view rank, request_outcome outcome,
                       std::chrono::nanoseconds latency);
    // Returns an empty summary if no latency has been recorded.
    latency_summary latency(std::string_view service, std::string_view rank,
                            request_outcome outcome) const;

    // Renders all values in the Prometheus text format, version 0.0.4.
    std::string renderText() const;

private:
    class series;
    using series_key = std::string;

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, uint64_t, std::less<>>, std::less<>> m_counters;
    using gauge_family = std::map<std::string, std::function<double()>, std::less<>>;
    std::map<std::string, gauge_family, std::less<>> m_gauges;
    // Latencies by label text.
    std::map<series_key, std::unique_ptr<series>, std::less<>> m_latencies;
};

// Returns a label value with the escapes that the Prometheus text format requires.
std::string escapeLabel(std::string_view value);

} // namespace persimmonrail
