// A new process listens at the address of the local upstream before the daemon knows of it.
#include "wait_until.h"

#include "persimmonrail/keyspace/grant_fence.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/range_controller.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <optional>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id first{"a", 1};
const upstream_id second{"a2", 2};
const std::string service = "s";
const std::string address = "127.0.0.1:1";

// The processes that listen at one address, one after the other. Connections end at the process
// that listened when they were opened.
class upstream_processes
{
public:
    struct received_call
    {
        int process = 0;
        uint64_t fence = 0;
    };
    grant_api api()
    {
        grant_api api;
        api.connect = [this](const std::string &) {
            const std::lock_guard lock(m_mutex);
            m_connectedTo = m_process;
            return m_process == 0 ? absl::FailedPreconditionError("refused") : absl::OkStatus();
        };
        api.grant = [this](const std::string &, const range_grant &grant, milliseconds) {
            const std::lock_guard lock(m_mutex);
            if (m_connectedTo != m_process) {
                return absl::NotFoundError("closed");
            }
            m_grants.push_back({m_process, fenceOnConnection(grant.fence, grant.connection)});
            return absl::OkStatus();
        };
        api.release = [this](const std::string &, key_interval,
                             uint64_t fence) -> absl::StatusOr<std::string> {
            const std::lock_guard lock(m_mutex);
            if (!m_respondsToReleases) {
                return absl::UnknownError("no response");
            }
            m_releases.push_back({m_process, fence});
            return "h";
        };
        return api;
    }
    // Ends the process; another one listens from now on unless `process` is 0.
    void replace(int process)
    {
        const std::lock_guard lock(m_mutex);
        m_process = process;
    }
    void setRespondsToReleases(bool responds)
    {
        const std::lock_guard lock(m_mutex);
        m_respondsToReleases = responds;
    }
    std::vector<uint64_t> fencesAt(int process)
    {
        const std::lock_guard lock(m_mutex);
        return fencesIn(m_grants, process);
    }
    std::vector<uint64_t> releasedAt(int process)
    {
        const std::lock_guard lock(m_mutex);
        return fencesIn(m_releases, process);
    }

private:
    static std::vector<uint64_t> fencesIn(const std::vector<received_call> &calls, int process)
    {
        std::vector<uint64_t> fences;
        for (const received_call &call : calls) {
            if (call.process == process) {
                fences.push_back(call.fence);
            }
        }
        return fences;
    }

    std::mutex m_mutex;
    int m_process = 1;
    int m_connectedTo = 0;
    bool m_respondsToReleases = true;
    std::vector<received_call> m_grants;
    std::vector<received_call> m_releases;
};

// The controller of the daemon beside the processes, with a record that names `first` as owner.
class controlled_processes
{
public:
    controlled_processes()
        : m_controller(service, timing(), {}, processes.api(), m_loop, m_log,
                       {{}, [this](const upstream_id &id) { m_refused = id; }})
    {
        fleet_directory_builder builder([](const std::string &, std::string_view) {});
        m_loop.every(10ms, [this](steady_time now) { m_controller.tick(now); });
        m_loop.start();
        m_loop.postAndWait([&](steady_time) {
            // No record: no earlier process of the daemon has sent grants.
            m_controller.onDirectory(builder.build(), store_confirmation{1, bootNow()});
            builder.applyObject(
                {placementKey(service), 2, false,
                 encodePlacement(assignUnowned(emptyPlacement(service), {{first, 9}}))});
            m_controller.setUpstream(first, address, false);
            m_controller.onDirectory(builder.build(), store_confirmation{2, bootNow()});
        });
        REQUIRE(waitUntil([&] { return !processes.fencesAt(1).empty(); }));
    }
    ~controlled_processes() { m_loop.stop(); }
    void setUpstream(const upstream_id &id)
    {
        m_loop.postAndWait([&](steady_time) { m_controller.setUpstream(id, address, false); });
    }
    // Whether others may be told that `first` has ended.
    bool mayPublishEnd()
    {
        bool mayPublish = false;
        m_loop.postAndWait([&](steady_time) { mayPublish = m_controller.releaseEnded(first); });
        return mayPublish;
    }
    std::optional<upstream_id> refused()
    {
        std::optional<upstream_id> refused;
        m_loop.postAndWait([&](steady_time) { refused = m_refused; });
        return refused;
    }

    upstream_processes processes;

private:
    static range_lease_timing timing()
    {
        range_lease_timing timing;
        timing.renewalInterval = 20ms;
        return timing;
    }

    control_loop m_loop;
    decision_log m_log{{log_level::Off, "", 0, false}};
    std::optional<upstream_id> m_refused;
    range_controller m_controller;
};

} // namespace

// Guards against OWNER: a renewal that reaches the next incarnation of an upstream before its first
// heartbeat gives it the keys with the fence of the one that has ended.
TEST_CASE("no incarnation of an upstream is granted a fence of another one", "[router]")
{
    controlled_processes site;
    site.processes.replace(2);
    REQUIRE(waitUntil([&] { return !site.processes.fencesAt(2).empty(); }));
    const std::vector<uint64_t> before = site.processes.fencesAt(1);
    const std::vector<uint64_t> after = site.processes.fencesAt(2);
    CHECK(*std::max_element(before.begin(), before.end())
          < *std::min_element(after.begin(), after.end()));
}

// Guards against OWNER: the keys of an ended upstream are given to others while its next
// incarnation holds them by a stray renewal.
TEST_CASE("the grants of an ended upstream are released before its end is published", "[router]")
{
    controlled_processes site;
    site.processes.setRespondsToReleases(false);
    site.processes.replace(2);
    REQUIRE(waitUntil([&] { return !site.processes.fencesAt(2).empty(); }));
    site.setUpstream(second);
    CHECK_FALSE(site.mayPublishEnd());
    site.processes.setRespondsToReleases(true);
    CHECK(waitUntil([&] { return site.mayPublishEnd(); }));
    const std::vector<uint64_t> granted = site.processes.fencesAt(2);
    REQUIRE(site.processes.releasedAt(2).size() == 1);
    CHECK(site.processes.releasedAt(2)[0] >= *std::max_element(granted.begin(), granted.end()));
}

// Guards against keys that are unserved until a request or a heartbeat shows that their upstream
// has ended.
TEST_CASE("a renewal that is refused a connection shows that the upstream has ended", "[router]")
{
    controlled_processes site;
    site.processes.replace(0);
    REQUIRE(waitUntil([&] { return site.refused().has_value(); }));
    CHECK(*site.refused() == first);
}

// Guards against OWNER: the end of an incarnation is published while a write that gives it keys is
// under way, so that the keys are recorded for it afterwards.
TEST_CASE("no end is published while a write is under way", "[router]")
{
    std::promise<void> response;
    const std::shared_future<void> responded = response.get_future().share();
    std::atomic<bool> isWriting{false};
    object_api store;
    store.get = [](const std::string &) { return absl::NotFoundError("none"); };
    store.put = [&](const std::string &, uint64_t,
                    const std::string &) -> absl::StatusOr<uint64_t> {
        isWriting = true;
        responded.wait();
        return 3;
    };
    upstream_processes processes;
    control_loop loop;
    decision_log log({log_level::Off, "", 0, false});
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    range_controller controller(service, {}, store, processes.api(), loop, log,
                                {[&](const stored_object &object) {
                                    builder.applyObject(object);
                                    controller.onDirectory(builder.build(), {});
                                }});
    loop.every(10ms, [&](steady_time now) { controller.tick(now); });
    loop.start();
    loop.postAndWait([&](steady_time) {
        builder.applyObject(
            {placementKey(service), 2, false, encodePlacement(emptyPlacement(service))});
        controller.onDirectory(builder.build(), store_confirmation{2, bootNow()});
        controller.setUpstream(first, address, false);
        range_controller::peer_view peers;
        peers.live = {{first, 9}};
        peers.isCoordinator = true;
        controller.setPeers(peers);
    });
    REQUIRE(waitUntil([&] { return isWriting.load(); }));
    const auto mayPublishEnd = [&] {
        bool mayPublish = false;
        loop.postAndWait([&](steady_time) { mayPublish = controller.releaseEnded(first); });
        return mayPublish;
    };
    CHECK_FALSE(mayPublishEnd());
    response.set_value();
    loop.stop();
}
