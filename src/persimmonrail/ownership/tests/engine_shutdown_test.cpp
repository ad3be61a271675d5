#include "persimmonrail/ownership/lease_witness.h"
#include "persimmonrail/ownership/ownership_engine.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace persimmonrail;

namespace {

// An engine that owns one partition without standbys, and the three witnesses of the partition.
class single_owner_fixture
{
public:
    single_owner_fixture()
        : engine(
            ownership_engine::builder().self(self).hooks(makeHooks()).servingTable(table).build())
    {
        auto view = std::make_shared<fleet_view>();
        placement_record record;
        record.partition = "ledger/0000000000000000";
        record.range = {0, ~uint64_t{0}};
        record.owner = self;
        record.term = 1;
        for (const auto &[id, witness] : m_witnesses) {
            record.witnesses.push_back(id);
        }
        view->members[self.name].id = self;
        view->records[record.partition] = {record, 2};
        indexRecords(*view);
        engine.onView(view, now);
        engine.onUpstreamUp(now);
        run(milliseconds(1000));
    }

    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now += milliseconds(20)) {
            engine.tick(now);
            while (!m_pending.empty()) {
                const auto next = std::move(m_pending.front());
                m_pending.pop_front();
                next();
            }
        }
    }

    const instance_id self{"ledger-0", 1};
    steady_time now{std::chrono::hours(1)};
    serving_table table;

private:
    ownership_hooks makeHooks()
    {
        ownership_hooks hooks;
        hooks.send = [this](const instance_id &to, const wire::Request &request, milliseconds,
                            const ownership_hooks::reply_completion &done) {
            m_pending.emplace_back([this, to, request, done] { done(replyTo(to, request), now); });
        };
        hooks.putRecord = [](const std::string &, uint64_t, const std::string &,
                             const ownership_hooks::put_completion &) {};
        hooks.getRecord = [](const std::string &, const ownership_hooks::get_completion &) {};
        hooks.applyGrants = [this](const std::vector<lease_grant> &,
                                   const ownership_hooks::grant_completion &done) {
            m_pending.emplace_back([this, done] { done(absl::OkStatus(), now); });
        };
        return hooks;
    }

    wire::Reply replyTo(const instance_id &to, const wire::Request &request)
    {
        auto &witness = m_witnesses.at(to);
        wire::Reply reply;
        reply.mutable_sender()->set_name(to.name);
        reply.mutable_sender()->set_incarnation(to.incarnation);
        if (request.has_heartbeat()) {
            *reply.mutable_heartbeat() = witness.onHeartbeat(self, request.heartbeat(), now);
        } else if (request.has_claim()) {
            *reply.mutable_claim() = witness.onClaim(self, request.claim(), now);
        } else if (request.has_release()) {
            *reply.mutable_release() = witness.onRelease(self, request.release(), now);
        }
        return reply;
    }

    std::map<instance_id, lease_witness> m_witnesses{{{"w-0", 1}, lease_witness({"w-0", 1})},
                                                     {{"w-1", 1}, lease_witness({"w-1", 1})},
                                                     {{"w-2", 1}, lease_witness({"w-2", 1})}};
    std::deque<std::function<void()>> m_pending;

public:
    ownership_engine engine;
};

} // namespace

// Guards against a graceful shutdown that lets the lease end while a request is in flight. An
// upstream that does not check grants would have the request cancelled.
TEST_CASE("a shutdown without a standby renews the lease until the requests in flight have ended",
          "[ownership]")
{
    single_owner_fixture owner;
    auto ticket = owner.table.begin("ledger", 7, owner.now);
    REQUIRE(ticket);
    const auto lease = ticket->lease();
    owner.engine.startShutdown(owner.now);
    for (int round = 0; round < 20; ++round) {
        owner.run(milliseconds(250));
        CHECK_FALSE(owner.table.begin("ledger", 7, owner.now));
        CHECK_FALSE(owner.engine.isDrained());
        const auto leaseEnd = owner.table.leaseEnd(lease.partition, lease.term);
        REQUIRE(leaseEnd);
        CHECK(*leaseEnd > owner.now);
    }
    ticket.reset();
    owner.run(milliseconds(100));
    CHECK(owner.engine.isDrained());
}
