#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/fleet/local_upstream.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using verdict = local_upstream::verdict;
const steady_time start = steady_time(1000s);
constexpr char upstreamAddress[] = "127.0.0.1:8000";
constexpr char peerAddress[] = "127.0.0.1:9000";

upstream_report report(const upstream_id &id, int64_t sequence, bool isDraining = false)
{
    upstream_report result;
    result.id = id;
    result.service = "ledger";
    result.address = upstreamAddress;
    result.slots = 9;
    result.sequence = sequence;
    result.isDraining = isDraining;
    return result;
}

upstream_member entry(const upstream_id &id, bool hasAnnouncedShutdown, bool isTerminated = false)
{
    upstream_member result{id,          "ledger", "nord", peerAddress, 9, hasAnnouncedShutdown,
                           isTerminated};
    result.hasAnnouncedShutdown = hasAnnouncedShutdown;
    return result;
}

using member_list = std::vector<upstream_member>;

std::shared_ptr<const fleet_directory> directoryOf(const member_list &members)
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    for (const upstream_member &member : members) {
        builder.applyObject({memberKey(member.id.name), 1, false, encodeMember(member)});
    }
    return builder.build();
}

} // namespace

// Guards against DRAIN: an announcement that arrived before the first heartbeat, or at the process
// before, was forgotten, and a late heartbeat made the upstream ready.
TEST_CASE("an upstream that has announced its shutdown does not become ready", "[fleet]")
{
    using steps = std::function<void(local_upstream &)>;
    const upstream_id id{"a", 10};
    const auto depart = [&](local_upstream &upstream) {
        CHECK(upstream.onShutdownAnnounced({"a", 10}, start) == verdict::Remembered);
    };
    const auto [name, before, after, phase] =
        GENERATE_REF(table<std::string, steps, steps, upstream_phase>({
            {"departure, then a late heartbeat", depart,
             [](local_upstream &upstream) { upstream.onReport(report({"a", 10}, 7), start); },
             upstream_phase::Draining},
            {"departure, then a late heartbeat of an earlier start", depart,
             [](local_upstream &upstream) { upstream.onReport(report({"a", 9}, 7), start); },
             upstream_phase::Draining},
            {"departure, then its successor under the same name", depart,
             [](local_upstream &upstream) { upstream.onReport(report({"a", 11}, 1), start); },
             upstream_phase::Ready},
            {"departure, then its successor under another name", depart,
             [](local_upstream &upstream) { upstream.onReport(report({"b", 10}, 1), start); },
             upstream_phase::Ready},
            {"entry with the shutdown, then a late heartbeat",
             [](local_upstream &upstream) {
                 upstream.onMemberEntry(entry({"a", 10}, true), upstreamAddress, start);
             },
             [](local_upstream &upstream) { upstream.onReport(report({"a", 10}, 7), start); },
             upstream_phase::Draining},
            {"late heartbeat, then the entry with the shutdown",
             [](local_upstream &upstream) { upstream.onReport(report({"a", 10}, 7), start); },
             [](local_upstream &upstream) {
                 CHECK(upstream.onMemberEntry(entry({"a", 10}, true), upstreamAddress, start)
                       == verdict::Changed);
             },
             upstream_phase::Draining},
            {"departure, then the entry of a process before", depart,
             [](local_upstream &upstream) {
                 CHECK(upstream.onMemberEntry(entry({"a", 10}, false), upstreamAddress, start)
                       == verdict::Changed);
                 CHECK(upstream.report()->id == upstream_id{"a", 10});
             },
             upstream_phase::Draining},
            {"entry without a shutdown, then a heartbeat",
             [](local_upstream &upstream) {
                 upstream.onMemberEntry(entry({"a", 10}, false), upstreamAddress, start);
             },
             [](local_upstream &upstream) { upstream.onReport(report({"a", 10}, 7), start); },
             upstream_phase::Ready},
        }));
    CAPTURE(name);
    local_upstream upstream({1000ms, 3});
    before(upstream);
    after(upstream);
    CHECK(upstream.phase() == phase);
    CHECK(upstream.hasAnnouncedShutdown(id) == (name.find("without") == std::string::npos));
}

// Guards against memory that a stream of departures fills, and against one that pushes the latest
// of them out.
TEST_CASE("the latest announced shutdowns are remembered", "[fleet]")
{
    local_upstream upstream({1000ms, 3});
    for (int64_t i = 1; i <= 1000; ++i) {
        upstream.onShutdownAnnounced({"i-" + std::to_string(i), i}, start);
    }
    CHECK(upstream.names().size() < 100);
    CHECK(upstream.hasAnnouncedShutdown({"i-1000", 1000}));
    CHECK(upstream.hasAnnouncedShutdown({"i-990", 990}));
}

// Guards against a confirmation that rests on an entry which does not bind the next process.
TEST_CASE("an entry records the shutdown of its own incarnation", "[fleet]")
{
    const upstream_id id{"a", 10};
    upstream_member elsewhere = entry(id, true);
    elsewhere.peerAddress = "127.0.0.1:9001";
    const auto [members, expected] = GENERATE_REF(table<member_list, shutdown_entry>({
        {member_list{}, shutdown_entry::None},
        {member_list{elsewhere}, shutdown_entry::None},
        {member_list{entry(id, false)}, shutdown_entry::Missing},
        {member_list{entry({"a", 9}, true)}, shutdown_entry::Missing},
        {member_list{entry(id, true)}, shutdown_entry::Recorded},
        {member_list{entry(id, false, true)}, shutdown_entry::Recorded},
        {member_list{entry({"a", 11}, false)}, shutdown_entry::Recorded},
        {member_list{entry(id, false), entry({"b", 11}, false)}, shutdown_entry::Recorded},
    }));
    CAPTURE(members.size());
    CHECK(findShutdownEntry(*directoryOf(members), peerAddress, id) == expected);
}

// Guards against entries that daemons of other versions can't exchange.
TEST_CASE("an entry states a shutdown only if there is one", "[fleet]")
{
    const bool hasAnnouncedShutdown = GENERATE(false, true);
    const std::string text = encodeMember(entry({"a", 10}, hasAnnouncedShutdown));
    CHECK((text.find("shutdown_announced") != std::string::npos) == hasAnnouncedShutdown);
    CHECK(parseMember(text)->hasAnnouncedShutdown == hasAnnouncedShutdown);
}

namespace {

// The daemon beside the upstreams of one host, which is restarted, and the store, of which it holds
// a directory that may be old. Messages arrive as the test says.
class restarted_daemon
{
public:
    // Starts a process that has not read the store.
    void restart()
    {
        m_process.emplace(local_upstream_options{1000ms, 3});
        m_directory = directoryOf({});
        m_isListed = false;
    }
    // Reads the store, and takes the entries of the upstreams that the process knows.
    void readStore()
    {
        m_directory = m_store;
        m_isListed = true;
        if (m_process->report()
            && isSuperseded(*m_directory, peerAddress, m_process->report()->id)) {
            m_process->forget();
        }
        for (const std::string &name : m_process->names()) {
            takeEntry(name);
        }
    }
    // Writes the entry of the present upstream. The store refuses the write of a process that has
    // not read the newest entry.
    void writeStore()
    {
        if (!m_isListed || !m_process->report()) {
            return;
        }
        const upstream_id &id = m_process->report()->id;
        upstream_member member = entry(id, m_process->hasAnnouncedShutdown(id));
        member.isDraining = !m_process->acceptsRequests();
        const auto *known = m_directory->findMember(id.name);
        const auto *newest = m_store->findMember(id.name);
        if ((known == nullptr ? 0 : known->version) == (newest == nullptr ? 0 : newest->version)) {
            m_builder.applyObject({memberKey(id.name), ++m_version, false, encodeMember(member)});
            m_store = m_directory = m_builder.build();
        }
    }
    void onHeartbeat(const upstream_report &report)
    {
        if (!isSuperseded(*m_directory, peerAddress, report.id)) {
            takeEntry(report.id.name);
            m_process->onReport(report, start);
        }
    }
    void onDeparture(const upstream_id &id)
    {
        takeEntry(id.name);
        m_process->onShutdownAnnounced(id, start);
    }
    // Returns whether the daemon confirms the shutdown of the incarnation now.
    bool confirms(const upstream_id &id) const
    {
        return m_isListed
            && findShutdownEntry(*m_directory, peerAddress, id) == shutdown_entry::Recorded;
    }
    // Returns the incarnation that gets requests, of the process and in the store.
    std::optional<upstream_id> servedUpstream() const
    {
        return m_isListed && m_process->acceptsRequests() ? std::optional(m_process->report()->id)
                                                          : std::nullopt;
    }
    bool isServedByStore(const upstream_id &id) const
    {
        const auto *known = m_store->findMember(id.name);
        return known != nullptr && known->member.id == id && !known->member.isDraining
            && !isSuperseded(*m_store, peerAddress, id);
    }

private:
    void takeEntry(const std::string &name)
    {
        const auto *known = m_directory->findMember(name);
        if (known != nullptr && !isSuperseded(*m_directory, peerAddress, known->member.id)) {
            m_process->onMemberEntry(known->recorded(), upstreamAddress, start);
        }
    }

    fleet_directory_builder m_builder{[](const std::string &, std::string_view) {}};
    std::shared_ptr<const fleet_directory> m_store = m_builder.build();
    std::shared_ptr<const fleet_directory> m_directory = m_store;
    uint64_t m_version = 0;
    bool m_isListed = false;
    std::optional<local_upstream> m_process{local_upstream_options{1000ms, 3}};
};

} // namespace

// Guards against every order of late, lost and repeated messages, restarts and reads of the store
// in which an upstream gets requests after its shutdown was confirmed.
TEST_CASE("no upstream is served after its shutdown was confirmed, in any order of events",
          "[fleet]")
{
    size_t confirmedCount = 0;
    for (unsigned seed = 1; seed <= 2000; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](int count) { return static_cast<int>(random() % count); };
        restarted_daemon daemon;
        // Incarnations whose announcement waits for its answer, and those that have got a 200.
        std::set<upstream_id> announced;
        std::set<upstream_id> confirmed;
        std::string history;
        for (int step = 0; step < 60; ++step) {
            // Two names, each with two starts; a message may be of any of them, late or repeated.
            const upstream_id id{pick(2) == 0 ? "a" : "b", 10 + pick(2)};
            const int event = pick(6);
            const char *const names[] = {"restart", "read", "write", "ready", "draining", "leave"};
            history += std::string(names[event]) + (event > 2 ? " " + toString(id) : "") + "; ";
            switch (event) {
            case 0:
                daemon.restart();
                announced.clear();
                break;
            case 1:
                daemon.readStore();
                break;
            case 2:
                daemon.writeStore();
                break;
            case 3:
                daemon.onHeartbeat(report(id, 1 + pick(9)));
                break;
            case 4:
                daemon.onHeartbeat(report(id, 1 + pick(9), true));
                announced.insert(id);
                break;
            default:
                daemon.onDeparture(id);
                announced.insert(id);
                break;
            }
            std::copy_if(announced.begin(), announced.end(),
                         std::inserter(confirmed, confirmed.end()),
                         [&](const upstream_id &each) { return daemon.confirms(each); });
            confirmedCount += confirmed.size();
            const auto served = daemon.servedUpstream();
            INFO("seed " << seed << ": " << history);
            REQUIRE_FALSE((served && confirmed.contains(*served)));
            for (const upstream_id &left : confirmed) {
                REQUIRE_FALSE(daemon.isServedByStore(left));
            }
        }
    }
    CHECK(confirmedCount > 0);
}
