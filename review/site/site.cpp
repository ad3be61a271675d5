#include "site/site.h"

#include "persimmonrail/http/http_client.h"

#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/URI.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using namespace std::chrono_literals;
using persimmonrail::connection_pool;
using persimmonrail::http_client;
using persimmonrail::simpleRequest;

constexpr size_t maxBodyBytes = 1 << 20;
constexpr char daemonProgram[] = "target/persimmonrail-sidecar";

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::unique_ptr<http_server> listen(const std::string &address, http_server::handler handler)
{
    persimmonrail::http_server_options options;
    options.address = address;
    options.idleTimeout = 60s;
    auto opened = http_server::listen(options, std::move(handler));
    if (!opened.ok()) {
        std::cerr << opened.status() << "\n";
        std::exit(exitNotRun);
    }
    return std::move(*opened);
}

std::string readBody(server_exchange &exchange)
{
    std::string body;
    exchange.readAll(body, maxBodyBytes, now() + 5s);
    return body;
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::string stringify(const Poco::Dynamic::Var &value)
{
    std::ostringstream text;
    Poco::JSON::Stringifier::stringify(value, text);
    return text.str();
}

// Parses a time such as "3000ms" or "2.5s".
milliseconds parseTime(const std::string &text)
{
    const double number = std::stod(text);
    const bool isMilliseconds = text.find("ms") != std::string::npos;
    return milliseconds(static_cast<int64_t>(isMilliseconds ? number : number * 1000));
}

std::string timeText(const event_record &record, steady_time at)
{
    return absl::StrFormat("%.3f", record.seconds(at));
}

} // namespace

event_record::event_record(const std::string &path)
    : m_file(path)
{ }

double event_record::seconds(steady_time at) const
{
    return std::chrono::duration<double>(at - m_start).count();
}

void event_record::write(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << absl::StrFormat("%8.3f %s\n", seconds(now()), text) << std::flush;
}

void event_record::breach(const std::string &text)
{
    ++m_breaches;
    write("BROKEN " + text);
}

std::string freeAddress()
{
    // Ports below the range that the system gives to connections; the loopback address is this
    // process's own.
    constexpr int firstPort = 7201;
    constexpr int addressCount = 250 * 250;
    static std::atomic<int> next{firstPort};
    const int index = getpid() % addressCount;
    return absl::StrCat("127.3.", 1 + index / 250, ".", 1 + index % 250, ":", next++);
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool waitUntil(const std::function<bool()> &condition, milliseconds timeout)
{
    const steady_time end = now() + timeout;
    while (!condition()) {
        if (now() >= end) {
            return false;
        }
        sleepFor(5ms);
    }
    return true;
}

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---- store

store::store(event_record &record)
    : m_record(record)
    , m_server(listen(freeAddress(), [this](server_exchange &exchange) { serve(exchange); }))
{ }

store::~store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
    for (std::thread &late : m_lateWrites) {
        late.join();
    }
}

void store::setWriteHook(write_hook hook)
{
    const std::lock_guard lock(m_mutex);
    m_hook = std::move(hook);
}

void store::write(const std::string &kind, const std::string &name,
                  const std::string &specification)
{
    const std::lock_guard lock(m_mutex);
    m_objects[kind][name] = {++m_revision, specification};
    m_history.push_back({m_revision, kind, name, specification});
    m_changed.notify_all();
}

std::string store::read(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? "" : found->second.specification;
}

namespace {

std::string renderObject(const std::string &name, uint64_t revision,
                         const std::string &specification)
{
    return absl::StrCat(R"({"metadata":{"name":")", name, R"(","revision":)", revision,
                        R"(,"created":1,"finalizers":[],"deleting":false},"specification":)",
                        specification, R"(,"status":null})");
}

} // namespace

void store::serve(server_exchange &exchange)
{
    const Poco::URI uri(exchange.request().getURI());
    std::vector<std::string> segments;
    uri.getPathSegments(segments);
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    const std::string body = readBody(exchange);
    const std::string kind = segments.size() > 1 ? segments[1] : "";
    const std::string name = segments.size() > 2 ? segments[2] : "";
    if (exchange.request().getMethod() == "GET") {
        serveRead(exchange, kind, name, query);
    } else {
        serveWrite(exchange, kind, name, body);
    }
}

void store::serveRead(server_exchange &exchange, const std::string &kind, const std::string &name,
                      const std::map<std::string, std::string> &query)
{
    std::unique_lock lock(m_mutex);
    std::string body;
    int status = 200;
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        status = found == m_objects[kind].end() ? 404 : 200;
        body = status == 404
            ? "{}"
            : renderObject(name, found->second.revision, found->second.specification);
    } else if (query.count("watch") > 0) {
        const uint64_t since = std::stoull(query.at("watch"));
        const milliseconds wait(query.count("waitMs") > 0 ? std::stol(query.at("waitMs")) : 0);
        const auto hasChange = [&] {
            return m_isStopping
                || std::any_of(m_history.begin(), m_history.end(), [&](const change &one) {
                       return one.kind == kind && one.revision > since;
                   });
        };
        m_changed.wait_for(lock, wait, hasChange);
        std::string events;
        for (const change &one : m_history) {
            if (one.kind == kind && one.revision > since) {
                absl::StrAppend(&events, events.empty() ? "" : ",", R"({"object":)",
                                renderObject(one.name, one.revision, one.specification),
                                R"(,"removed":false})");
            }
        }
        body = absl::StrCat(R"({"events":[)", events, R"(],"storeRevision":)", m_revision, "}");
    } else {
        std::string items;
        for (const auto &[itemName, item] : m_objects[kind]) {
            absl::StrAppend(&items, items.empty() ? "" : ",",
                            renderObject(itemName, item.revision, item.specification));
        }
        body = absl::StrCat(R"({"items":[)", items, R"(],"more":false,"storeRevision":)",
                            m_revision, "}");
    }
    lock.unlock();
    exchange.respond(status, body, "application/json");
}

int store::apply(const std::string &method, const std::string &kind, const std::string &name,
                 const std::optional<uint64_t> &expected, const std::string &specification)
{
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    const bool isMissing = found == objects.end();
    if (method == "POST" ? !isMissing
                         : isMissing || (expected && found->second.revision != *expected)) {
        return method != "POST" && isMissing ? 404 : 409;
    }
    if (!isMissing && found->second.specification == specification) {
        return 200;
    }
    objects[name] = {++m_revision, specification};
    m_history.push_back({m_revision, kind, name, specification});
    m_changed.notify_all();
    return 200;
}

void store::serveWrite(server_exchange &exchange, const std::string &kind, std::string name,
                       const std::string &body)
{
    const std::string method = exchange.request().getMethod();
    const Poco::JSON::Object::Ptr object = parseObject(body);
    const Poco::JSON::Object::Ptr metadata = object->getObject("metadata");
    const std::string specification = stringify(object->get("specification"));
    std::optional<uint64_t> expected;
    if (metadata && metadata->has("revision")) {
        expected = metadata->getValue<uint64_t>("revision");
    }
    name = name.empty() ? metadata->getValue<std::string>("name") : name;
    write_hook hook;
    {
        const std::lock_guard lock(m_mutex);
        hook = m_hook;
    }
    const auto delay = hook ? hook(kind, name, specification) : std::nullopt;
    if (delay) {
        m_record.write(absl::StrCat("store ", method, " ", kind, "/", name,
                                    " gets no answer, is done after ", delay->count(), " ms: ",
                                    specification));
        const std::lock_guard lock(m_mutex);
        m_lateWrites.emplace_back([=, this] {
            sleepFor(*delay);
            int status = 0;
            {
                const std::lock_guard lateLock(m_mutex);
                status = apply(method, kind, name, expected, specification);
            }
            m_record.write(absl::StrCat("store late ", method, " ", kind, "/", name, " -> ",
                                        status));
        });
    }
    if (delay) {
        exchange.connection().waitUntilClosed(now() + 10s);
        exchange.connection().shutdown();
        return;
    }
    int status = 0;
    std::string answerText = "{}";
    {
        const std::lock_guard lock(m_mutex);
        status = apply(method, kind, name, expected, specification);
        const auto found = m_objects[kind].find(name);
        if (found != m_objects[kind].end()) {
            answerText = renderObject(name, found->second.revision, found->second.specification);
        }
    }
    m_record.write(
        absl::StrCat("store ", method, " ", kind, "/", name, " -> ", status, ": ", specification));
    exchange.respond(status, answerText, "application/json");
}

// ---- instance

instance::instance(instance_options options, event_record &record, instance_history &history)
    : m_options(std::move(options))
    , m_born(unixMilliseconds())
    , m_record(record)
    , m_history(history)
    , m_server(
          listen(m_options.address, [this](server_exchange &exchange) { serve(exchange); }))
    , m_beats([this] { beat(); })
{
    m_record.write(absl::StrCat("instance ", m_options.id, " starts, born ", m_born));
}

instance::~instance()
{
    m_isStopping = true;
    m_server.reset();
    m_beats.join();
    const std::lock_guard lock(m_mutex);
    endGrants(0, 65535);
    m_record.write(absl::StrCat("instance ", m_options.id, " has ended"));
}

std::string instance::heartbeatBody(const std::string &state)
{
    int sequence = 0;
    {
        const std::lock_guard lock(m_mutex);
        sequence = ++m_sequence;
    }
    return absl::StrCat(R"({"service":")", m_options.service, R"(","address":")",
                        m_options.address, R"(","zone":"z","version":"v1","slots":)",
                        m_options.slots, R"(,"state":")", state,
                        R"(","coldRemaining":"0ms","sequence":)", sequence, R"(,"born":)", m_born,
                        "}");
}

bool instance::sendHeartbeat(const std::string &state)
{
    http_client client(std::make_shared<connection_pool>());
    const auto response = simpleRequest(
        client, m_options.control, "POST",
        absl::StrCat("/rpc?call=instances.heartbeat&of=", m_options.id), heartbeatBody(state),
        now() + 1s);
    const bool isConfirmed = response.ok() && response->status == 200;
    m_confirmedHeartbeats += isConfirmed ? 1 : 0;
    return isConfirmed;
}

void instance::beat()
{
    steady_time next = now() + m_options.firstHeartbeatAfter;
    bool isFirst = true;
    while (!m_isStopping) {
        if (now() < next) {
            sleepFor(5ms);
            continue;
        }
        next = now() + m_options.heartbeat;
        const bool isConfirmed = sendHeartbeat(m_isDraining ? "draining" : "ready");
        if (isFirst && isConfirmed) {
            m_record.write(absl::StrCat("instance ", m_options.id, " first heartbeat confirmed"));
            isFirst = false;
        }
    }
}

std::optional<steady_time> instance::reportDraining()
{
    m_isDraining = true;
    for (int attempt = 0; attempt < 10; ++attempt) {
        if (sendHeartbeat("draining")) {
            m_record.write(absl::StrCat("instance ", m_options.id, " draining is confirmed"));
            return now();
        }
    }
    return std::nullopt;
}

bool instance::holds(int key)
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_grants.begin(), m_grants.end(), [&](const hold_period &held) {
        return held.from <= key && key <= held.to && now() < held.end;
    });
}

bool instance::holdsAny()
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_grants.begin(), m_grants.end(),
                       [](const hold_period &held) { return now() < held.end; });
}

void instance::endGrants(int from, int to)
{
    const steady_time at = now();
    std::vector<hold_period> remaining;
    for (const hold_period &held : m_grants) {
        if (held.to < from || to < held.from) {
            remaining.push_back(held);
            continue;
        }
        hold_period ended = held;
        ended.from = std::max(held.from, from);
        ended.to = std::min(held.to, to);
        ended.end = std::min(held.end, at);
        {
            const std::lock_guard lock(m_history.mutex);
            m_history.holds.push_back(ended);
        }
        if (held.from < from) {
            remaining.push_back(held);
            remaining.back().to = from - 1;
        }
        if (to < held.to) {
            remaining.push_back(held);
            remaining.back().from = to + 1;
        }
    }
    m_grants = std::move(remaining);
}

void instance::serve(server_exchange &exchange)
{
    const std::string &uri = exchange.request().getURI();
    if (uri == "/grant") {
        serveGrant(exchange, *parseObject(readBody(exchange)));
    } else if (uri == "/release") {
        serveRelease(exchange, *parseObject(readBody(exchange)));
    } else {
        serveRequest(exchange);
    }
}

void instance::serveGrant(server_exchange &exchange, const Poco::JSON::Object &body)
{
    const int from = body.getValue<int>("from");
    const int to = body.getValue<int>("to");
    const auto fence = body.getValue<int64_t>("fence");
    const milliseconds hold = parseTime(body.getValue<std::string>("hold_time"));
    bool isAccepted = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto first = m_highestFences.begin() + from;
        const auto last = m_highestFences.begin() + to + 1;
        isAccepted = *std::max_element(first, last) <= fence;
        if (isAccepted) {
            std::fill(first, last, fence);
            endGrants(from, to);
            const steady_time end = now() + hold;
            m_grants.push_back({m_options.id, from, to, fence, now(), end, end});
        }
    }
    m_record.write(absl::StrCat("instance ", m_options.id, " grant ", from, "-", to, " fence ",
                                fence, " hold ", hold.count(), " ms -> ",
                                isAccepted ? 200 : 409));
    exchange.respond(isAccepted ? 200 : 409, "{}", "application/json");
}

void instance::serveRelease(server_exchange &exchange, const Poco::JSON::Object &body)
{
    const int from = body.getValue<int>("from");
    const int to = body.getValue<int>("to");
    m_record.write(absl::StrCat("instance ", m_options.id, " release ", from, "-", to));
    std::unique_lock lock(m_mutex);
    endGrants(from, to);
    m_workEnded.wait_for(lock, 10s, [&] {
        return m_isStopping || m_running.lower_bound(from) == m_running.upper_bound(to);
    });
    lock.unlock();
    Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_OK);
    head.set("Handover", "h1");
    exchange.respond(head, "");
}

void instance::serveRequest(server_exchange &exchange)
{
    const auto &request = exchange.request();
    const std::string id = request.get("Request-Id", "");
    const int key = std::stoi(request.get("Shard-Key", "-1"));
    readBody(exchange);
    std::vector<std::string> callers;
    for (const auto &[name, value] : request) {
        if (Poco::icompare(name, "Caller-Service") == 0) {
            callers.push_back(value);
        }
    }
    Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_OK);
    head.set("Request-Id", id);
    const bool isOther = request.get("Expected-Instance", "") != m_options.id;
    if (isOther || (m_options.isKeyed && !holds(key))) {
        head.setStatus(Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
        head.set("Not-Executed", "1");
        exchange.respond(head, "");
        return;
    }
    const steady_time start = now();
    {
        const std::lock_guard lock(m_mutex);
        m_running.emplace(key, id);
    }
    m_record.write(absl::StrCat("instance ", m_options.id, " begins ", id, " key ", key,
                                " caller-service ", absl::StrJoin(callers, ", ")));
    const auto lossAfter = m_lossHook ? m_lossHook(id) : std::nullopt;
    const bool isLeft =
        exchange.connection().waitUntilClosed(start + lossAfter.value_or(m_options.work));
    {
        const std::lock_guard lock(m_mutex);
        auto entry = m_running.lower_bound(key);
        while (entry->second != id) {
            ++entry;
        }
        m_running.erase(entry);
        const std::lock_guard historyLock(m_history.mutex);
        m_history.work.push_back({m_options.id, id, key, start, now(), callers});
    }
    m_workEnded.notify_all();
    if (lossAfter && !isLeft) {
        m_record.write(absl::StrCat("instance ", m_options.id, " has run ", id,
                                    ", its answer is lost"));
        exchange.connection().shutdown();
        return;
    }
    m_record.write(
        absl::StrCat("instance ", m_options.id, isLeft ? " stops " : " answers ", id));
    head.set("Server-Signature", "sig-" + m_options.id + "-" + id);
    exchange.respond(head, "body of " + id);
}

// ---- machine

machine::machine(std::string name, std::string zone, std::string service,
                 const std::string &storeAddress, event_record &record)
    : m_name(std::move(name))
    , m_service(std::move(service))
    , m_caller(freeAddress())
    , m_inbound(freeAddress())
    , m_ready(freeAddress())
    , m_control(freeAddress())
    , m_instanceAddress(freeAddress())
    , m_folder(std::filesystem::temp_directory_path()
               / absl::StrCat("review-", getpid(), "-", m_name))
    , m_record(record)
{
    std::filesystem::create_directories(m_folder);
    // The fields of deploy/settings.template.
    std::ofstream(m_folder + "/settings")
        << "host-name = " << m_name << "\navailability-zone = " << zone
        << "\nservice = " << m_service << "\ncaller-address = " << m_caller
        << "\npeer-address = " << m_inbound << "\nready-address = " << m_ready
        << "\nreport-address = " << m_control << "\nmetrics-address = " << freeAddress()
        << "\nstore-address = " << storeAddress << "\nupstream-address = " << m_instanceAddress
        << "\nreport-interval = 870ms\nmax-hold = 10000ms\ndrain-timeout = 2000ms"
        << "\ngrace-period = 6s\nretry-ratio = 0.2\nretry-slack = 60\nretry-window = 10s"
        << "\nlink-mbps = 1000.0\nprocessor-share = 0.2\nprocessor-speed = 1\n";
}

machine::~machine()
{
    killDaemon();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

void machine::startDaemon()
{
    const std::string variable = "PERSIMMONRAIL_NODE_FILE=" + m_folder + "/settings";
    const std::string log = m_folder + "/log";
    std::string program = daemonProgram;
    char *const arguments[] = {program.data(), nullptr};
    std::string path = "PATH=/usr/bin:/bin";
    std::string settings = variable;
    char *const environment[] = {path.data(), settings.data(), nullptr};
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        // The daemon ends with the case, however the case ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(exitNotRun);
        }
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        // The daemon gets no sockets of the stand-ins.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execve(program.c_str(), arguments, environment);
        _exit(127);
    }
    m_record.write(absl::StrCat("daemon ", m_name, " starts"));
}

void machine::killDaemon()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

void machine::killAndRestartDaemon()
{
    killDaemon();
    m_record.write(absl::StrCat("daemon ", m_name, " was killed"));
    startDaemon();
}

void machine::stopAndRestartDaemon()
{
    m_record.write(absl::StrCat("daemon ", m_name, " gets SIGTERM"));
    kill(m_pid, SIGTERM);
    waitpid(m_pid, nullptr, 0);
    m_record.write(absl::StrCat("daemon ", m_name, " has ended"));
    startDaemon();
}

bool machine::isReady() const
{
    http_client client(std::make_shared<connection_pool>());
    const auto response =
        simpleRequest(client, m_ready, "GET", "/readiness", "", now() + 500ms);
    return response.ok() && response->status == 200;
}

keyed_service::keyed_service(std::string name, int count, milliseconds work,
                             const store &platform, event_record &record,
                             instance_history &history)
    : m_name(std::move(name))
    , m_work(work)
    , m_record(record)
    , m_history(history)
{
    for (int i = 0; i < count; ++i) {
        // The zones take turns.
        m_hosts.push_back(std::make_unique<machine>(absl::StrCat("m", i), absl::StrCat("z", i % 3),
                                                    m_name, platform.address(), record));
        m_hosts.back()->startDaemon();
    }
    m_instances.resize(m_hosts.size());
    for (int i = 0; i < count; ++i) {
        boot(i, absl::StrCat("i-", i));
    }
    const auto all = [&](const std::function<bool(int)> &condition) {
        return waitUntil(
            [&] {
                for (int i = 0; i < count; ++i) {
                    if (!condition(i)) {
                        return false;
                    }
                }
                return true;
            },
            20s);
    };
    require(record, all([&](int i) { return host(i).isReady(); }), "the daemons are ready");
    require(record, all([&](int i) { return at(i).holdsAny(); }), "all instances hold keys");
}

void keyed_service::boot(int index, const std::string &id, milliseconds firstHeartbeatAfter)
{
    instance_options options;
    options.id = id;
    options.service = m_name;
    options.address = host(index).instanceAddress();
    options.control = host(index).control();
    options.firstHeartbeatAfter = firstHeartbeatAfter;
    options.work = m_work;
    m_instances[static_cast<size_t>(index)] =
        std::make_unique<instance>(options, m_record, m_history);
}

void keyed_service::endAll()
{
    for (auto &one : m_instances) {
        one.reset();
    }
}

// ---- clients and checks

std::string desiredState(const std::vector<service_rule> &services)
{
    std::string routes;
    std::string rules;
    for (const service_rule &service : services) {
        const char *const comma = routes.empty() ? "" : ",";
        absl::StrAppend(&routes, comma, R"({"name":"r-)", service.name,
                        R"(","host":"h.example","pathPrefix":"/)", service.name,
                        R"(/","kind":")", service.kind, R"(","timeout":")",
                        service.timeout.count(),
                        R"(ms","targetLatency":"500ms","priority":0,"service":")", service.name,
                        R"(","maxAttempts":2})");
        absl::StrAppend(&rules, comma, R"({"name":")", service.name, R"(","sharded":)",
                        service.isKeyed ? "true" : "false", R"(,"connectionLimit":120})");
    }
    return absl::StrCat(R"({"version":"0000000c","routes":[)", routes, R"(],"services":[)", rules,
                        R"(],"limits":{"idleTimeout":"15000ms"}})");
}

namespace {

class text_sink : public persimmonrail::response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const persimmonrail::body_framing &,
               std::string_view, bool) override
    {
        return true;
    }
    bool write(std::string_view) override { return true; }
    bool finish() override { return true; }
};

} // namespace

answer callDaemon(event_record &record, const std::string &daemon, const std::string &id,
                  const std::string &path, std::optional<int> key, milliseconds timeout,
                  const std::vector<std::pair<std::string, std::string>> &fields)
{
    http_client client(std::make_shared<connection_pool>());
    persimmonrail::client_request request;
    request.address = daemon;
    request.message.setMethod("GET");
    request.message.setURI(path);
    request.message.setHost("h.example");
    request.message.set("Request-Id", id);
    request.message.set("Request-Timeout-Ms", std::to_string(timeout.count()));
    if (key) {
        request.message.set("Shard-Key", std::to_string(*key));
    }
    for (const auto &[name, value] : fields) {
        request.message.add(name, value);
    }
    request.deadline = now() + timeout + 2s;
    text_sink sink;
    record.write(absl::StrCat("client sends ", id, " ", path, key ? " key " : "",
                              key ? std::to_string(*key) : ""));
    const auto result = client.exchange(request, sink);
    answer got;
    if (result.state == persimmonrail::exchange_state::Complete) {
        got.status = result.head.getStatus();
        got.signature = result.head.get("Server-Signature", "");
    }
    record.write(absl::StrCat("client gets ", id, " status ", got.status, " ", got.signature));
    return got;
}

namespace {

std::string describe(const event_record &record, const hold_period &held)
{
    return absl::StrCat(held.instance, " holds ", held.from, "-", held.to, " fence ", held.fence,
                        " from ", timeText(record, held.start), " to ",
                        timeText(record, held.end));
}

// Joins the periods of renewals: the same boot, keys and fence, one after the other.
std::vector<hold_period> joinRenewals(std::vector<hold_period> holds)
{
    std::stable_sort(holds.begin(), holds.end(),
                     [](const auto &a, const auto &b) { return a.start < b.start; });
    std::vector<hold_period> joined;
    for (const hold_period &held : holds) {
        const auto earlier =
            std::find_if(joined.begin(), joined.end(), [&](const hold_period &other) {
                return other.instance == held.instance && other.from == held.from
                    && other.to == held.to && other.fence == held.fence
                    && held.start <= other.end + milliseconds(1);
            });
        if (earlier == joined.end()) {
            joined.push_back(held);
        } else {
            earlier->end = std::max(earlier->end, held.end);
            earlier->wouldEnd = std::max(earlier->wouldEnd, held.wouldEnd);
        }
    }
    return joined;
}

} // namespace

void checkOwner(event_record &record, instance_history &history)
{
    const std::lock_guard lock(history.mutex);
    const std::vector<hold_period> holds = joinRenewals(history.holds);
    for (const hold_period &a : holds) {
        for (const hold_period &b : holds) {
            const bool sharesKeys = a.from <= b.to && b.from <= a.to;
            if (a.instance == b.instance || !sharesKeys) {
                continue;
            }
            if (a.start <= b.start) {
                const auto both = std::min(a.end, b.end) - b.start;
                if (both > 500ms) {
                    record.breach(absl::StrCat(
                        "OWNER: two instances hold the same keys for ",
                        std::chrono::duration_cast<milliseconds>(both).count(), " ms: ",
                        describe(record, a), "; ", describe(record, b)));
                }
                if (b.fence <= a.fence) {
                    record.breach(absl::StrCat(
                        "OWNER: a key is taken with a fence that isn't above that of another: ",
                        describe(record, a), "; ", describe(record, b)));
                }
            }
        }
    }
    for (const hold_period &given : holds) {
        for (const work_period &work : history.work) {
            const bool isAtWork = work.instance != given.instance && given.from <= work.key
                && work.key <= given.to && work.start < given.start && given.start < work.end;
            const bool hasHold = isAtWork
                && std::any_of(holds.begin(), holds.end(), [&](const hold_period &held) {
                       return held.instance == work.instance && held.from <= work.key
                           && work.key <= held.to && held.start <= work.start
                           && given.start < held.wouldEnd;
                   });
            if (hasHold) {
                record.breach(absl::StrCat("OWNER: ", describe(record, given), ", given while ",
                                           work.instance, " is at work on ", work.requestId,
                                           " key ", work.key, " from ",
                                           timeText(record, work.start), " to ",
                                           timeText(record, work.end)));
            }
        }
    }
}

bool hasTrouble()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void require(event_record &record, bool condition, const std::string &what)
{
    if (!condition) {
        record.write("NOT RUN: " + what);
        std::cout << "not run: " << what << std::endl;
        std::quick_exit(exitNotRun);
    }
}

int finish(event_record &record)
{
    const int breaches = record.breachCount();
    record.write(absl::StrCat("END breaches ", breaches));
    std::cout << (breaches > 0 ? "broken" : "held") << ", " << breaches << " breaches"
              << std::endl;
    return breaches > 0 ? exitBroken : exitHeld;
}

} // namespace review
