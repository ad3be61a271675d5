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

// Submits a request and returns its id, or 0 if it is rejected.
uint64_t submit(admission_queue &queue, size_t rank, const std::string &subsidiary = "",
                milliseconds timeLeft = 10s, steady_time now = start)
{
    const auto result = queue.submit(rank, subsidiary, now + timeLeft, now);
    return std::holds_alternative<uint64_t>(result) ? std::get<uint64_t>(result) : 0;
}

queue_rejection rejectionOf(const std::variant<uint64_t, queue_rejection> &result)
{
    REQUIRE(std::holds_alternative<queue_rejection>(result));
    return std::get<queue_rejection>(result);
}

std::vector<uint64_t> startedIds(const std::vector<queue_decision> &decisions)
{
    std::vector<uint64_t> ids;
    for (const queue_decision &decision : decisions) {
        if (!decision.rejection) {
            ids.push_back(decision.id);
        }
    }
    return ids;
}

// Occupies the only slot of the queue with one request at a time.
struct busy_slot
{
    explicit busy_slot(admission_queue &queue)
        : queue(queue)
        , id(submit(queue, 0))
    {
        REQUIRE(startedIds(queue.poll(start)) == std::vector{id});
    }
    // Ends the running request and returns the id of the request that starts next, or 0 if none
    // does.
    uint64_t next(milliseconds latency = 5ms)
    {
        queue.finish(id, request_outcome::Run, "answered", latency, start);
        const auto ids = startedIds(queue.poll(start));
        id = ids.empty() ? 0 : ids.front();
        return id;
    }

    admission_queue &queue;
    uint64_t id;
};

} // namespace

// Guards against requests of a less urgent rank that are served before those of a more urgent rank
// (requirement P9 in docs/design.md).
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

// Guards against ranks that starve while more urgent ranks are overloaded, and against floors that
// give a rank more than its guaranteed share.
TEST_CASE("each rank gets its floor while all ranks are overloaded", "[admission]")
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
        using request_end = std::pair<steady_time, uint64_t>;
        std::priority_queue<request_end, std::vector<request_end>, std::greater<>> pendingEnds;
        steady_time now = start;
        while (now < start + 20s) {
            for (size_t rank = 0; rank < row.floors.size(); ++rank) {
                while (const uint64_t id = submit(queue, rank, "", 1h, now)) {
                    rankOf[id] = rank;
                }
            }
            for (const uint64_t id : startedIds(queue.poll(now))) {
                pendingEnds.emplace(now + row.service[rankOf[id]], id);
            }
            now = pendingEnds.top().first;
            const uint64_t id = pendingEnds.top().second;
            pendingEnds.pop();
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

// Guards against requests that take a slot although their deadline cannot be met, and against the
// rejection of requests that can meet their deadline.
TEST_CASE("a request that cannot meet its deadline is rejected on arrival", "[admission]")
{
    struct
    {
        int waiting;
        milliseconds timeLeft;
        bool isAdmitted;
    } const rows[] = {
        // The initial service time is 5 ms.
        {0, 4ms, false},
        {0, 11ms, true},
        {3, 20ms, false},
        {3, 26ms, true},
    };
    for (const auto &row : rows) {
        INFO(row.waiting << " wait, " << row.timeLeft.count() << " ms left");
        auto queue = makeQueue({0}, 1);
        const busy_slot slot(queue);
        // The slot time of the running request does not reduce the share of the only rank.
        for (int i = 0; i < row.waiting; ++i) {
            submit(queue, 0);
        }
        const auto result = queue.submit(0, "", start + row.timeLeft, start);
        CHECK(std::holds_alternative<uint64_t>(result) == row.isAdmitted);
        if (!row.isAdmitted) {
            CHECK(rejectionOf(result).reason == "deadline-unreachable");
            CHECK(rejectionOf(result).retryAfter == 5ms * (row.waiting + 1));
        }
    }
}

// Guards against a request that starts although too little time is left after its wait.
TEST_CASE("a request with too little time left is rejected at its turn", "[admission]")
{
    auto queue = makeQueue({0}, 2);
    const uint64_t first = submit(queue, 0);
    submit(queue, 0);
    REQUIRE(startedIds(queue.poll(start)).size() == 2);
    const uint64_t lateRequest = submit(queue, 0, "", 50ms);
    const uint64_t punctualRequest = submit(queue, 0, "", 500ms);
    queue.finish(first, request_outcome::Run, "answered", 49ms, start + 49ms);
    const auto decisions = queue.poll(start + 49ms);
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].id == lateRequest);
    CHECK(decisions[0].rejection.value().reason == "deadline-unreachable");
    CHECK(startedIds(decisions) == std::vector{punctualRequest});
}

// Guards against a rank whose requests are rejected forever because its mean service time exceeds
// its deadlines, both while other ranks are idle and while they are not.
TEST_CASE("a rank recovers from slow responses", "[admission]")
{
    auto queue = makeQueue({0, 0}, 2);
    submit(queue, 0);
    queue.poll(start);
    const uint64_t slowRequest = submit(queue, 1);
    queue.poll(start);
    steady_time now = start + 1h;
    queue.finish(slowRequest, request_outcome::Run, "answered", 1h, now);
    for (int i = 0; i < 300; ++i) {
        const uint64_t id = submit(queue, 1, "", 1s, now);
        REQUIRE(id != 0);
        REQUIRE(startedIds(queue.poll(now)) == std::vector{id});
        now += 5ms;
        queue.finish(id, request_outcome::Run, "answered", 5ms, now);
    }
    CHECK(submit(queue, 1, "", 1s, now) != 0);
    CHECK(submit(queue, 1, "", 1s, now) != 0);
}

// Guards against queues that grow without bound, and against a rank that fills the queue of another
// rank.
TEST_CASE("each rank has a bounded queue", "[admission]")
{
    const admission_options options;
    for (const int slots : {1, 5}) {
        auto queue = makeQueue({0.2, 0.2}, slots);
        const auto bound =
            static_cast<size_t>(slots) * static_cast<size_t>(options.maxWaitingPerSlot);
        for (int i = 0; i < 100; ++i) {
            submit(queue, 1);
        }
        CHECK(queue.waitingCount(1) == bound);
        CHECK(rejectionOf(queue.submit(1, "", start + 10s, start)).reason == "overload");
        CHECK(submit(queue, 0) != 0);
        const uint64_t last = submit(queue, 0);
        queue.cancel(last);
        CHECK(queue.waitingCount(0) == 1);
    }
}

// Guards against a subsidiary that starves the other subsidiaries of its rank, in the queue or at
// the slots.
TEST_CASE("subsidiaries share a rank", "[admission]")
{
    auto queue = makeQueue({0}, 1);
    busy_slot slot(queue);
    std::map<uint64_t, std::string> subsidiaryOf;
    for (int i = 0; i < 4; ++i) {
        subsidiaryOf[submit(queue, 0, "flooding")] = "flooding";
    }
    SECTION("a full queue evicts requests of the subsidiary with the most requests")
    {
        subsidiaryOf[submit(queue, 0, "quiet")] = "quiet";
        subsidiaryOf[submit(queue, 0, "quiet")] = "quiet";
        CHECK(queue.waitingCount(0) == 4);
        CHECK(submit(queue, 0, "quiet") == 0);
        CHECK(submit(queue, 0, "flooding") == 0);
        const auto evicted = queue.poll(start);
        REQUIRE(evicted.size() == 2);
        for (const auto &decision : evicted) {
            CHECK(decision.rejection.value().reason == "overload");
            CHECK(subsidiaryOf[decision.id] == "flooding");
        }
        CHECK(slot.next() != 0);
    }
    SECTION("subsidiaries alternate, and gain no slot time while they have no requests")
    {
        CHECK(subsidiaryOf[slot.next()] == "flooding");
        CHECK(subsidiaryOf[slot.next()] == "flooding");
        subsidiaryOf[submit(queue, 0, "quiet")] = "quiet";
        subsidiaryOf[submit(queue, 0, "quiet")] = "quiet";
        for (const char *expected : {"quiet", "flooding", "quiet", "flooding"}) {
            CHECK(subsidiaryOf[slot.next()] == expected);
        }
    }
}

// Guards against the loss of waiting requests when a new document removes their rank.
TEST_CASE("waiting requests survive a change of the ranks", "[admission]")
{
    auto queue = makeQueue({0, 0, 0}, 1);
    busy_slot slot(queue);
    const uint64_t waiting = submit(queue, 2, "a");
    queue.setFloors({0.5, 0.1});
    CHECK(queue.waitingCount(1) == 1);
    CHECK(slot.next() == waiting);
}
