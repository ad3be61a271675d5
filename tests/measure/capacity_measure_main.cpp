// Measures how the memory and the processor time of a daemon's control state grow with the size of
// the fleet. Prints one JSON line per measurement; docs/CAPACITY.md extrapolates from the slopes.

#include "persimmonrail/balance/coordinator.h"
#include "persimmonrail/daemon/instance_directory.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/ownership/ownership_engine.h"
#include "persimmonrail/peer/control_channel.h"
#include "persimmonrail/requests/at_most_once_table.h"
#include "persimmonrail/sync/object_replica.h"

#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <array>
#include <ctime>
#include <deque>
#include <fstream>
#include <future>
#include <iostream>
#include <random>

using namespace persimmonrail;

namespace {

constexpr int partitionsPerInstance = 4;

// Returns the processor time of this process.
double cpuSeconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

// Returns the allocated bytes of the heap, including blocks that malloc has mapped separately.
size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Returns the resident set size of this process, assuming pages of 4,096 bytes.
size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statm >> total >> resident;
    return resident * 4096;
}

instance_id makeInstanceId(int index)
{
    return {absl::StrCat("haulbook-", index), 0x1000000000000000ULL + index};
}

// Returns a member of a fleet with 6 regions, 24 availability zones and 24 instances per service.
member_record makeMember(int index)
{
    member_record member;
    member.id = makeInstanceId(index);
    member.region = absl::StrCat("region-", index % 6);
    member.availabilityZone = absl::StrCat("zone-", index % 24);
    member.service = absl::StrCat("service-", index / 24);
    const std::string host = absl::StrCat("10.", index / 250, ".", index % 250, ".1");
    member.peerAddress = absl::StrCat(host, ":7102");
    member.controlAddress = absl::StrCat(host, ":7103");
    member.slots = 10;
    return member;
}

// Returns the placement record of one partition, with three witnesses and three standbys.
placement_record makeRecord(int index, int instances)
{
    placement_record record;
    const int owner = index / partitionsPerInstance;
    const uint64_t first = static_cast<uint64_t>(index) << 40;
    record.partition = absl::StrCat("service-", owner / 24, "/", hashToString(first));
    record.range = {first, first + 0xffff};
    record.owner = makeInstanceId(owner);
    record.term = 7;
    for (int i = 1; i <= 3; ++i) {
        record.witnesses.push_back(makeInstanceId((owner + i) % instances));
        record.standbys.push_back(makeInstanceId((owner + 3 + i) % instances));
    }
    return record;
}

// Returns all member and placement records of a fleet as stored objects.
object_list makeFleetObjects(int instances)
{
    object_list list;
    for (int i = 0; i < instances; ++i) {
        const auto member = makeMember(i);
        list.objects.push_back(
            {memberKey(member.id.name), ++list.revision, false, encodeMember(member)});
    }
    for (int i = 0; i < instances * partitionsPerInstance; ++i) {
        const auto record = makeRecord(i, instances);
        list.objects.push_back(
            {placementKey(record.partition), ++list.revision, false, encodeRecord(record)});
    }
    return list;
}

// Measures the state of a daemon, which holds every member and placement record as an object and in
// the view that routes requests: its heap and the processor time to load the objects, to apply a
// change, to respond to a pull without changes and to look up a record.
void measureState(int instances)
{
    const auto list = makeFleetObjects(instances);
    size_t encoded = 0;
    for (const auto &object : list.objects) {
        encoded += object.key.size() + object.value.size();
    }
    const size_t heapBefore = heapBytes();
    const double cpuBefore = cpuSeconds();
    object_replica replica({nullptr, nullptr});
    const steady_time now{};
    replica.applyList(list, now);
    replica.markReady();
    auto view = replica.buildView();
    const double loadCpu = cpuSeconds() - cpuBefore;

    // Each change concerns one record and arrives in the reply to a pull.
    constexpr int changes = 200;
    const double cpuBeforeChanges = cpuSeconds();
    uint64_t revision = list.revision;
    for (int i = 0; i < changes; ++i) {
        auto record = makeRecord(i * 7 % (instances * partitionsPerInstance), instances);
        record.term = 8 + i;
        wire::PullReply reply;
        auto *object = reply.add_objects();
        object->set_key(placementKey(record.partition));
        object->set_version(revision + 1);
        object->set_value(encodeRecord(record));
        reply.set_complete_to(revision + 1);
        reply.set_revision(revision + 1);
        replica.applyPull(revision, reply, now);
        ++revision;
        view = replica.buildView();
    }
    const double changeCpu = (cpuSeconds() - cpuBeforeChanges) / changes;

    constexpr int pulls = 20000;
    wire::Pull pull;
    pull.set_after_revision(revision);
    const double cpuBeforePulls = cpuSeconds();
    for (int i = 0; i < pulls; ++i) {
        replica.respondToPull(pull, makeInstanceId(i % instances));
    }
    const double pullCpu = (cpuSeconds() - cpuBeforePulls) / pulls;

    constexpr int lookups = 200000;
    std::mt19937_64 random(1);
    const double cpuBeforeLookups = cpuSeconds();
    size_t found = 0;
    for (int i = 0; i < lookups; ++i) {
        const auto partition = static_cast<uint64_t>(random() % (24 * partitionsPerInstance));
        found += view->findRecord("service-0", partition << 40) != nullptr;
    }
    const double lookupCpu = (cpuSeconds() - cpuBeforeLookups) / lookups;
    std::cout << absl::StrCat("{\"measurement\":\"state\",\"instances\":", instances,
                              ",\"objects\":", list.objects.size(), ",\"encoded_bytes\":", encoded,
                              ",\"heap_bytes\":", heapBytes() - heapBefore,
                              ",\"load_cpu_s\":", loadCpu, ",\"change_cpu_us\":", changeCpu * 1e6,
                              ",\"empty_pull_cpu_us\":", pullCpu * 1e6,
                              ",\"lookup_cpu_us\":", lookupCpu * 1e6, ",\"found\":", found, "}\n");
}

// Measures the processor time that a daemon uses for each new view after building the view: the
// ownership engine, the coordinator and the instance directory process the view.
void measureViews(int instances)
{
    const auto list = makeFleetObjects(instances);
    const steady_time now{std::chrono::hours(1)};
    object_replica replica({nullptr, nullptr});
    replica.applyList(list, now);
    serving_table table;
    ownership_hooks hooks;
    hooks.send = [](const instance_id &, const wire::Request &, milliseconds,
                    const ownership_hooks::reply_completion &) {};
    hooks.putRecord = [](const std::string &, uint64_t, const std::string &,
                         const ownership_hooks::put_completion &) {};
    hooks.getRecord = [](const std::string &, const ownership_hooks::get_completion &) {};
    hooks.applyGrants = [](const std::vector<lease_grant> &,
                           const ownership_hooks::grant_completion &) {};
    auto engine = ownership_engine::builder()
                      .self(makeInstanceId(0))
                      .hooks(std::move(hooks))
                      .servingTable(table)
                      .build();
    coordinator::hooks coordinatorHooks;
    coordinatorHooks.unevaluatedDocuments = [] { return std::vector<stored_object>(); };
    coordinator serviceCoordinator(makeInstanceId(0), "zone-0", coordinatorHooks);
    instance_directory directory("zone-0", [] { return [] { return uint64_t{1}; }; });

    constexpr int changes = 50;
    double engineCpu = 0;
    double coordinatorCpu = 0;
    double directoryCpu = 0;
    const auto addCpuTime = [](double &sum, const std::function<void()> &call) {
        const double cpuBefore = cpuSeconds();
        call();
        sum += cpuSeconds() - cpuBefore;
    };
    for (int i = 0; i < changes; ++i) {
        auto record = makeRecord(i * 7, instances);
        record.term = 8 + i;
        const uint64_t revision = list.revision + i;
        replica.applyWatch(
            revision,
            {revision + 1,
             {{placementKey(record.partition), revision + 1, false, encodeRecord(record)}}},
            now);
        const auto view = replica.buildView();
        addCpuTime(engineCpu, [&] { engine.onView(view, now); });
        addCpuTime(coordinatorCpu, [&] { serviceCoordinator.setView(view, now); });
        addCpuTime(directoryCpu, [&] { directory.setView(*view, now); });
    }
    std::cout << absl::StrCat("{\"measurement\":\"view\",\"instances\":", instances,
                              ",\"engine_cpu_us\":", engineCpu / changes * 1e6,
                              ",\"coordinator_cpu_us\":", coordinatorCpu / changes * 1e6,
                              ",\"directory_cpu_us\":", directoryCpu / changes * 1e6, "}\n");
}

// Measures the lease renewals of one owner with three witnesses. The four ownership engines run in
// this process and exchange messages without a network. The processor time covers the work of the
// owner and of its three witnesses, which equals the mean work of one daemon: a daemon is one owner
// and, on average, a witness of three other owners.
class lease_measurement
{
public:
    explicit lease_measurement(int partitions)
        : m_view(makeView(partitions))
    {
        m_engines.reserve(engineCount);
        for (int i = 0; i < engineCount; ++i) {
            m_tables.push_back(std::make_unique<serving_table>());
            m_engines.push_back(ownership_engine::builder()
                                    .self(makeInstanceId(i))
                                    .hooks(makeHooks(i))
                                    .servingTable(*m_tables.back())
                                    .build());
            m_engines.back().onView(m_view, m_now);
        }
        m_engines[0].onUpstreamUp(m_now);
    }

    // Prints the rates per second over 60 s of virtual time, after 2 s in which the owner obtains
    // its leases.
    void measure()
    {
        run(std::chrono::seconds(2));
        m_messages = 0;
        m_bytes = 0;
        constexpr std::chrono::seconds measuredTime{60};
        const double cpuBefore = cpuSeconds();
        run(measuredTime);
        const auto perSecond = [&](double value) {
            return value / static_cast<double>(measuredTime.count());
        };
        std::cout << absl::StrCat(
            "{\"measurement\":\"leases\",\"partitions\":", m_view->records.size(),
            ",\"held\":", countHeldPartitions(), ",\"messages_per_s\":", perSecond(m_messages),
            ",\"bytes_per_s\":", perSecond(m_bytes),
            ",\"cpu_share\":", perSecond(cpuSeconds() - cpuBefore), "}\n");
    }

private:
    // Engine 0 belongs to the owner and engines 1 to 3 to its witnesses. The other members have no
    // engine; the first of them is the standby of all partitions.
    static constexpr int engineCount = 4;
    static constexpr int memberCount = 8;

    static std::shared_ptr<fleet_view> makeView(int partitions)
    {
        auto view = std::make_shared<fleet_view>();
        view->revision = 1;
        for (int i = 0; i < memberCount; ++i) {
            auto member = makeMember(i);
            member.service = "haulbook";
            member.region = "region-0";
            view->members[member.id.name] = member;
        }
        for (int i = 0; i < partitions; ++i) {
            auto record = makeRecord(i, memberCount);
            record.partition = absl::StrCat("haulbook/", hashToString(record.range.first));
            record.owner = makeInstanceId(0);
            record.witnesses = {makeInstanceId(1), makeInstanceId(2), makeInstanceId(3)};
            record.standbys = {makeInstanceId(engineCount)};
            view->records[record.partition] = {record, static_cast<uint64_t>(i) + 2};
        }
        indexRecords(*view);
        return view;
    }

    ownership_hooks makeHooks(int sender)
    {
        ownership_hooks hooks;
        hooks.send = [this, sender](const instance_id &to, wire::Request request, milliseconds,
                                    const ownership_hooks::reply_completion &done) {
            setSender(request, makeInstanceId(sender));
            recordMessage(request);
            m_pendingCalls.emplace_back(
                [this, to, request, done](steady_time now) { deliver(to, request, done, now); });
        };
        hooks.putRecord = [](const std::string &, uint64_t, const std::string &,
                             const ownership_hooks::put_completion &) {};
        hooks.getRecord = [](const std::string &, const ownership_hooks::get_completion &) {};
        hooks.applyGrants = [this](const std::vector<lease_grant> &,
                                   const ownership_hooks::grant_completion &done) {
            m_pendingCalls.emplace_back([done](steady_time now) { done(absl::OkStatus(), now); });
        };
        return hooks;
    }

    template <typename Message> static void setSender(Message &message, const instance_id &id)
    {
        message.mutable_sender()->set_name(id.name);
        message.mutable_sender()->set_incarnation(id.incarnation);
    }

    // Adds a sent message to the totals.
    void recordMessage(const google::protobuf::MessageLite &message)
    {
        ++m_messages;
        m_bytes += static_cast<double>(message.ByteSizeLong());
    }

    // Passes a request to the engine of its recipient and the reply to `done`.
    void deliver(const instance_id &to, const wire::Request &request,
                 const ownership_hooks::reply_completion &done, steady_time now)
    {
        for (int i = 0; i < engineCount; ++i) {
            if (makeInstanceId(i) == to) {
                auto reply = m_engines[i].onRequest(request, now);
                setSender(reply, to);
                recordMessage(reply);
                done(reply, now);
                return;
            }
        }
        done(absl::UnavailableError("no engine runs for the recipient of the request"), now);
    }

    // Advances the virtual time by `duration` in steps of 20 ms.
    void run(std::chrono::seconds duration)
    {
        constexpr milliseconds tickInterval{20};
        for (const auto end = m_now + duration; m_now < end; m_now += tickInterval) {
            for (auto &engine : m_engines) {
                engine.tick(m_now);
            }
            while (!m_pendingCalls.empty()) {
                const auto pendingCall = std::move(m_pendingCalls.front());
                m_pendingCalls.pop_front();
                pendingCall(m_now);
            }
        }
    }

    // Returns the number of partitions for which the owner holds a valid lease.
    size_t countHeldPartitions() const
    {
        size_t count = 0;
        for (const auto &[name, record] : m_view->records) {
            count += m_tables[0]->find("haulbook", record.record.range.first, m_now).has_value();
        }
        return count;
    }

    std::shared_ptr<fleet_view> m_view;
    steady_time m_now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<serving_table>> m_tables;
    std::vector<ownership_engine> m_engines;
    // Requests to deliver and grants to confirm, in the order in which the engines issued them.
    std::deque<std::function<void(steady_time)>> m_pendingCalls;
    double m_messages = 0;
    double m_bytes = 0;
};

// Measures the processor time of heartbeats with 12 leases each over loopback. Both ends run in
// this process.
void measureMessages(int count)
{
    const auto handler = [](const wire::Request &, const control_channel::responder &respond) {
        wire::Reply reply;
        reply.mutable_ping()->set_revision(1);
        respond(reply);
    };
    const auto server = *control_channel::listen("127.0.0.1:0", handler);
    const auto client = *control_channel::listen("127.0.0.1:0", handler);
    wire::Request request;
    for (int i = 0; i < 12; ++i) {
        auto *lease = request.mutable_heartbeat()->add_leases();
        lease->set_partition("haulbook/0123456789abcdef");
        lease->set_record_version(1000000);
        lease->set_term(7);
    }
    const double cpuBefore = cpuSeconds();
    for (int i = 0; i < count; ++i) {
        std::promise<void> replied;
        client->send(server->address(), request, milliseconds(5000),
                     [&](const absl::StatusOr<wire::Reply> &) { replied.set_value(); });
        replied.get_future().wait();
    }
    const double cpu = (cpuSeconds() - cpuBefore) / count;
    std::cout << absl::StrCat("{\"measurement\":\"message\",\"count\":", count,
                              ",\"request_bytes\":", request.ByteSizeLong(),
                              ",\"cpu_us_per_exchange_both_ends\":", cpu * 1e6, "}\n");
}

// Measures the memory of open control connections to distinct peers. Both ends run in this process.
void measureConnections(int peers)
{
    const auto handler = [](const wire::Request &, const control_channel::responder &respond) {
        wire::Reply reply;
        reply.mutable_ping();
        respond(reply);
    };
    // One server listens on all loopback addresses; the client treats each address as another peer.
    const auto server = *control_channel::listen("0.0.0.0:0", handler);
    const std::string port = server->address().substr(server->address().rfind(':'));
    const auto client = *control_channel::listen("127.0.0.1:0", handler);
    const size_t residentBefore = residentBytes();
    wire::Request request;
    request.mutable_ping();
    for (int i = 0; i < peers; ++i) {
        std::promise<void> replied;
        client->send(absl::StrCat("127.1.", i / 250, ".", i % 250 + 1, port), request,
                     milliseconds(5000),
                     [&](const absl::StatusOr<wire::Reply> &) { replied.set_value(); });
        replied.get_future().wait();
    }
    std::cout << absl::StrCat("{\"measurement\":\"connections\",\"peers\":", peers,
                              ",\"resident_bytes_both_ends\":", residentBytes() - residentBefore,
                              "}\n");
}

// Measures the memory of idle connections for requests, each after one request. The callers' ends
// run in this process too, without buffers. This measurement must run before all others: the server
// could otherwise reuse memory that an earlier measurement freed, and the result would be too low.
void measureIdleConnections(int count)
{
    http_server_options options;
    options.maxConnections = count + 1;
    const auto server = *http_server::listen(
        options, [](server_exchange &exchange) { exchange.respond(200, "ok", "text/plain"); });
    std::vector<Poco::Net::StreamSocket> callers;
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const size_t residentBefore = residentBytes();
    for (int i = 0; i < count; ++i) {
        callers.emplace_back(Poco::Net::SocketAddress(server->address()));
        callers.back().sendBytes(request.data(), static_cast<int>(request.size()));
        std::array<char, 512> response{};
        callers.back().receiveBytes(response.data(), static_cast<int>(response.size()));
    }
    std::cout << absl::StrCat("{\"measurement\":\"idle_connections\",\"count\":", count,
                              ",\"resident_bytes\":", residentBytes() - residentBefore, "}\n");
}

// Measures the memory and the processor time of a table of `entries` idempotency keys.
void measureAtMostOnce(int entries)
{
    const size_t heapBefore = heapBytes();
    at_most_once_options options;
    options.maxEntries = entries;
    at_most_once_table table(options);
    const wall_time now{std::chrono::hours(500000)};
    const auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    const double cpuBefore = cpuSeconds();
    for (int i = 0; i < entries; ++i) {
        // As in a UUID of version 7, the first 6 bytes hold the time of issue in milliseconds. The
        // last 4 bytes make the key unique.
        idempotency_key key;
        for (int byte = 0; byte < 6; ++byte) {
            key.bytes[byte] = static_cast<uint8_t>(ms >> (8 * (5 - byte)));
        }
        for (int byte = 0; byte < 4; ++byte) {
            key.bytes[12 + byte] = static_cast<uint8_t>(i >> (8 * byte));
        }
        table.begin("orderbook", key, now - std::chrono::hours(1), now);
        table.end("orderbook", key, request_outcome::Run, nullptr);
    }
    std::cout << absl::StrCat(
        "{\"measurement\":\"at_most_once\",\"entries\":", table.size(),
        ",\"heap_bytes\":", heapBytes() - heapBefore,
        ",\"cpu_us_per_request\":", (cpuSeconds() - cpuBefore) / entries * 1e6, "}\n");
}

} // namespace

int main()
{
    measureIdleConnections(4000);
    for (const int instances : {400, 800, 1600, 3200, 6700}) {
        measureState(instances);
        measureViews(instances);
    }
    for (const int partitions : {4, 8, 16, 32}) {
        lease_measurement(partitions).measure();
    }
    for (const int count : {4000, 8000, 16000, 32000}) {
        measureMessages(count);
    }
    for (const int peers : {50, 100, 200, 400}) {
        measureConnections(peers);
    }
    for (const int entries : {50000, 100000, 200000}) {
        measureAtMostOnce(entries);
    }
    return 0;
}
