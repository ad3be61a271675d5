#include "standins/upstream_standin.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/instance_id.h"

#include <Poco/Checksum.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace persimmonrail {
namespace {

constexpr size_t maxBodyBytes = 256 * 1024 * 1024;
constexpr milliseconds bodyTimeout{60000};
// Cancellation is noticed within this time.
constexpr milliseconds cancelCheckInterval{10};
constexpr char jsonType[] = "application/json";

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::optional<uint64_t> numberField(const Poco::Net::HTTPRequest &request, const char *name)
{
    uint64_t value = 0;
    return absl::SimpleAtoi(request.get(name, ""), &value) ? std::optional(value) : std::nullopt;
}

} // namespace

std::string standinChecksum(const std::string &body)
{
    Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
    checksum.update(body.data(), static_cast<unsigned>(body.size()));
    return absl::StrCat(absl::Hex(checksum.checksum(), absl::kZeroPad8));
}

absl::StatusOr<std::unique_ptr<upstream_standin>>
upstream_standin::start(const upstream_standin_options &options)
{
    std::unique_ptr<upstream_standin> result(new upstream_standin(options));
    http_server_options serverOptions;
    serverOptions.address = options.address;
    auto server = http_server::listen(
        serverOptions, [raw = result.get()](server_exchange &exchange) { raw->serve(exchange); });
    if (!server.ok()) {
        return server.status();
    }
    result->m_server = *std::move(server);
    if (!options.adminAddress.empty()) {
        result->m_announcer = std::thread([raw = result.get()] { raw->announceRepeatedly(); });
    }
    return result;
}

upstream_standin::upstream_standin(const upstream_standin_options &options)
    : m_options(options)
    , m_bootId(absl::StrCat(absl::Hex(generateIncarnation())))
    , m_startedAt(currentTime())
    , m_crash([] { std::_Exit(3); })
{
    if (!options.journalFile.empty()) {
        m_journal.open(options.journalFile, std::ios::app);
    }
}

upstream_standin::~upstream_standin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_announcer.joinable()) {
        m_announcer.join();
    }
    m_server.reset();
}

upstream_announcement upstream_standin::announcement() const
{
    const std::lock_guard lock(m_mutex);
    return {m_options.service, m_options.instance, m_server->address(),   m_options.slots,
            m_bootId,          m_faults.draining,  m_options.checksGrants};
}

void upstream_standin::announceRepeatedly()
{
    http_client client(std::make_shared<connection_pool>());
    bool announcedDraining = false;
    for (;;) {
        const upstream_announcement current = announcement();
        announcedDraining = current.draining;
        // A daemon that can't be reached is tried again at the next interval.
        const auto ignored =
            simpleRequest(client, m_options.adminAddress, "POST", "/v1/announce",
                          encodeAnnouncement(current), currentTime() + m_options.announceInterval);
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, m_options.announceInterval, [&] {
            return m_stopping || (m_faults.draining != announcedDraining && !m_faults.frozen);
        });
        m_changed.wait(lock, [&] { return m_stopping || !m_faults.frozen; });
        if (m_stopping) {
            return;
        }
    }
}

void upstream_standin::setFaults(const upstream_standin_faults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_changed.notify_all();
}

upstream_standin_faults upstream_standin::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::vector<standin_run> upstream_standin::history() const
{
    const std::lock_guard lock(m_mutex);
    return m_history;
}

std::vector<upstream_grant> upstream_standin::grants() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<upstream_grant> grants;
    grants.reserve(m_grants.size());
    for (const auto &[partition, entry] : m_grants) {
        grants.push_back(entry.first);
    }
    return grants;
}

int upstream_standin::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

void upstream_standin::setCrash(std::function<void()> crash)
{
    const std::lock_guard lock(m_mutex);
    m_crash = std::move(crash);
}

bool upstream_standin::waitFor(
    const std::function<bool(const std::vector<standin_run> &)> &condition,
    milliseconds limit) const
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [&] { return condition(m_history); });
}

void upstream_standin::waitWhileFrozen(server_exchange &exchange)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_stopping || !m_faults.frozen; });
    if (m_stopping) {
        exchange.closeAfterResponse();
    }
}

void upstream_standin::serve(server_exchange &exchange)
{
    waitWhileFrozen(exchange);
    if (exchange.request().getURI().starts_with("/v1/")) {
        serveControl(exchange);
    } else {
        serveRequest(exchange);
    }
}

void upstream_standin::serveControl(server_exchange &exchange)
{
    const std::string &uri = exchange.request().getURI();
    const std::string &method = exchange.request().getMethod();
    const std::string requestPrefix = "/v1/requests/";
    if (uri == "/v1/health" && method == "GET") {
        const bool healthy = faults().healthy;
        exchange.respond(healthy ? 200 : 503, healthy ? "ok\n" : "unhealthy\n", "text/plain");
    } else if (uri == "/v1/load" && method == "GET") {
        Poco::JSON::Object load;
        load.set("load", currentLoad());
        exchange.respond(200, toText(load), jsonType);
    } else if (uri == "/v1/history" && method == "GET") {
        exchange.respond(200, historyJson(), jsonType);
    } else if (uri == "/v1/grants" && method == "PUT") {
        takeGrants(exchange);
    } else if (uri == "/v1/faults" && method == "PUT") {
        takeFaults(exchange);
    } else if (uri.starts_with(requestPrefix) && method == "DELETE") {
        {
            const std::lock_guard lock(m_mutex);
            m_cancelled.insert(uri.substr(requestPrefix.size()));
        }
        exchange.respond(200, "{}", jsonType);
    } else {
        exchange.respond(404, "{}", jsonType);
    }
}

void upstream_standin::takeGrants(server_exchange &exchange)
{
    std::string body;
    int64_t validMs = 0;
    if (exchange.readAll(body, maxBodyBytes, currentTime() + bodyTimeout) == io_status::Ok) {
        if (auto grants = parseGrants(body, validMs); grants.ok()) {
            {
                const std::lock_guard lock(m_mutex);
                const steady_time end = currentTime() + milliseconds(validMs);
                for (const auto &grant : *grants) {
                    // A grant speaks of its own partition only; one with a lower term came late.
                    auto &[known, knownEnd] = m_grants[grant.partition];
                    if (grant.term >= known.term) {
                        known = grant;
                        knownEnd = end;
                    }
                }
                m_changed.notify_all();
            }
            exchange.respond(200, "{}", jsonType);
            return;
        }
    }
    exchange.respond(400, "{}", jsonType);
}

void upstream_standin::takeFaults(server_exchange &exchange)
{
    std::string body;
    upstream_standin_faults next = faults();
    try {
        exchange.readAll(body, maxBodyBytes, currentTime() + bodyTimeout);
        Poco::JSON::Parser parser;
        const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        next.draining = object->optValue("draining", next.draining);
        next.frozen = object->optValue("frozen", next.frozen);
        next.shedding = object->optValue("shedding", next.shedding);
        next.healthy = object->optValue("healthy", next.healthy);
        next.loadLag = milliseconds(object->optValue<int64_t>("load_lag_ms", next.loadLag.count()));
        if (object->has("load")) {
            next.load = object->isNull("load") ? std::nullopt
                                               : std::optional(object->getValue<double>("load"));
        }
        if (object->has("truncate_after")) {
            next.truncateAfter = object->isNull("truncate_after")
                ? std::nullopt
                : std::optional(object->getValue<uint64_t>("truncate_after"));
        }
    } catch (const Poco::Exception &) {
        exchange.respond(400, "{}", jsonType);
        return;
    }
    // Answered first, since a frozen stand-in answers nothing.
    exchange.respond(200, "{}", jsonType);
    setFaults(next);
}

double upstream_standin::currentLoad()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.load) {
        return *m_faults.load;
    }
    const steady_time now = currentTime();
    if (now - m_reportedAt >= m_faults.loadLag) {
        m_reportedLoad = static_cast<double>(m_running) / m_options.slots;
        m_reportedAt = now;
    }
    return m_reportedLoad;
}

bool upstream_standin::isGranted(const Poco::Net::HTTPRequest &request) const
{
    const std::string partition = request.get(partitionHeader, "");
    const std::optional<uint64_t> term = numberField(request, termHeader);
    uint64_t hash = 0;
    if (partition.empty() || !term || !absl::SimpleHexAtoi(request.get(keyHashHeader, ""), &hash)) {
        return false;
    }
    const auto found = m_grants.find(partition);
    return found != m_grants.end() && currentTime() < found->second.second
        && found->second.first.term == *term && found->second.first.range.contains(hash);
}

std::string upstream_standin::refusal(const Poco::Net::HTTPRequest &request) const
{
    if (m_faults.draining) {
        return "draining";
    }
    if (m_faults.shedding || m_running >= m_options.slots) {
        return "shed";
    }
    return m_options.checksGrants && !isGranted(request) ? "stale-grant" : "";
}

milliseconds upstream_standin::serviceTime(const Poco::Net::HTTPRequest &request) const
{
    if (const auto asked = numberField(request, "X-Service-Ms")) {
        return milliseconds(*asked);
    }
    const bool isCold = currentTime() - m_startedAt < m_options.coldStart;
    return m_options.serviceTime * (isCold ? m_options.coldFactor : 1);
}

void upstream_standin::serveRequest(server_exchange &exchange)
{
    const Poco::Net::HTTPRequest &request = exchange.request();
    const std::string requestId = request.get(requestIdHeader, "");
    std::string refused;
    size_t entry = 0;
    {
        const std::lock_guard lock(m_mutex);
        refused = refusal(request);
        if (refused.empty()) {
            ++m_running;
            entry = m_history.size();
            m_history.push_back({requestId, request.getMethod(), request.getURI(),
                                 request.get(idempotencyKeyHeader, ""),
                                 request.get(partitionHeader, ""),
                                 numberField(request, termHeader).value_or(0), "running"});
            journal("begin", entry);
            m_changed.notify_all();
        }
    }
    if (!refused.empty()) {
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        head.set(refusedHeader, refused);
        head.set("Retry-After", "1");
        exchange.respond(head, "");
        return;
    }
    const std::string state = execute(exchange, requestId);
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_cancelled.erase(requestId);
    m_history[entry].state = state;
    journal("end", entry);
    m_changed.notify_all();
}

std::string upstream_standin::execute(server_exchange &exchange, const std::string &requestId)
{
    const Poco::Net::HTTPRequest &request = exchange.request();
    std::string body;
    if (exchange.readAll(body, maxBodyBytes, currentTime() + bodyTimeout) != io_status::Ok) {
        exchange.closeAfterResponse();
        return "broken";
    }
    if (request.has("X-Crash")) {
        std::function<void()> crash;
        {
            const std::lock_guard lock(m_mutex);
            crash = m_crash;
        }
        crash();
        return "broken";
    }
    const steady_time until = currentTime() + serviceTime(request);
    while (currentTime() < until) {
        const steady_time step = std::min(until, currentTime() + cancelCheckInterval);
        const bool isClosed = exchange.connection().waitUntilClosed(step);
        const std::lock_guard lock(m_mutex);
        if (isClosed || m_stopping || m_cancelled.contains(requestId)) {
            return "cancelled";
        }
    }
    waitWhileFrozen(exchange);

    const std::string path = request.getURI().substr(0, request.getURI().find('?'));
    std::shared_ptr<const std::string> stored;
    int count = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (request.getMethod() == "PUT") {
            m_bodies[path] = std::make_shared<const std::string>(std::move(body));
        } else if (request.getMethod() == "POST") {
            count = ++m_counts[path];
        }
        if (const auto found = m_bodies.find(path); found != m_bodies.end()) {
            stored = found->second;
        }
    }
    if (request.getMethod() == "POST") {
        return sendBody(exchange, 200, std::to_string(count));
    }
    if (request.getMethod() == "PUT") {
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_OK);
        head.set("X-Checksum", standinChecksum(*stored));
        return exchange.respond(head, "") ? "done" : "broken";
    }
    return stored ? sendBody(exchange, 200, *stored) : sendBody(exchange, 404, "no such body\n");
}

std::string upstream_standin::sendBody(server_exchange &exchange, int status,
                                       const std::string &body)
{
    const Poco::Net::HTTPRequest &request = exchange.request();
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    head.setContentType("application/octet-stream");
    head.set("X-Checksum", standinChecksum(body));
    body_framing framing{body_framing::kind::Length, body.size()};
    if (request.has("X-Chunked")) {
        framing = {body_framing::kind::Chunked, 0};
    }
    auto cut = numberField(request, "X-Truncate");
    if (!cut) {
        cut = faults().truncateAfter;
    }
    const size_t sent = cut ? std::min<size_t>(*cut, body.size()) : body.size();
    bool whole = exchange.beginResponse(head, framing);
    for (size_t at = 0; at < sent && whole; at += maxBodyPieceBytes) {
        whole = exchange.writeResponse(
            std::string_view(body).substr(at, std::min(maxBodyPieceBytes, sent - at)));
    }
    // An answer that is cut is not ended, so that the server closes the connection.
    whole = whole && sent == body.size() && exchange.endResponse();
    return whole ? "done" : "broken";
}

void upstream_standin::journal(const char *event, size_t entry)
{
    if (!m_journal.is_open()) {
        return;
    }
    const standin_run &run = m_history[entry];
    const auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(currentTime().time_since_epoch());
    m_journal << time.count() << '\t' << event << '\t' << m_bootId << '-' << entry << '\t'
              << run.requestId << '\t' << run.method << '\t' << run.path << '\t'
              << run.idempotencyKey << '\t' << run.partition << '\t' << run.term << '\t'
              << run.state << std::endl;
}

std::string upstream_standin::historyJson() const
{
    Poco::JSON::Array runs;
    for (const standin_run &run : history()) {
        Poco::JSON::Object entry;
        entry.set("request_id", run.requestId);
        entry.set("method", run.method);
        entry.set("path", run.path);
        entry.set("idempotency_key", run.idempotencyKey);
        entry.set("partition", run.partition);
        entry.set("term", run.term);
        entry.set("state", run.state);
        runs.add(entry);
    }
    Poco::JSON::Object object;
    object.set("instance", m_options.instance);
    object.set("boot_id", m_bootId);
    object.set("runs", runs);
    return toText(object);
}

} // namespace persimmonrail
