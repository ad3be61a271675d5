#include "persimmonrail/telemetry/metrics.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>

namespace persimmonrail {
namespace {

namespace acc = boost::accumulators;

// The quantiles next to the reported ones (0.5, 0.99 and 0.999) make the estimates of the reported
// quantiles more stable.
constexpr std::array<double, 7> trackedQuantiles = {0.25, 0.5, 0.9, 0.99, 0.995, 0.999, 0.9995};
// The extended P-square algorithm needs one sample per marker before it can estimate a quantile.
constexpr size_t minSamples = 2 * trackedQuantiles.size() + 3;

using latency_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::string latencyLabels(std::string_view service, std::string_view rank, request_outcome outcome)
{
    return absl::StrCat("service=\"", escapeLabel(service), "\",rank=\"", escapeLabel(rank),
                        "\",outcome=\"", toAbsl(toString(outcome)), "\"");
}

void appendLine(std::string &text, std::string_view name, std::string_view labels, double value)
{
    absl::StrAppend(&text, toAbsl(name));
    if (!labels.empty()) {
        absl::StrAppend(&text, "{", toAbsl(labels), "}");
    }
    absl::StrAppend(&text, " ", value, "\n");
}

void appendType(std::string &text, std::string_view name, std::string_view type)
{
    absl::StrAppend(&text, "# TYPE ", toAbsl(name), " ", toAbsl(type), "\n");
}

} // namespace

class metrics::series
{
public:
    series()
        : m_values(acc::extended_p_square_probabilities = trackedQuantiles)
    { }

    void record(double seconds)
    {
        if (acc::count(m_values) < minSamples) {
            m_firstSamples[acc::count(m_values)] = seconds;
        }
        m_values(seconds);
    }

    latency_summary summary() const
    {
        latency_summary result;
        result.count = acc::count(m_values);
        result.sum = std::chrono::duration<double>(acc::sum(m_values));
        result.p50 = quantile(0.5);
        result.p99 = quantile(0.99);
        result.p999 = quantile(0.999);
        return result;
    }

private:
    std::chrono::duration<double> quantile(double probability) const
    {
        const size_t count = acc::count(m_values);
        if (count == 0) {
            return std::chrono::duration<double>(0);
        }
        if (count <= minSamples) {
            // The algorithm needs more samples for an estimate, so the nearest of the sorted
            // samples is returned.
            std::array<double, minSamples> sorted = m_firstSamples;
            std::sort(sorted.begin(), sorted.begin() + count);
            const auto index = static_cast<size_t>(probability * static_cast<double>(count));
            return std::chrono::duration<double>(sorted[std::min(index, count - 1)]);
        }
        const auto *const position =
            std::find(trackedQuantiles.begin(), trackedQuantiles.end(), probability);
        return std::chrono::duration<double>(
            acc::extended_p_square(m_values)[position - trackedQuantiles.begin()]);
    }

    latency_accumulator m_values;
    std::array<double, minSamples> m_firstSamples{};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(std::string_view name, std::string_view labels, uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    auto family = m_counters.find(name);
    if (family == m_counters.end()) {
        family = m_counters.try_emplace(std::string(name)).first;
    }
    const auto entry = family->second.find(labels);
    if (entry == family->second.end()) {
        family->second.try_emplace(std::string(labels), amount);
    } else {
        entry->second += amount;
    }
}

uint64_t metrics::counter(std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto family = m_counters.find(name);
    if (family == m_counters.end()) {
        return 0;
    }
    const auto entry = family->second.find(labels);
    return entry == family->second.end() ? 0 : entry->second;
}

void metrics::addGauge(std::string_view name, std::function<double()> read)
{
    addGauge(name, {}, std::move(read));
}

void metrics::addGauge(std::string_view name, std::string_view labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[std::string(name)].insert_or_assign(std::string(labels), std::move(read));
}

void metrics::recordLatency(std::string_view service, std::string_view rank,
                            request_outcome outcome, std::chrono::nanoseconds latency)
{
    const std::string labels = latencyLabels(service, rank, outcome);
    const std::lock_guard lock(m_mutex);
    auto &entry = m_latencies[labels];
    if (!entry) {
        entry = std::make_unique<series>();
    }
    entry->record(std::chrono::duration<double>(latency).count());
}

latency_summary metrics::latency(std::string_view service, std::string_view rank,
                                 request_outcome outcome) const
{
    const std::string labels = latencyLabels(service, rank, outcome);
    const std::lock_guard lock(m_mutex);
    const auto entry = m_latencies.find(labels);
    return entry == m_latencies.end() ? latency_summary() : entry->second->summary();
}

std::string metrics::renderText() const
{
    std::map<std::string, gauge_family, std::less<>> gauges;
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        gauges = m_gauges;
        for (const auto &[name, family] : m_counters) {
            appendType(text, name, "counter");
            for (const auto &[labels, value] : family) {
                absl::StrAppend(&text, name, labels.empty() ? "" : "{", labels,
                                labels.empty() ? "" : "}", " ", value, "\n");
            }
        }
        constexpr std::string_view latencyName = "persimmonrail_request_seconds";
        if (!m_latencies.empty()) {
            appendType(text, latencyName, "summary");
        }
        for (const auto &[labels, entry] : m_latencies) {
            const latency_summary summary = entry->summary();
            const std::string name(latencyName);
            appendLine(text, name, labels + ",quantile=\"0.5\"", summary.p50.count());
            appendLine(text, name, labels + ",quantile=\"0.99\"", summary.p99.count());
            appendLine(text, name, labels + ",quantile=\"0.999\"", summary.p999.count());
            appendLine(text, name + "_sum", labels, summary.sum.count());
            appendLine(text, name + "_count", labels, static_cast<double>(summary.count));
        }
    }
    // The gauge functions are called without the lock, because they may acquire locks of other
    // modules.
    for (const auto &[name, family] : gauges) {
        appendType(text, name, "gauge");
        for (const auto &[labels, read] : family) {
            appendLine(text, name, labels, read());
        }
    }
    return text;
}

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c;
    }
    return escaped;
}

} // namespace persimmonrail
