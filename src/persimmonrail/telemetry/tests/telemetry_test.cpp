#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"

#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

// Guards against quantile estimates that deviate from the exact values of a skewed distribution.
TEST_CASE("latency quantile estimates are close to the exact values", "[telemetry]")
{
    metrics values;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> latency(1000.0); // mean 1 ms
    for (int i = 0; i < 200'000; ++i) {
        values.recordLatency("ledger", "urgent", request_outcome::Run,
                             std::chrono::nanoseconds(static_cast<int64_t>(latency(random) * 1e9)));
    }
    const latency_summary summary = values.latency("ledger", "urgent", request_outcome::Run);
    CHECK(summary.count == 200'000);
    CHECK(summary.p50.count() == Approx(0.000693).epsilon(0.05));
    CHECK(summary.p99.count() == Approx(0.004605).epsilon(0.05));
    CHECK(summary.p999.count() == Approx(0.006908).epsilon(0.10));
    CHECK(values.latency("ledger", "urgent", request_outcome::Unknown).count == 0);
}

// Guards against estimates that the algorithm makes from too few samples.
TEST_CASE("with few samples the nearest sample is the quantile", "[telemetry]")
{
    metrics values;
    CHECK(values.latency("a", "b", request_outcome::Run).p99.count() == 0);
    values.recordLatency("a", "b", request_outcome::Run, 3ms);
    CHECK(values.latency("a", "b", request_outcome::Run).p50.count() == Approx(0.003));
    values.recordLatency("a", "b", request_outcome::Run, 9ms);
    CHECK(values.latency("a", "b", request_outcome::Run).p99.count() == Approx(0.009));
}

// Guards against lost updates and against text that a Prometheus server can't parse.
TEST_CASE("counters from several threads appear in the text format", "[telemetry]")
{
    metrics values;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&values] {
            for (int n = 0; n < 1000; ++n) {
                values.count("persimmonrail_answers_total", "outcome=\"run\"");
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    values.addGauge("persimmonrail_in_flight", [] { return 3.0; });
    values.addGauge("persimmonrail_zone_evacuated", "zone=\"a\"", [] { return 1.0; });
    values.addGauge("persimmonrail_zone_evacuated", "zone=\"b\"", [] { return 0.0; });
    values.recordLatency("odd\"name", "urgent", request_outcome::NotRun, 1ms);
    const std::string text = values.renderText();
    for (const char *line : {
             "# TYPE persimmonrail_answers_total counter\n",
             "persimmonrail_answers_total{outcome=\"run\"} 4000\n",
             "# TYPE persimmonrail_in_flight gauge\npersimmonrail_in_flight 3\n",
             "# TYPE persimmonrail_zone_evacuated gauge\n",
             "persimmonrail_zone_evacuated{zone=\"a\"} 1\n",
             "persimmonrail_zone_evacuated{zone=\"b\"} 0\n",
             "# TYPE persimmonrail_request_seconds summary\n",
             R"(service="odd\"name",rank="urgent",outcome="not-run",quantile="0.99"} 0.001)",

             "persimmonrail_request_seconds_count{",
         }) {
        CAPTURE(line, text);
        CHECK(text.find(line) != std::string::npos);
    }
}

// Guards against request data that inserts forged fields or lines into the log.
TEST_CASE("a decision is logged as one line at the configured level", "[telemetry]")
{
    decision sample;
    sample.kind = "route";
    sample.requestId = "r-1\nroute request=forged";
    sample.service = "ledger";
    sample.keyHash = 0xab;
    sample.hasKeyHash = true;
    sample.term = 4;
    sample.instance = "ledger-2";
    sample.outcome = "run";
    CHECK(decision_log::format(sample)
          == "route request=r-1_route_request=forged service=ledger key_hash=00000000000000ab "
             "term=4 instance=ledger-2 outcome=run");

    const Poco::TemporaryFile info;
    const Poco::TemporaryFile warn;
    {
        decision_log verbose({log_level::Info, info.path()});
        decision_log quiet({log_level::Warn, warn.path()});
        for (decision_log *log : {&verbose, &quiet}) {
            log->write(sample);
            log->write(log_level::Error, "listener failed");
        }
    }
    const auto linesOf = [](const std::string &path) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        const std::string all = text.str();
        return std::count(all.begin(), all.end(), '\n');
    };
    CHECK(linesOf(info.path()) == 2);
    CHECK(linesOf(warn.path()) == 1);
}
