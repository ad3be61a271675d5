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
// Interval between checks of a running request for its cancellation.
constexpr milliseconds cancelPollInterval{10};
constexpr char jsonType[] = "application/json";

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

std::string toJsonText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::optional<uint64_t> numberHeader(const Poco::Net::HTTPRequest &request, const char *name)
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
    auto server =
        http_server::listen(serverOptions, [standin = result.get()](server_exchange &exchange) {
            standin->serve(exchange);
        });
    if (!server.ok()) {
        return server.status();
    }
    result->m_server = *std::move(server);
    if (!options.adminAddress.empty()) {
        result->m_announceThread =
            std::thread([standin = result.get()] { standin->announceRepeatedly(); });
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
        m_isStopping = true;
        m_changed.notify_all();
    }
    if (m_announceThread.joinable()) {
        m_announceThread.join();
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
    bool wasAnnouncedDraining = false;
    for (;;) {
        const upstream_announcement current = announcement();
        wasAnnouncedDraining = current.draining;
        // A failed announcement is ignored, because the next announcement follows after the
        // interval.
        const auto ignoredResult =
            simpleRequest(client, m_options.adminAddress, "POST", "/v1/announce",
                          encodeAnnouncement(current), currentTime() + m_options.announceInterval);
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, m_options.announceInterval, [&] {
            return m_isStopping || (m_faults.draining != wasAnnouncedDraining && !m_faults.frozen);
        });
        m_changed.wait(lock, [&] { return m_isStopping || !m_faults.frozen; });
        if (m_isStopping) {
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
    milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return condition(m_history); });
}

void upstream_standin::waitWhileFrozen(server_exchange &exchange)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_isStopping || !m_faults.frozen; });
    if (m_isStopping) {
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
        const bool isHealthy = faults().healthy;
        exchange.respond(isHealthy ? 200 : 503, isHealthy ? "ok\n" : "unhealthy\n", "text/plain");
    } else if (uri == "/v1/load" && method == "GET") {
        Poco::JSON::Object load;
        load.set("load", currentLoad());
        exchange.respond(200, toJsonText(load), jsonType);
    } else if (uri == "/v1/history" && method == "GET") {
        exchange.respond(200, historyJson(), jsonType);
    } else if (uri == "/v1/grants" && method == "PUT") {
        handleGrants(exchange);
    } else if (uri == "/v1/faults" && method == "PUT") {
        handleFaults(exchange);
    } else if (uri.starts_with(requestPrefix) && method == "DELETE") {
        {
            const std::lock_guard lock(m_mutex);
            m_cancelledRequests.insert(uri.substr(requestPrefix.size()));
        }
        exchange.respond(200, "{}", jsonType);
    } else {
        exchange.respond(404, "{}", jsonType);
    }
}

void upstream_standin::handleGrants(server_exchange &exchange)
{
    std::string body;
    int64_t validMs = 0;
    if (exchange.readAll(body, maxBodyBytes, currentTime() + bodyTimeout) == io_status::Ok) {
        if (auto grants = parseGrants(body, validMs); grants.ok()) {
            {
                const std::lock_guard lock(m_mutex);
                const steady_time end = currentTime() + milliseconds(validMs);
                for (const auto &grant : *grants) {
                    // A grant replaces only the grant of its own partition. A grant with a lower
                    // term is outdated and arrived late.
                    auto &[latest, expiry] = m_grants[grant.partition];
                    if (grant.term >= latest.term) {
                        latest = grant;
                        expiry = end;
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

void upstream_standin::handleFaults(server_exchange &exchange)
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
        next.loadSampleInterval =
            milliseconds(object->optValue<int64_t>("load_lag_ms", next.loadSampleInterval.count()));
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
    // Responds before the faults apply, because a frozen stand-in sends no responses.
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
    if (now - m_sampledAt >= m_faults.loadSampleInterval) {
        m_sampledLoad = static_cast<double>(m_running) / m_options.slots;
        m_sampledAt = now;
    }
    return m_sampledLoad;
}

bool upstream_standin::isGranted(const Poco::Net::HTTPRequest &request) const
{
    const std::string partition = request.get(partitionHeader, "");
    const std::optional<uint64_t> term = numberHeader(request, termHeader);
    uint64_t hash = 0;
    if (partition.empty() || !term || !absl::SimpleHexAtoi(request.get(keyHashHeader, ""), &hash)) {
        return false;
    }
    const auto found = m_grants.find(partition);
    return found != m_grants.end() && currentTime() < found->second.second
        && found->second.first.term == *term && found->second.first.range.contains(hash);
}

std::string upstream_standin::rejectionReason(const Poco::Net::HTTPRequest &request) const
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
    if (const auto requested = numberHeader(request, "X-Service-Ms")) {
        return milliseconds(*requested);
    }
    const bool isWarmingUp = currentTime() - m_startedAt < m_options.warmUpTime;
    return m_options.serviceTime * (isWarmingUp ? m_options.warmUpFactor : 1);
}

void upstream_standin::serveRequest(server_exchange &exchange)
{
    const Poco::Net::HTTPRequest &request = exchange.request();
    const std::string requestId = request.get(requestIdHeader, "");
    std::string reason;
    size_t runIndex = 0;
    {
        const std::lock_guard lock(m_mutex);
        reason = rejectionReason(request);
        if (reason.empty()) {
            ++m_running;
            runIndex = m_history.size();
            m_history.push_back({requestId, request.getMethod(), request.getURI(),
                                 request.get(idempotencyKeyHeader, ""),
                                 request.get(partitionHeader, ""),
                                 numberHeader(request, termHeader).value_or(0), "running"});
            writeJournalLine("begin", runIndex);
            m_changed.notify_all();
        }
    }
    if (!reason.empty()) {
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        head.set(refusedHeader, reason);
        head.set("Retry-After", "1");
        exchange.respond(head, "");
        return;
    }
    const std::string state = execute(exchange, requestId);
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_cancelledRequests.erase(requestId);
    m_history[runIndex].state = state;
    writeJournalLine("end", runIndex);
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
    const steady_time end = currentTime() + serviceTime(request);
    while (currentTime() < end) {
        const steady_time pollEnd = std::min(end, currentTime() + cancelPollInterval);
        const bool isClosed = exchange.connection().waitUntilClosed(pollEnd);
        const std::lock_guard lock(m_mutex);
        if (isClosed || m_isStopping || m_cancelledRequests.contains(requestId)) {
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
            m_storedBodies[path] = std::make_shared<const std::string>(std::move(body));
        } else if (request.getMethod() == "POST") {
            count = ++m_postCounts[path];
        }
        if (const auto found = m_storedBodies.find(path); found != m_storedBodies.end()) {
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
    auto truncateAt = numberHeader(request, "X-Truncate");
    if (!truncateAt) {
        truncateAt = faults().truncateAfter;
    }
    const size_t sent = truncateAt ? std::min<size_t>(*truncateAt, body.size()) : body.size();
    bool isComplete = exchange.beginResponse(head, framing);
    for (size_t offset = 0; offset < sent && isComplete; offset += maxBodyPieceBytes) {
        isComplete = exchange.writeResponse(
            std::string_view(body).substr(offset, std::min(maxBodyPieceBytes, sent - offset)));
    }
    // A truncated response is not ended, so that the server closes the connection.
    isComplete = isComplete && sent == body.size() && exchange.endResponse();
    return isComplete ? "done" : "broken";
}

void upstream_standin::writeJournalLine(const char *event, size_t runIndex)
{
    if (!m_journal.is_open()) {
        return;
    }
    const standin_run &run = m_history[runIndex];
    const auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(currentTime().time_since_epoch());
    m_journal << time.count() << '\t' << event << '\t' << m_bootId << '-' << runIndex << '\t'
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
    return toJsonText(object);
}

} // namespace persimmonrail
