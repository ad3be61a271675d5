#include "persimmonrail/admission/admission_queue.h"

#include <catch2/catch.hpp>

#include <queue>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time() + 1h;

admission_queue makeQueue(const std::vector<double> &floors, int slots)
{
    return {admission_options(), floors, slots, start};
}

// Submits and returns the id, or 0 if refused.
uint64_t submit(admission_queue &queue, size_t rank, const std::string &subsidiary = "",
                milliseconds timeLeft = 10s, steady_time now = start)
{
    const auto result = queue.submit(rank, subsidiary, now + timeLeft, now);
    return std::holds_alternative<uint64_t>(result) ? std::get<uint64_t>(result) : 0;
}

queue_refusal refusalOf(const std::variant<uint64_t, queue_refusal> &result)
{
    REQUIRE(std::holds_alternative<queue_refusal>(result));
    return std::get<queue_refusal>(result);
}

std::vector<uint64_t> started(const std::vector<queue_decision> &decisions)
{
    std::vector<uint64_t> ids;
    for (const queue_decision &decision : decisions) {
        if (!decision.refusal) {
            ids.push_back(decision.id);
        }
    }
    return ids;
}

// Occupies the only slot, and ends the request that holds it.
struct busy_slot
{
    explicit busy_slot(admission_queue &queue)
        : queue(queue)
        , id(submit(queue, 0))
    {
        REQUIRE(started(queue.poll(start)) == std::vector{id});
    }
    // Returns the request that starts next.
    uint64_t next(milliseconds latency = 5ms)
    {
        queue.finish(id, request_outcome::Run, "answered", latency, start);
        const auto ids = started(queue.poll(start));
        id = ids.empty() ? 0 : ids.front();
        return id;
    }

    admission_queue &queue;
    uint64_t id;
};

} // namespace

// Guards against least urgent work that is served before urgent work (P9).
TEST_CASE("a free slot goes to the most urgent rank", "[admission]")
{
    struct
    {
        std::vector<size_t> arrivals;
        std::vector<size_t> expected;
    } const rows[] = {
        {{2, 1, 0}, {0, 1, 2}},
        {{2, 2, 1, 1}, {1, 1, 2, 2}},
        {{1, 0, 2, 0}, {0, 0, 1, 2}},
        {{9, 0}, {0, 2}},
    };
    for (const auto &row : rows) {
        auto queue = makeQueue({0, 0, 0}, 1);
        busy_slot slot(queue);
        std::map<uint64_t, size_t> rankOf;
        for (const size_t rank : row.arrivals) {
            rankOf[submit(queue, rank)] = std::min<size_t>(rank, 2);
        }
        std::vector<size_t> order;
        while (const uint64_t id = slot.next()) {
            order.push_back(rankOf.at(id));
        }
        CHECK(order == row.expected);
    }
}

// Guards against ranks that starve under a flood of more urgent work, and against floors that take
// more than their share from it.
TEST_CASE("each rank keeps its floor while all ranks overflow", "[admission]")
{
    struct
    {
        std::vector<double> floors;
        std::vector<milliseconds> service;
    } const rows[] = {
        {{0.4, 0.2, 0.1, 0.05}, {5ms, 5ms, 5ms, 5ms}},
        {{0.4, 0.2, 0.1, 0.05}, {2ms, 5ms, 10ms, 40ms}},
        {{0, 0.5}, {5ms, 5ms}},
        {{0.5, 0}, {5ms, 5ms}},
    };
    constexpr int slots = 10;
    for (const auto &row : rows) {
        auto queue = makeQueue(row.floors, slots);
        std::map<uint64_t, size_t> rankOf;
        std::vector<double> used(row.floors.size());
        using end = std::pair<steady_time, uint64_t>;
        std::priority_queue<end, std::vector<end>, std::greater<>> ends;
        steady_time now = start;
        while (now < start + 20s) {
            for (size_t rank = 0; rank < row.floors.size(); ++rank) {
                while (const uint64_t id = submit(queue, rank, "", 1h, now)) {
                    rankOf[id] = rank;
                }
            }
            for (const uint64_t id : started(queue.poll(now))) {
                ends.emplace(now + row.service[rankOf[id]], id);
            }
            now = ends.top().first;
            const uint64_t id = ends.top().second;
            ends.pop();
            const milliseconds service = row.service[rankOf[id]];
            queue.finish(id, request_outcome::Run, "answered", service, now);
            used[rankOf[id]] += std::chrono::duration<double>(service).count() / (20.0 * slots);
        }
        double others = 0;
        for (size_t rank = 1; rank < used.size(); ++rank) {
            INFO("rank " << rank << " used " << used[rank]);
            CHECK(used[rank] >= 0.9 * row.floors[rank]);
            CHECK(used[rank] <= row.floors[rank] * 1.1 + 0.005);
            others += used[rank];
        }
        CHECK(used[0] >= 0.98 - others);
    }
}

// Guards against work that takes a slot although its caller has given up, and against refusals of
// work that would be in time.
TEST_CASE("work that cannot meet its deadline is refused on arrival", "[admission]")
{
    struct
    {
        int waiting;
        milliseconds timeLeft;
        bool isAdmitted;
    } const rows[] = {
        // The assumed service time is 5 ms.
        {0, 4ms, false},
        {0, 11ms, true},
        {3, 20ms, false},
        {3, 26ms, true},
    };
    for (const auto &row : rows) {
        INFO(row.waiting << " wait, " << row.timeLeft.count() << " ms left");
        auto queue = makeQueue({0}, 1);
        const busy_slot slot(queue);
        // The slot time of the running request is taken from nobody's share of one rank.
        for (int i = 0; i < row.waiting; ++i) {
            submit(queue, 0);
        }
        const auto result = queue.submit(0, "", start + row.timeLeft, start);
        CHECK(std::holds_alternative<uint64_t>(result) == row.isAdmitted);
        if (!row.isAdmitted) {
            CHECK(refusalOf(result).reason == "deadline-unreachable");
            CHECK(refusalOf(result).retryAfter == 5ms * (row.waiting + 1));
        }
    }
}

// Guards against a slot spent on a request whose time has run out while it waited.
TEST_CASE("a request that has become late is refused at its turn", "[admission]")
{
    auto queue = makeQueue({0}, 2);
    const uint64_t first = submit(queue, 0);
    submit(queue, 0);
    REQUIRE(started(queue.poll(start)).size() == 2);
    const uint64_t late = submit(queue, 0, "", 50ms);
    const uint64_t inTime = submit(queue, 0, "", 500ms);
    queue.finish(first, request_outcome::Run, "answered", 49ms, start + 49ms);
    const auto decisions = queue.poll(start + 49ms);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].id == late);
    CHECK(decisions[0].refusal.value().reason == "deadline-unreachable");
    CHECK(started(decisions) == std::vector{inTime});
}

// Guards against a rank that is refused for good after answers slower than its deadlines, whether
// other ranks are idle or not.
TEST_CASE("a rank recovers from slow answers", "[admission]")
{
    auto queue = makeQueue({0, 0}, 2);
    submit(queue, 0);
    queue.poll(start);
    const uint64_t slow = submit(queue, 1);
    queue.poll(start);
    steady_time now = start + 1h;
    queue.finish(slow, request_outcome::Run, "answered", 1h, now);
    for (int i = 0; i < 300; ++i) {
        const uint64_t id = submit(queue, 1, "", 1s, now);
        REQUIRE(id != 0);
        REQUIRE(started(queue.poll(now)) == std::vector{id});
        now += 5ms;
        queue.finish(id, request_outcome::Run, "answered", 5ms, now);
    }
    CHECK(submit(queue, 1, "", 1s, now) != 0);
    CHECK(submit(queue, 1, "", 1s, now) != 0);
}

// Guards against queues that grow without bound, and against one rank filling the queue of another.
TEST_CASE("each rank has a bounded queue", "[admission]")
{
    const admission_options options;
    for (const int slots : {1, 5}) {
        auto queue = makeQueue({0.2, 0.2}, slots);
        const auto bound = static_cast<size_t>(slots) * static_cast<size_t>(options.queuePerSlot);
        for (int i = 0; i < 100; ++i) {
            submit(queue, 1);
        }
        CHECK(queue.waiting(1) == bound);
        CHECK(refusalOf(queue.submit(1, "", start + 10s, start)).reason == "overload");
        CHECK(submit(queue, 0) != 0);
        const uint64_t last = submit(queue, 0);
        queue.cancel(last);
        CHECK(queue.waiting(0) == 1);
    }
}

// Guards against one subsidiary that takes a rank from the others, in the queue or at the slots.
TEST_CASE("subsidiaries share a rank", "[admission]")
{
    auto queue = makeQueue({0}, 1);
    busy_slot slot(queue);
    std::map<uint64_t, std::string> nameOf;
    for (int i = 0; i < 4; ++i) {
        nameOf[submit(queue, 0, "flooding")] = "flooding";
    }
    SECTION("a full queue makes room for those with fewer requests")
    {
        nameOf[submit(queue, 0, "quiet")] = "quiet";
        nameOf[submit(queue, 0, "quiet")] = "quiet";
        CHECK(queue.waiting(0) == 4);
        CHECK(submit(queue, 0, "quiet") == 0);
        CHECK(submit(queue, 0, "flooding") == 0);
        const auto evicted = queue.poll(start);
        REQUIRE(evicted.size() == 2);
        for (const auto &decision : evicted) {
            CHECK(decision.refusal.value().reason == "overload");
            CHECK(nameOf[decision.id] == "flooding");
        }
        CHECK(slot.next() != 0);
    }
    SECTION("slots alternate, and time without demand earns nothing")
    {
        CHECK(nameOf[slot.next()] == "flooding");
        CHECK(nameOf[slot.next()] == "flooding");
        nameOf[submit(queue, 0, "quiet")] = "quiet";
        nameOf[submit(queue, 0, "quiet")] = "quiet";
        for (const char *expected : {"quiet", "flooding", "quiet", "flooding"}) {
            CHECK(nameOf[slot.next()] == expected);
        }
    }
}

// Guards against waiting requests that are lost when a document removes their rank.
TEST_CASE("waiting requests survive a change of the ranks", "[admission]")
{
    auto queue = makeQueue({0, 0, 0}, 1);
    busy_slot slot(queue);
    const uint64_t waiting = submit(queue, 2, "a");
    queue.setFloors({0.5, 0.1});
    CHECK(queue.waiting(1) == 1);
    CHECK(slot.next() == waiting);
}
