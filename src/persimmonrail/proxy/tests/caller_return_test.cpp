#include "persimmonrail/base/header_names.h"
#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/request_proxy.h"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds retryAfter{1000};

// A request proxy and a full upstream at another daemon. Callers are told to return after
// `retryAfter`, since no other upstream is left.
class return_site
{
public:
    explicit return_site(bool schedulesReturns)
    {
        m_peer = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            {
                const std::lock_guard lock(m_mutex);
                m_attempts.push_back(exchange.request().get(callerAttemptHeader, "")
                                     + exchange.request().get(callerZoneHeader, ""));
            }
            respondToPeer(exchange, notRunResult(proxy_reason::Overload, 100ms));
        }));
        exchange_codec codec;
        codec.readCallerFields = [](const Poco::Net::HTTPRequest &request) {
            caller_fields fields;
            fields.requestId = "r1";
            if (request.has("Timeout")) {
                fields.timeout = milliseconds(std::stoi(request.get("Timeout")));
            }
            return fields;
        };
        upstream_dispatcher_hooks dispatcherHooks;
        dispatcherHooks.local = [] { return local_upstream_state(); };
        m_dispatcher = std::make_unique<upstream_dispatcher>(codec, dispatcherHooks, m_quarantine);
        request_proxy_options options;
        options.schedulesReturns = schedulesReturns;
        options.availabilityZone = ":z";
        options.defaultRetryAfter = retryAfter;
        // The way to the daemon may take long on a busy host.
        options.callerReturns.maxDeadlineDifference = 5s;
        m_proxy = std::make_unique<request_proxy>(options, makeHooks(), codec, *m_dispatcher, m_log,
                                                  m_values);
        m_callers = std::move(*http_server::listen(
            {}, [this](server_exchange &exchange) { m_proxy->serveCaller(exchange); }));
    }
    ~return_site() { m_callers.reset(); }

    // Sends a request that states the time left, in milliseconds; none if empty.
    void send(const std::string &timeout)
    {
        client_request request;
        request.address = m_callers->address();
        request.message.setURI("/");
        request.message.setHost("h");
        if (!timeout.empty()) {
            request.message.set("Timeout", timeout);
        }
        request.deadline = std::chrono::steady_clock::now() + 20s;
        discarding_sink sink;
        const exchange_result result = m_client.exchange(request, sink);
        REQUIRE(result.state == exchange_state::Complete);
        REQUIRE(result.head.getStatus() == 503);
    }
    // Returns what the other daemon has learned of the attempts and of the zone of their caller.
    std::vector<std::string> attempts()
    {
        const std::lock_guard lock(m_mutex);
        return m_attempts;
    }

private:
    request_proxy_hooks makeHooks()
    {
        request_proxy_hooks hooks;
        hooks.routes = [] {
            return std::make_shared<route_table>(
                1, std::vector<route>{{"r", "h", "/", true, 60s, 500ms, 0, 2, {{"ledger", 1}}}},
                std::vector<service_rule>{{"ledger", false, 9, ""}}, 10000ms);
        };
        hooks.directory = [this] {
            fleet_directory_builder builder([](const std::string &, std::string_view) {});
            const upstream_member member{{"i-1", 1}, "ledger", "z",  m_peer->address(),
                                         9,          false,    false};
            builder.applyObject({memberKey("i-1"), 1, false, encodeMember(member)});
            return builder.build();
        };
        hooks.isStopping = hooks.isClosed = [] { return false; };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] { return std::mt19937_64(1); };
        return hooks;
    }

    std::mutex m_mutex;
    std::vector<std::string> m_attempts;
    decision_log m_log{{log_level::Off, "", 100, false}};
    metrics m_values;
    std::unique_ptr<http_server> m_peer;
    std::unique_ptr<http_server> m_callers;
    crash_quarantine m_quarantine;
    std::unique_ptr<upstream_dispatcher> m_dispatcher;
    std::unique_ptr<request_proxy> m_proxy;
    http_client m_client{std::make_shared<connection_pool>()};
};

} // namespace

// Guards against retries that the daemon beside the upstream takes for first attempts.
TEST_CASE("the daemon beside the upstream learns of callers' retries", "[proxy][returns]")
{
    return_site site(true);
    site.send("30000");
    const steady_time sent = std::chrono::steady_clock::now();
    const auto left = [sent] {
        return std::to_string(std::chrono::duration_cast<milliseconds>(
                                  30s - (std::chrono::steady_clock::now() - sent))
                                  .count()
                              - 1);
    };
    site.send(left());
    std::this_thread::sleep_for(retryAfter);
    site.send(left());
    site.send("30000");
    site.send("");
    CHECK(site.attempts()
          == std::vector<std::string>{"first:z", "early:z", "due:z", "first:z", ":z"});
}

TEST_CASE("without the setting no attempts are told", "[proxy][returns]")
{
    return_site site(false);
    site.send("30000");
    site.send("29999");
    CHECK(site.attempts() == std::vector<std::string>{"", ""});
}

TEST_CASE("the attempts of a caller are read from the field between daemons", "[proxy][returns]")
{
    const auto [text, attempt] = GENERATE(table<const char *, caller_attempt>({
        {"first", caller_attempt::First},
        {"early", caller_attempt::EarlyRetry},
        {"due", caller_attempt::DueRetry},
        // Of an earlier or a later release.
        {"", caller_attempt::Unknown},
        {"third", caller_attempt::Unknown},
    }));
    CHECK(parseCallerAttempt(text) == attempt);
    if (attempt != caller_attempt::Unknown) {
        CHECK(toString(attempt) == text);
    }
}
