#include "persimmonrail/sync/relay_watch.h"

#include <catch2/catch.hpp>

#include <future>
#include <random>
#include <string>

using namespace persimmonrail;

namespace {

struct scripted_response
{
    absl::Status status;
    uint64_t revision = 0;
};

scripted_response upTo(uint64_t revision)
{
    return {absl::OkStatus(), revision};
}

} // namespace

// Guards against changes that are skipped after a failure or a compaction, and against a list
// where a watch from the known revision is enough.
TEST_CASE("the relay lists, watches and lists again after a compaction")
{
    struct row
    {
        std::string name;
        uint64_t known;
        std::vector<scripted_response> script;
        std::vector<std::string> events;
    };
    const auto row = GENERATE(values<struct row>({
        {"from nothing",
         0,
         {upTo(5), upTo(8)},
         {"list", "listed 5", "watch 5", "changed 5 to 8", "watch 8"}},
        {"empty platform",
         0,
         {upTo(0), upTo(1)},
         {"list", "listed 0", "watch 0", "changed 0 to 1", "watch 1"}},
        {"from a known revision", 7, {upTo(8)}, {"watch 7", "changed 7 to 8", "watch 8"}},
        {"compacted",
         7,
         {{absl::OutOfRangeError("compacted")}, upTo(20)},
         {"watch 7", "failed 11", "list", "listed 20", "watch 20"}},
        {"platform down for a moment",
         7,
         {{absl::UnavailableError("down")}, upTo(9)},
         {"watch 7", "failed 14", "watch 7", "changed 7 to 9", "watch 9"}},
    }));
    CAPTURE(row.name);
    // Only the watch's thread appends, until the script has ended.
    std::vector<std::string> events;
    std::promise<void> ended;
    std::promise<void> released;
    size_t next = 0;
    const auto respond = [&](const std::string &call) -> absl::StatusOr<object_list> {
        events.push_back(call);
        if (next == row.script.size()) {
            ended.set_value();
            released.get_future().wait();
            return absl::UnavailableError("end of script");
        }
        const auto &step = row.script[next++];
        if (!step.status.ok()) {
            return step.status;
        }
        return object_list{step.revision, {}};
    };
    const auto note = [&](const std::string &event, uint64_t number) {
        events.push_back(event + " " + std::to_string(number));
    };
    object_api api;
    api.list = [&](const std::string &) { return respond("list"); };
    api.watch = [&](const std::string &, uint64_t revision, milliseconds) {
        return respond("watch " + std::to_string(revision));
    };
    relay_watch watch(api,
                      {[&](const object_list &list) { note("listed", list.revision); },
                       [&](uint64_t since, const object_list &changes) {
                           note("changed " + std::to_string(since) + " to", changes.revision);
                       },
                       [&](const absl::Status &status, milliseconds) {
                           note("failed", static_cast<uint64_t>(status.code()));
                       },
                       std::mt19937_64(7)});
    CHECK_FALSE(watch.isActive());
    watch.activate(row.known);
    ended.get_future().wait();
    CHECK(events == row.events);
    // The call that is blocked here must not be followed by another one, which would end twice.
    watch.deactivate();
    released.set_value();
}
