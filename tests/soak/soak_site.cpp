#include "soak/soak_site.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace soak {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds heartbeatInterval{200};

std::string settingsText(const router_settings &settings, int rewrites)
{
    return absl::StrCat(
        "# ", rewrites, "\nhost-name = ", settings.hostName,
        "\navailability-zone = z\nservice = ", settings.service,
        "\ncaller-address = ", settings.callerAddress, "\npeer-address = ", settings.peerAddress,
        "\nready-address = ", settings.readyAddress, "\nreport-address = ", settings.reportAddress,
        "\nstore-address = ", settings.storeAddress,
        "\nupstream-address = ", settings.upstreamAddress,
        "\nreport-interval = 500ms\nmax-hold = 10000ms\ndrain-timeout = 2000ms"
        "\ngrace-period = 6s\nretry-ratio = 0.2\nretry-slack = 60"
        "\nretry-window = 10s\n");
}

std::string routeText(const std::string &prefix, const std::string &kind,
                      const std::string &service)
{
    return absl::StrCat(R"({"name":")", prefix, R"(","host":"h.example","pathPrefix":")", prefix,
                        R"(","kind":")", kind, R"(","timeout":"2000ms","targetLatency":"1000ms",)",
                        R"("priority":0,"service":")", service, R"(","maxAttempts":2})");
}

} // namespace

soak_host::soak_host(int index, const std::string &service, const std::string &storeAddress,
                     const std::string &folder)
    : m_name("h" + std::to_string(index))
    , m_instance("i-" + m_name, false)
    , m_settings(loopbackSettings(m_name, service, storeAddress, m_instance.address()))
    , m_settingsFile(folder + "/" + m_name + ".settings")
{
    m_instance.setProcessingTime(20ms);
    rewriteSettings();
    startDaemon();
    m_heartbeats = std::thread([this] {
        while (!m_isStopping) {
            m_instance.report(m_settings.reportAddress, m_settings.service, "ready");
            waitUntil([this] { return m_isStopping.load(); }, heartbeatInterval);
        }
    });
}

soak_host::~soak_host()
{
    m_isStopping = true;
    m_heartbeats.join();
}

void soak_host::rewriteSettings()
{
    const std::string text = settingsText(m_settings, ++m_rewriteCount);
    std::ofstream(m_settingsFile + ".new") << text;
    std::filesystem::rename(m_settingsFile + ".new", m_settingsFile);
}

void soak_host::startDaemon()
{
    m_daemon = std::make_unique<process_tests::child_process>(
        "persimmonrail-sidecar", std::vector<std::string>{m_settingsFile}, m_settingsFile + ".log");
}

void soak_host::signal(int number)
{
    const std::lock_guard lock(m_mutex);
    m_killCount += number == SIGKILL ? 1 : 0;
    m_daemon->signal(number);
}

bool soak_host::restart(int exitCode, milliseconds timeout)
{
    const std::lock_guard lock(m_mutex);
    const auto ended = m_daemon->awaitExit(timeout);
    // A signal that arrives before the program begins ends it, and nothing has been served then.
    const bool hasBegun = !m_daemon->output().empty();
    const bool hasEnded = ended && (*ended == exitCode || !hasBegun);
    startDaemon();
    return hasEnded;
}

soak_site::soak_site(int hosts)
{
    const std::string folder =
        std::filesystem::temp_directory_path() / ("soak-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    writeDesiredState();
    for (int i = 0; i < hosts; ++i) {
        m_hosts.push_back(std::make_unique<soak_host>(i, i % 2 == 0 ? "plain" : "orders",
                                                      m_store.address(), folder));
    }
    for (const auto &host : m_hosts) {
        for (const char *path : {"/p/first", "/n/first"}) {
            REQUIRE(waitUntil([&] {
                return callRouter(host->callerAddress(), "first", path, {}).status == 200;
            }));
        }
    }
}

void soak_site::writeDesiredState()
{
    std::string routes = absl::StrCat(routeText("/p/", "idempotent", "plain"), ",",
                                      routeText("/n/", "non_idempotent", "orders"));
    for (int version = 11; version <= m_version; ++version) {
        absl::StrAppend(&routes, ",",
                        routeText("/q" + std::to_string(version) + "/", "idempotent", "plain"));
    }
    m_store.write("config", "main",
                  absl::StrCat(R"({"version":")", absl::StrFormat("%08x", m_version),
                               R"(","routes":[)", routes,
                               R"(],"services":[{"name":"plain","connectionLimit":50},)",
                               R"({"name":"orders","connectionLimit":50}],)",
                               R"("limits":{"idleTimeout":"15000ms"}})"));
}

void soak_site::addRoute()
{
    ++m_version;
    writeDesiredState();
}

std::map<std::string, int> soak_site::startCounts()
{
    std::map<std::string, int> counts;
    for (const auto &host : m_hosts) {
        for (const std::string &id : host->instance().startedRequestIds()) {
            ++counts[id];
        }
    }
    return counts;
}

} // namespace soak
