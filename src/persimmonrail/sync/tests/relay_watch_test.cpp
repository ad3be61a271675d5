#include "persimmonrail/sync/relay_watch.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <string>

using namespace persimmonrail;

namespace {

struct scripted_answer
{
    absl::Status status;
    uint64_t revision = 0;
};

// An object API that answers from a script and then blocks until it is released.
class scripted_api
{
public:
    explicit scripted_api(std::deque<scripted_answer> script)
        : m_script(std::move(script))
    { }

    object_api api()
    {
        object_api result;
        result.list = [this](const std::string &) { return answer("list"); };
        result.watch = [this](const std::string &, uint64_t revision, milliseconds) {
            return answer("watch " + std::to_string(revision));
        };
        return result;
    }

    relay_watch::hooks hooks()
    {
        return {[this](const object_list &list) { note("listed", list.revision); },
                [this](uint64_t since, const object_list &changes) {
                    note("changed " + std::to_string(since) + " to", changes.revision);
                },
                [this](const absl::Status &status, milliseconds) {
                    note("failed", static_cast<uint64_t>(status.code()));
                },
                std::mt19937_64(7)};
    }

    void waitForEndOfScript()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_atEnd; });
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_released = true;
        m_changed.notify_all();
    }

    std::vector<std::string> events()
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

private:
    absl::StatusOr<object_list> answer(const std::string &call)
    {
        std::unique_lock lock(m_mutex);
        m_events.push_back(call);
        if (m_script.empty()) {
            m_atEnd = true;
            m_changed.notify_all();
            m_changed.wait(lock, [this] { return m_released; });
            return absl::UnavailableError("end of script");
        }
        const auto next = m_script.front();
        m_script.pop_front();
        if (!next.status.ok()) {
            return next.status;
        }
        return object_list{next.revision, {}};
    }

    void note(const std::string &event, uint64_t number)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(event + " " + std::to_string(number));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<scripted_answer> m_script;
    std::vector<std::string> m_events;
    bool m_atEnd = false;
    bool m_released = false;
};

scripted_answer upTo(uint64_t revision)
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
        std::deque<scripted_answer> script;
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
    scripted_api scripted(row.script);
    relay_watch watch(scripted.api(), scripted.hooks());
    CHECK_FALSE(watch.isActive());
    watch.activate(row.known);
    scripted.waitForEndOfScript();
    CHECK(scripted.events() == row.events);
    // The call that is blocked here must neither report nor be followed by another one.
    watch.deactivate();
    scripted.release();
}
