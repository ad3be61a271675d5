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

// Guards against changes that are skipped after a failure or a compaction, and against a list where
// a watch from the known revision is sufficient.
TEST_CASE("the relay watch lists first, then watches, and lists again after a compaction")
{
    struct row
    {
        std::string name;
        uint64_t knownRevision;
        std::vector<scripted_response> script;
        std::vector<std::string> events;
    };
    const auto row = GENERATE(values<struct row>({
        {"no known revision",
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
        {"platform temporarily unavailable",
         7,
         {{absl::UnavailableError("down")}, upTo(9)},
         {"watch 7", "failed 14", "watch 7", "changed 7 to 9", "watch 9"}},
    }));
    CAPTURE(row.name);
    // Until the script has ended, only the thread of the watch accesses this vector.
    std::vector<std::string> events;
    std::promise<void> scriptEnded;
    std::promise<void> callReleased;
    size_t next = 0;
    const auto respond = [&](const std::string &call) -> absl::StatusOr<object_list> {
        events.push_back(call);
        if (next == row.script.size()) {
            scriptEnded.set_value();
            callReleased.get_future().wait();
            return absl::UnavailableError("end of script");
        }
        const auto &step = row.script[next++];
        if (!step.status.ok()) {
            return step.status;
        }
        return object_list{step.revision, {}};
    };
    const auto recordEvent = [&](const std::string &event, uint64_t number) {
        events.push_back(event + " " + std::to_string(number));
    };
    object_api api;
    api.list = [&](const std::string &) { return respond("list"); };
    api.watch = [&](const std::string &, uint64_t revision, milliseconds) {
        return respond("watch " + std::to_string(revision));
    };
    relay_watch watch(api,
                      {[&](const object_list &list) { recordEvent("listed", list.revision); },
                       [&](uint64_t since, const object_list &changes) {
                           recordEvent("changed " + std::to_string(since) + " to",
                                       changes.revision);
                       },
                       [&](const absl::Status &status, milliseconds) {
                           recordEvent("failed", static_cast<uint64_t>(status.code()));
                       },
                       std::mt19937_64(7)});
    CHECK_FALSE(watch.isActive());
    watch.activate(row.knownRevision);
    scriptEnded.get_future().wait();
    CHECK(events == row.events);
    // No other call may follow the call that is blocked here, because a second call would set the
    // promise `scriptEnded` again.
    watch.deactivate();
    callReleased.set_value();
}
