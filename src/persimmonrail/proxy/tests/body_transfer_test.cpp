#include "persimmonrail/proxy/upstream_picker.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using result = upstream_picker::result;
const steady_time start = steady_time(1000s);
// 10 Mbit/s.
constexpr double ownLink = 1.25e6;

upstream_member member(const std::string &name, double linkMbps = 10)
{
    return {{name, 1}, "designs", "nord", "127.0.0.1:9000", 9, false, false, {0.1, linkMbps}};
}

random_source seeded()
{
    return [engine = std::mt19937_64(3)]() mutable { return engine(); };
}

// Sends 1,000 requests to the local upstream and three others, and returns how many each got.
std::map<std::string, int> send(const body_transfer &body, const queue_report &localQueue,
                                double fastLink = 10)
{
    const upstream_member local = member("local");
    const upstream_member one = member("one");
    const upstream_member two = member("two");
    const upstream_member fast = member("fast", fastLink);
    upstream_picker picker("nord", seeded());
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        const upstream_member *picked =
            picker.pick({&local, &one, &two, &fast}, {}, start, 0, body);
        ++chosen[picked->id.name];
        picker.finish(picked->id, result::Reached,
                      picked->id == local.id ? localQueue : queue_report{3, 0, 9, 260ms}, start);
    }
    return chosen;
}

} // namespace

TEST_CASE("a body needs the links of both hosts where they are known", "[body]")
{
    const auto [bytes, own, linkMbps, seconds] = GENERATE(table<double, double, double, double>({
        {60000, ownLink, 10, 0.096},
        {60000, ownLink, 200, 0.0504},
        {60000, 0, 10, 0.048},
        {60000, ownLink, 0, 0.048},
        {60000, 0, 0, 0},
        {0, ownLink, 10, 0},
    }));
    CHECK(transferTime({bytes, own, {"local", 1}}, member("one", linkMbps)) == Approx(seconds));
    CHECK(transferTime({bytes, own, {"local", 1}}, member("local", linkMbps)) == 0);
}

// Load: bodies of 60 KB on links of 10 Mbit/s. They go to the own host, and from there to others
// once its upstream is busier than the transfer is long.
TEST_CASE("large bodies prefer the upstream on the own host", "[body]")
{
    const body_transfer body{60000, ownLink, {"local", 1}};
    CHECK(send(body, {3, 0, 9, 260ms})["local"] > 900);
    CHECK(send(body, {9, 9, 9, 260ms})["local"] < 100);
    // For a small body, the own host is only preferred if it is one of the two that were drawn.
    CHECK(send({600, ownLink, {"local", 1}}, {3, 0, 9, 260ms})["local"] < 550);
}

TEST_CASE("large bodies prefer hosts with fast links", "[body]")
{
    std::map<std::string, int> chosen = send({60000, ownLink, {}}, {3, 0, 9, 260ms}, 200);
    CHECK(chosen["fast"] > chosen["one"] * 1.5);
}

// Deployments without the setting must choose as before.
TEST_CASE("a body that does not count changes nothing", "[body]")
{
    const auto before = send({}, {3, 0, 9, 260ms}, 200);
    CHECK(send({0, ownLink, {"local", 1}}, {3, 0, 9, 260ms}, 200) == before);
}

// Fault: the upstream on the own host fails. Large bodies must go elsewhere.
TEST_CASE("a failed upstream on the own host gets no large bodies", "[body]")
{
    const upstream_member local = member("local");
    const upstream_member one = member("one");
    upstream_picker picker("nord", seeded());
    picker.begin(local.id);
    picker.finish(local.id, result::Failed, std::nullopt, start);
    for (int i = 0; i < 50; ++i) {
        CHECK(picker.pick({&local, &one}, {}, start, 0, {60000, ownLink, local.id}) == &one);
    }
}
