#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

constexpr milliseconds beatInterval{870};
constexpr milliseconds beatTimeout{1000};

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Returns the unsigned number after `"name":` in a JSON text; nothing if there is none.
std::optional<uint64_t> numberAfter(const std::string &json, const std::string &name)
{
    const size_t found = json.find("\"" + name + "\":");
    if (found == std::string::npos) {
        return std::nullopt;
    }
    return std::strtoull(json.c_str() + found + name.size() + 3, nullptr, 10);
}

std::string textAfter(const std::string &json, const std::string &name)
{
    const size_t found = json.find("\"" + name + "\":\"");
    if (found == std::string::npos) {
        return "";
    }
    const size_t start = found + name.size() + 4;
    return json.substr(start, json.find('"', start) - start);
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const size_t question = target.find('?');
    std::istringstream parts(question == std::string::npos ? "" : target.substr(question + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return "";
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

message json(int status, const std::string &body)
{
    return makeResponse(status, {{"Content-Type", "application/json"}}, body);
}

} // namespace

record::record(const std::string &path)
    : m_file(path)
{ }

void record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ",
                  std::chrono::duration<double>(clock::now() - m_start).count());
    m_file << time << line << std::endl;
}

store::store(record &log)
    : m_log(log)
    , m_server(std::make_unique<server>(
          [this](connection &from, const message &call) { return serve(from, call); }))
{ }

store::~store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void store::put(const std::string &kind, const std::string &name, const std::string &specification)
{
    const std::lock_guard lock(m_mutex);
    storeObject(kind, name, specification, false);
    m_log.write("the operator's write of " + kind + "/" + name + " is confirmed, revision "
                + std::to_string(m_revision));
}

void store::loseResponses(std::function<bool(const message &call)> isLost)
{
    const std::lock_guard lock(m_mutex);
    m_isLost = std::move(isLost);
}

void store::copyContent()
{
    const std::lock_guard lock(m_mutex);
    m_copy = {m_revision, m_objects, m_history};
    m_log.write("the store's content is copied at revision " + std::to_string(m_revision));
}

void store::goAway()
{
    const std::lock_guard lock(m_mutex);
    m_isAway = true;
    m_changed.notify_all();
    m_log.write("the store is away");
}

void store::returnFromCopy()
{
    const std::lock_guard lock(m_mutex);
    m_revision = m_copy.revision;
    m_objects = m_copy.objects;
    m_history = m_copy.history;
    ++m_era;
    m_isAway = false;
    m_log.write("the store is back from its copy, revision " + std::to_string(m_revision));
}

void store::storeObject(const std::string &kind, const std::string &name,
                        const std::string &specification, bool isRemoval)
{
    const uint64_t revision = ++m_revision;
    if (isRemoval) {
        m_objects[kind].erase(name);
    } else {
        m_objects[kind][name] = {revision, specification};
    }
    m_history.push_back({revision, kind, name, specification, isRemoval});
    m_changed.notify_all();
}

std::string store::renderObject(const std::string &name, const object &entry)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(entry.revision)
        + R"(,"created":1,"finalizers":[],"deleting":false},"specification":)" + entry.specification
        + R"(,"status":null})";
}

bool store::serve(connection &from, const message &call)
{
    message response = respond(call);
    bool isLost = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isAway) {
            response = json(503, "{}");
        }
        response.fields.emplace_back("Store-Era", std::to_string(m_era));
        isLost = m_isLost && m_isLost(call);
    }
    if (!isLost) {
        return from.write(render(response));
    }
    m_log.write("the store's response is lost: " + call.firstLine);
    // The connection stays open and returns nothing further.
    message ignored;
    while (from.read(ignored)) { }
    return false;
}

message store::respond(const message &call)
{
    const std::string target = call.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
        return json(404, "{}");
    }
    const std::string rest = path.substr(prefix.size());
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : decodePercent(rest.substr(slash + 1));
    const std::string since = queryValue(target, "watch");
    if (!since.empty()) {
        return watch(kind, std::strtoull(since.c_str(), nullptr, 10),
                     milliseconds(std::atoi(queryValue(target, "waitMs").c_str())));
    }
    const std::lock_guard lock(m_mutex);
    if (m_isAway) {
        return json(503, "{}");
    }
    return call.word(0) == "GET" ? read(kind, name) : write(kind, name, call);
}

message store::watch(const std::string &kind, uint64_t revision, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto isNew = [&](const change &each) {
        return each.kind == kind && each.revision > revision;
    };
    if (revision > m_revision) {
        return json(410, "{}");
    }
    m_changed.wait_for(lock, wait, [&] {
        return m_isStopping || m_isAway || std::any_of(m_history.begin(), m_history.end(), isNew);
    });
    std::string events;
    for (const change &each : m_history) {
        if (isNew(each)) {
            events += events.empty() ? "" : ",";
            events += std::string(R"({"removed":)") + (each.isRemoval ? "true" : "false")
                + R"(,"object":)" + renderObject(each.name, {each.revision, each.specification})
                + "}";
        }
    }
    return json(200,
                R"({"events":[)" + events + R"(],"storeRevision":)" + std::to_string(m_revision)
                    + "}");
}

message store::read(const std::string &kind, const std::string &name)
{
    const auto &objects = m_objects[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        return found == objects.end() ? json(404, "{}")
                                      : json(200, renderObject(name, found->second));
    }
    std::string items;
    for (const auto &[each, entry] : objects) {
        items += (items.empty() ? "" : ",") + renderObject(each, entry);
    }
    return json(200,
                R"({"items":[)" + items + R"(],"more":false,"storeRevision":)"
                    + std::to_string(m_revision) + "}");
}

message store::write(const std::string &kind, std::string name, const message &call)
{
    auto &objects = m_objects[kind];
    const std::string method = call.word(0);
    const size_t specificationAt = call.body.find(R"("specification":)");
    const std::string metadata = call.body.substr(0, specificationAt);
    if (method == "POST") {
        name = textAfter(metadata, "name");
    }
    const auto found = objects.find(name);
    if (method == "POST" && found != objects.end()) {
        return json(409, renderObject(name, found->second));
    }
    if (method != "POST" && found == objects.end()) {
        return json(404, "{}");
    }
    const auto expected = method == "DELETE" ? std::optional<uint64_t>(std::strtoull(
                              queryValue(call.word(1), "revision").c_str(), nullptr, 10))
                                             : numberAfter(metadata, "revision");
    if (method != "POST" && expected && *expected != 0 && *expected != found->second.revision) {
        return json(409, renderObject(name, found->second));
    }
    if (method == "DELETE") {
        const object removed = found->second;
        storeObject(kind, name, removed.specification, true);
        return json(200, renderObject(name, removed));
    }
    const size_t start = specificationAt + std::string(R"("specification":)").size();
    const std::string specification = call.body.substr(start, call.body.rfind('}') - start);
    if (found == objects.end() || found->second.specification != specification) {
        storeObject(kind, name, specification, false);
    }
    return json(200, renderObject(name, objects[name]));
}

instance::instance(options settings, record &log)
    : m_options(std::move(settings))
    , m_log(log)
    , m_born(unixMilliseconds())
    , m_server(std::make_unique<server>(
          [this](connection &from, const message &request) { return serve(from, request); }))
{ }

instance::~instance()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_freed.notify_all();
    if (m_beats.joinable()) {
        m_beats.join();
    }
    m_server.reset();
}

void instance::reportTo(const std::string &controlAddress)
{
    m_isReporting = true;
    m_beats = std::thread([this, controlAddress] { beat(controlAddress); });
}

void instance::stopReports()
{
    m_isReporting = false;
}

void instance::beat(const std::string &controlAddress)
{
    int sequence = 0;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && m_isReporting) {
        lock.unlock();
        report(controlAddress, ++sequence);
        lock.lock();
        m_freed.wait_for(lock, beatInterval, [this] { return m_isStopping; });
    }
}

int instance::report(const std::string &controlAddress, int sequence)
{
    const std::string body = R"({"service":")" + m_options.service + R"(","address":")" + address()
        + R"(","zone":")" + m_options.zone + R"(","version":"v1","slots":)"
        + std::to_string(m_options.slots) + R"(,"state":"ready","coldRemaining":"0ms",)"
        + R"("sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(m_born)
        + "}";
    return exchange(controlAddress,
                    makeRequest("POST", "/rpc?call=instances.heartbeat&of=" + m_options.id,
                                controlAddress, {{"Content-Type", "application/json"}}, body),
                    beatTimeout)
        .status();
}

int instance::deregister(const std::string &controlAddress)
{
    return exchange(controlAddress,
                    makeRequest("POST", "/rpc?call=instances.deregister&of=" + m_options.id,
                                controlAddress, {{"Content-Type", "application/json"}},
                                R"({"born":)" + std::to_string(m_born) + "}"),
                    beatTimeout)
        .status();
}

void instance::sendExtra(std::function<std::string(const std::string &requestId)> extra)
{
    const std::lock_guard lock(m_mutex);
    m_extra = std::move(extra);
}

void instance::setResponder(std::function<bool(connection &to, const message &request)> respond)
{
    const std::lock_guard lock(m_mutex);
    m_respond = std::move(respond);
}

std::vector<run> instance::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

int instance::runningCount()
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

bool instance::begin()
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
        return false;
    }
    ++m_waiting;
    m_freed.wait(lock, [this] { return m_isStopping || m_running < m_options.slots; });
    --m_waiting;
    ++m_running;
    return true;
}

void instance::end()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_freed.notify_all();
}

bool instance::serve(connection &from, const message &request)
{
    const std::string id = request.get("Request-Id");
    std::string due;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_due.find(&from);
        if (found != m_due.end()) {
            // An entry of an earlier connection at the same place in memory doesn't count.
            due = from.readCount() > 1 ? found->second : "";
            m_due.erase(found);
        }
    }
    if (!due.empty()) {
        m_log.write(m_options.id
                    + " sends additional bytes, after a complete response, where the "
                      "response to "
                    + id + " is due: " + due.substr(0, due.find('\r')));
        from.write(due);
    }
    if (request.get("Expected-Instance") != m_options.id) {
        return from.write(
            render(makeResponse(421, {{"Request-Id", id}, {"Instance-Id", m_options.id}}, "")));
    }
    if (!begin()) {
        return from.write(
            render(makeResponse(503, {{"Request-Id", id}, {"Not-Executed", "1"}}, "")));
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({id, m_options.id, clock::now()});
    }
    m_log.write(m_options.id + " runs " + id);
    std::this_thread::sleep_for(m_options.work);
    std::function<bool(connection & to, const message &request)> respond;
    {
        const std::lock_guard lock(m_mutex);
        respond = m_respond;
    }
    if (respond) {
        const bool isOpen = respond(from, request);
        end();
        return isOpen;
    }
    end();
    const std::string body = "result of " + id + " at " + m_options.id + "\n";
    const bool isOpen = from.write(render(makeResponse(
        200, {{"Request-Id", id}, {"Server-Signature", m_options.id + "." + id}}, body)));
    const std::lock_guard lock(m_mutex);
    const std::string extra = m_extra ? m_extra(id) : "";
    if (isOpen && !extra.empty()) {
        m_due[&from] = extra;
    }
    return isOpen;
}

machine::machine(const std::string &name, const std::string &storeAddress, instance &app,
                 const std::string &folder, record &log)
    : m_name(name)
    , m_storeAddress(storeAddress)
    , m_app(app)
    , m_log(log)
    , m_path(folder + "/" + name + ".settings")
{
    writeSettings({});
    start();
    m_app.reportTo(m_control);
}

void machine::start()
{
    const std::string logPath = m_path + ".log";
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::setenv("PERSIMMONRAIL_NODE_FILE", m_path.c_str(), 1);
        ::execl("target/persimmonrail-sidecar", "target/persimmonrail-sidecar", nullptr);
        ::_exit(127);
    }
}

machine::~machine()
{
    if (m_process > 0) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void machine::writeSettings(const machine_settings &settings)
{
    {
        std::ofstream file(m_path + ".new");
        file << "host-name = " << m_name << "\navailability-zone = " << m_app.settings().zone
             << "\nservice = " << m_app.settings().service << "\ncaller-address = " << m_outbound
             << "\npeer-address = " << m_inbound << "\nready-address = " << m_ready
             << "\nreport-address = " << m_control << "\nmetrics-address = " << m_metrics
             << "\nstore-address = " << m_storeAddress << "\nupstream-address = " << m_app.address()
             << "\nreport-interval = 870ms\nmax-hold = 10000ms\ndrain-timeout = 2000ms"
             << "\ngrace-period = " << settings.gracePeriod
             << "\nretry-ratio = 0.2\nretry-slack = 60\nretry-window = 10s\nlink-mbps = 1000.0"
             << "\nprocessor-share = 0.2\nprocessor-speed = 1\nmemory-mb = 260\ncold-overshoot ="
             << "\ncold-slack =\nevacuation-timeout ="
             << "\ncontracts = base,drain,config,cost,retry,recover,own,platform\n";
    }
    std::filesystem::rename(m_path + ".new", m_path);
}

bool machine::isReady() const
{
    return exchange(m_ready, makeRequest("GET", "/readiness", m_ready, {}, ""), milliseconds(1000))
               .status()
        == 200;
}

void machine::signal(int number)
{
    m_log.write("signal " + std::to_string(number) + " to the daemon of " + m_name);
    ::kill(m_process, number);
}

bool machine::awaitEnd(milliseconds timeout)
{
    return waitUntil(
        [this] {
            if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
                m_process = -1;
            }
            return m_process < 0;
        },
        timeout);
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

bool waitUntil(const std::function<bool()> &condition, milliseconds longest)
{
    const time_point end = clock::now() + longest;
    while (!condition()) {
        if (clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

std::string temporaryFolder()
{
    static struct folder
    {
        std::string path;
        folder()
        {
            std::string pattern =
                (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
            path = ::mkdtemp(pattern.data()) == nullptr ? "" : pattern;
        }
        ~folder()
        {
            std::error_code ignored;
            std::filesystem::remove_all(path, ignored);
        }
    } created;
    return created.path;
}

} // namespace review
