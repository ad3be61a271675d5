#include "persimmonrail/proxy/slot_queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

slot_request request(const std::string &kind, int rank, milliseconds objective, steady_time now,
                     milliseconds patience = 2000ms)
{
    return {kind, rank, objective, now + objective, now + patience};
}

uint64_t add(slot_queue &queue, const slot_request &wanted, steady_time now)
{
    slot_queue::refusal refused;
    const auto id = queue.submit(wanted, now, refused);
    REQUIRE(id.has_value());
    return *id;
}

// One kind of request in a simulated load; times in virtual milliseconds.
struct load
{
    std::string kind;
    int rank;
    milliseconds objective;
    milliseconds service;
    // Arrivals a second, and when they begin.
    double rate;
    milliseconds from{0};
};

struct served
{
    int asked = 0;
    int refused = 0;
    int inObjective = 0;
};

// Plays loads on one upstream for `length` in steps of a millisecond.
std::map<std::string, served> play(slot_queue &queue, const std::vector<load> &loads,
                                   milliseconds length)
{
    std::map<std::string, served> results;
    std::map<uint64_t, std::pair<const load *, steady_time>> known;
    std::multimap<steady_time, uint64_t> ends;
    std::map<std::string, double> due;
    for (milliseconds at{0}; at < length; ++at) {
        const steady_time now = start + at;
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto &[kind, target] = known.at(ends.begin()->second);
            results[kind->kind].inObjective += now <= target ? 1 : 0;
            queue.finish(ends.begin()->second, true, now);
            ends.erase(ends.begin());
        }
        for (const load &kind : loads) {
            due[kind.kind] += at >= kind.from ? kind.rate / 1000 : 0;
            while (due[kind.kind] >= 1) {
                due[kind.kind] -= 1;
                ++results[kind.kind].asked;
                slot_queue::refusal refused;
                const slot_request wanted = request(kind.kind, kind.rank, kind.objective, now);
                const auto id = queue.submit(wanted, now, refused);
                if (id) {
                    known[*id] = {&kind, wanted.objectiveEnd};
                } else {
                    ++results[kind.kind].refused;
                }
            }
        }
        for (const uint64_t id : queue.start(now)) {
            ends.emplace(now + known.at(id).first->service, id);
        }
    }
    return results;
}

} // namespace

TEST_CASE("requests start while slots are free", "[relay]")
{
    slot_queue queue;
    queue.setSlots(2);
    const uint64_t first = add(queue, request("a", 0, 250ms, start), start);
    add(queue, request("a", 0, 250ms, start), start);
    const uint64_t third = add(queue, request("a", 0, 250ms, start), start);
    CHECK(queue.start(start).size() == 2);
    CHECK(queue.waiting() == 1);
    queue.finish(first, true, start + 10ms);
    CHECK(queue.start(start + 10ms) == std::vector<uint64_t>{third});
    queue.cancel(third);
    CHECK(queue.running() == 2);
}

TEST_CASE("urgent ranks start first, then short objectives, then early arrivals", "[relay]")
{
    slot_queue queue;
    queue.setSlots(1);
    const uint64_t busy = add(queue, request("a", 0, 2000ms, start), start);
    queue.start(start);
    const uint64_t tally = add(queue, request("tally", 2, 2000ms, start), start);
    const uint64_t deposit = add(queue, request("deposit", 1, 1000ms, start), start);
    const uint64_t lookup = add(queue, request("lookup", 1, 900ms, start), start);
    const uint64_t second = add(queue, request("lookup", 1, 900ms, start), start);
    std::vector<uint64_t> order;
    uint64_t last = busy;
    for (int i = 0; i < 4; ++i) {
        queue.finish(last, false, start);
        order.push_back(queue.start(start).front());
        last = order.back();
    }
    CHECK(order == std::vector<uint64_t>{lookup, second, deposit, tally});
}

// What can't be served in time is refused at once, and told when there is room again.
TEST_CASE("a request that would end late is refused on arrival", "[relay]")
{
    slot_queue queue;
    queue.setSlots(1);
    slot_queue::refusal refused;
    int accepted = 0;
    while (queue.submit(request("a", 0, 250ms, start), start, refused)) {
        queue.start(start);
        ++accepted;
    }
    // 50 ms are assumed for each: four end within nine tenths of 250 ms, and a fifth 25 ms later.
    CHECK(accepted == 4);
    CHECK(refused.retryAfter == 25ms);
    CHECK(queue.submit(request("a", 0, 400ms, start), start, refused).has_value());
}

// Load pattern: one kind of request at twice the capacity of an upstream with 9 slots.
TEST_CASE("an overload keeps all slots busy with answers in time", "[relay]")
{
    slot_queue queue;
    queue.setSlots(9);
    const auto results = play(queue, {{"lookup", 0, 250ms, 90ms, 200}}, 10s);
    const served &lookup = results.at("lookup");
    CAPTURE(lookup.asked, lookup.refused, lookup.inObjective);
    // Capacity: 9 slots / 90 ms = 100 a second.
    CHECK(lookup.inObjective >= 950);
    CHECK(lookup.refused <= 1050);
}

// Load pattern: the least urgent kind floods an upstream that also answers short calls on which
// requests elsewhere wait.
TEST_CASE("a flood of the least urgent work does not delay calls", "[relay]")
{
    slot_queue queue;
    queue.setSlots(9);
    const auto results =
        play(queue, {{"valuation", 1, 100ms, 22ms, 60}, {"tally", 2, 2000ms, 360ms, 80, 1s}}, 10s);
    CHECK(results.at("valuation").refused <= 6);
    CHECK(results.at("valuation").inObjective >= 570);
    // 9 slots less 1.3 for the calls; a floor of 90% of that.
    CHECK(results.at("tally").inObjective >= 170);
}

// Load pattern: a flood of the most urgent kind on a shared upstream.
TEST_CASE("a flood of the most urgent work does not starve the others", "[relay]")
{
    slot_queue queue;
    queue.setSlots(9);
    const auto results =
        play(queue, {{"urgent", 0, 300ms, 60ms, 400}, {"tally", 2, 4000ms, 60ms, 15}}, 10s);
    CAPTURE(results.at("urgent").asked, results.at("urgent").refused, results.at("tally").refused);
    CHECK(results.at("tally").inObjective >= 80);
    CHECK(results.at("urgent").inObjective >= 1200);
}

// Load pattern: sustained overload by one route, and a few requests on another one of the same rank
// with a longer objective, such as a route that was just added.
TEST_CASE("a longer objective of the same rank is not starved", "[relay]")
{
    slot_queue queue;
    queue.setSlots(9);
    const auto results =
        play(queue, {{"busy", 0, 500ms, 60ms, 400}, {"new", 0, 1000ms, 20ms, 3}}, 10s);
    CAPTURE(results.at("new").refused);
    CHECK(results.at("new").inObjective >= 25);
    CHECK(results.at("busy").inObjective >= 1200);
}

TEST_CASE("the time of a kind follows what its requests take", "[relay]")
{
    slot_queue queue;
    queue.setSlots(1);
    for (int i = 0; i < 60; ++i) {
        const steady_time now = start + i * 1s;
        const uint64_t id = add(queue, request("slow", 0, 2000ms, now), now);
        queue.start(now);
        queue.finish(id, true, now + 400ms);
    }
    CHECK(queue.meanService() > 380ms);
    add(queue, request("slow", 0, 500ms, start), start);
    queue.start(start);
    slot_queue::refusal refused;
    CHECK_FALSE(queue.submit(request("slow", 0, 500ms, start), start, refused).has_value());
}
