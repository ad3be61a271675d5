#include "persimmonrail/routing/instance_picker.h"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;
using result = instance_picker::result;

namespace {

const steady_time start = steady_time{} + 1h;

// Returns members with 10 slots each: `local` of them in the zone "own", `remote` in "other".
std::vector<member_record> makeMembers(int local, int remote)
{
    std::vector<member_record> members;
    for (int i = 0; i < local + remote; ++i) {
        const std::string name = (i < local ? "local" : "remote") + std::to_string(i);
        members.push_back({{name, 1}, "r", i < local ? "own" : "other", "s", "p", "c", 10});
    }
    return members;
}

std::vector<const member_record *> pointers(const std::vector<member_record> &members)
{
    std::vector<const member_record *> result;
    result.reserve(members.size());
    for (const auto &member : members) {
        result.push_back(&member);
    }
    return result;
}

// Picks and finishes `count` requests, one after the other. Returns the number of picks by
// instance.
std::map<std::string, int> serve(instance_picker &picker, int count, steady_time now,
                                 const std::function<result(const std::string &)> &outcome)
{
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) {
        const auto picked = picker.pick({}, now);
        REQUIRE(picked.has_value());
        ++picks[picked->id.name];
        picker.finish(picked->id, outcome(picked->id.name), 5ms, now);
    }
    return picks;
}

result responded(const std::string &)
{
    return result::Responded;
}

} // namespace

// Guards against unnecessary traffic across availability zones.
TEST_CASE("the own availability zone is preferred until it is overloaded")
{
    const auto members = makeMembers(2, 4);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    // Each of the two instances has 10 slots and counts as overloaded with 8 requests in flight.
    for (int i = 0; i < 16; ++i) {
        CHECK(picker.pick({}, start)->availabilityZone == "own");
    }
    int remote = 0;
    for (int i = 0; i < 8; ++i) {
        remote += picker.pick({}, start)->availabilityZone == "other" ? 1 : 0;
    }
    CHECK(remote == 8);
}

// Guards against a slow instance that keeps its share of requests, and against one that is never
// tried again.
TEST_CASE("a slow instance gets fewer requests and is tried again later")
{
    const auto members = makeMembers(3, 0);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    const auto serveSlowly = [&](steady_time now, milliseconds slow) {
        int slowPicks = 0;
        for (int i = 0; i < 300; ++i) {
            const auto picked = picker.pick({}, now + i * 10ms);
            const bool isSlow = picked->id.name == "local0";
            slowPicks += isSlow ? 1 : 0;
            picker.finish(picked->id, result::Responded, isSlow ? slow : 5ms, now + i * 10ms);
        }
        return slowPicks;
    };
    CHECK(serveSlowly(start, 100ms) < 20);
    CHECK(serveSlowly(start + 60s, 5ms) > 50);
}

// Guards against a failing instance that keeps getting requests, and against the ejection of so
// many instances that the others are overloaded.
TEST_CASE("failing instances are ejected, at most half of all instances")
{
    const auto [count, failing, ejected] = GENERATE(table<int, int, size_t>(
        {{4, 0, 0}, {4, 1, 1}, {4, 2, 2}, {4, 4, 2}, {2, 2, 1}, {1, 1, 0}}));
    const auto members = makeMembers(count, 0);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    serve(picker, 400, start, [failing = failing](const std::string &name) {
        return name.back() - '0' < failing ? result::Failed : result::Responded;
    });
    CHECK(picker.ejectedCount(start) == ejected);
    CHECK(picker.ejectedCount(start + 1s) == 0);
}

// Guards against an instance that fails repeatedly and still gets requests every second, and
// against a long ejection because of failures long ago.
TEST_CASE("repeated ejections last longer until a time without ejection")
{
    const auto members = makeMembers(2, 0);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    auto now = start;
    for (const auto duration : {1s, 2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
        for (int i = 0; i < 3; ++i) {
            picker.finish(members[0].id, result::Failed, 1ms, now);
        }
        CHECK(picker.ejectedCount(now + duration - 1ms) == 1);
        CHECK(picker.ejectedCount(now + duration) == 0);
        now += duration;
    }
    now += 31s;
    for (int i = 0; i < 3; ++i) {
        picker.finish(members[0].id, result::Failed, 1ms, now);
    }
    CHECK(picker.ejectedCount(now + 1s) == 0);
}

// Guards against an instance that gets its full share of requests before it has warmed up.
TEST_CASE("a new or returning instance gets its share gradually")
{
    const auto [elapsed, minPicks, maxPicks] =
        GENERATE(table<milliseconds, int, int>({{0ms, 1, 150}, {10000ms, 200, 600}}));
    const bool isNew = GENERATE(true, false);
    auto members = makeMembers(4, 0);
    const auto slowStarting = members.back();
    instance_picker picker("own", std::mt19937_64(5));
    if (isNew) {
        members.pop_back();
    }
    picker.setInstances(pointers(members), start);
    serve(picker, 300, start, responded);
    auto now = start;
    if (isNew) {
        members.push_back(slowStarting);
        picker.setInstances(pointers(members), start);
    } else {
        for (int i = 0; i < 3; ++i) {
            picker.finish(slowStarting.id, result::Failed, 1ms, start);
        }
        now += 1s;
    }
    const auto picks = serve(picker, 1200, now + elapsed, responded);
    const int slowStartPicks =
        picks.count(slowStarting.id.name) == 0 ? 0 : picks.at(slowStarting.id.name);
    CHECK(slowStartPicks >= minPicks);
    CHECK(slowStartPicks <= maxPicks);
}

// Guards against a retry on the instance that has just failed.
TEST_CASE("instances that were already tried are skipped")
{
    const auto members = makeMembers(2, 1);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    std::vector<instance_id> tried;
    for (size_t i = 0; i < members.size(); ++i) {
        const auto picked = picker.pick(tried, start);
        REQUIRE(picked.has_value());
        CHECK(std::find(tried.begin(), tried.end(), picked->id) == tried.end());
        tried.push_back(picked->id);
    }
    CHECK_FALSE(picker.pick(tried, start).has_value());
}

// Guards against wrong in-flight counts when threads pick while the set of instances changes.
TEST_CASE("several threads can use one picker")
{
    const auto members = makeMembers(4, 4);
    instance_picker picker("own", std::mt19937_64(5));
    picker.setInstances(pointers(members), start);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&, i] {
            for (int request = 0; request < 2000; ++request) {
                if (i == 0 && request % 100 == 0) {
                    picker.setInstances(pointers(members), start);
                }
                const auto picked = picker.pick({}, start);
                picker.finish(picked->id, result::Responded, 1ms, start);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    // With all counts back at 0, the own availability zone gets requests up to its limit of 8 per
    // instance.
    for (int i = 0; i < 24; ++i) {
        CHECK(picker.pick({}, start)->availabilityZone == "own");
    }
}
