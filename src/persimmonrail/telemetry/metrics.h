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

struct latency_summary
{
    uint64_t count = 0;
    std::chrono::duration<double> sum{0};
    std::chrono::duration<double> p50{0};
    std::chrono::duration<double> p99{0};
    std::chrono::duration<double> p999{0};
};

// Counters, gauges and latency quantiles of one daemon. Quantiles are estimated by the extended
// P-square algorithm in constant memory, per service, rank and outcome. Thread safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    // `labels` are written as in the text format, for example `reason="not-owner"`.
    void count(std::string_view name, std::string_view labels = {}, uint64_t amount = 1);
    uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    // The hook runs at each rendering and must be thread safe.
    void addGauge(std::string_view name, std::function<double()> read);
    void recordLatency(std::string_view service, std::string_view rank, request_outcome outcome,
                       std::chrono::nanoseconds latency);
    latency_summary latency(std::string_view service, std::string_view rank,
                            request_outcome outcome) const;

    // Renders all values in the Prometheus text format, version 0.0.4.
    std::string renderText() const;

private:
    class series;
    using series_key = std::string;

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, uint64_t, std::less<>>, std::less<>> m_counters;
    std::map<std::string, std::function<double()>, std::less<>> m_gauges;
    // By label text.
    std::map<series_key, std::unique_ptr<series>, std::less<>> m_latencies;
};

// Writes a label value with the escapes that the text format requires.
std::string escapeLabel(std::string_view value);

} // namespace persimmonrail
