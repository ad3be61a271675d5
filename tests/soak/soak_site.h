#pragma once

#include "process/site.h"
#include "site_standins.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace soak {

using namespace persimmonrail;

// A host with an upstream in this process and the daemon persimmonrail-sidecar as a child process.
// The upstream sends its heartbeats as long as the object exists. Thread safe.
class soak_host
{
public:
    soak_host(int index, const std::string &service, const std::string &storeAddress,
              const std::string &folder);
    ~soak_host();

    instance_standin &instance() { return m_instance; }
    const std::string &callerAddress() const { return m_settings.callerAddress; }
    // Sends a signal to the daemon, if it runs.
    void signal(int number);
    // Starts the daemon again after it has got SIGTERM or SIGKILL and has ended. Returns false if
    // it did not end within `timeout`, or not with `exitCode`.
    bool restart(int exitCode, milliseconds timeout);
    // Rewrites the settings file with the same values.
    void rewriteSettings();
    // Returns the number of times that the daemon got SIGKILL.
    int killCount() const { return m_killCount; }

private:
    void startDaemon();

    const std::string m_name;
    instance_standin m_instance;
    const router_settings m_settings;
    const std::string m_settingsFile;
    std::mutex m_mutex;
    std::unique_ptr<process_tests::child_process> m_daemon;
    std::atomic<int> m_killCount{0};
    std::atomic<int> m_rewriteCount{0};
    std::atomic<bool> m_isStopping{false};
    // Declared last, because the thread uses the members above.
    std::thread m_heartbeats;
};

// Hosts of the services "plain", which requests under /p/ reach and may be repeated, and "orders",
// under /n/, which may not, and the store. The constructor returns once both are served.
class soak_site
{
public:
    explicit soak_site(int hosts);

    std::vector<std::unique_ptr<soak_host>> &hosts() { return m_hosts; }
    store_standin &store() { return m_store; }
    // Writes the next version of the desired state, with one route more.
    void addRoute();
    // Returns the prefix of the newest route.
    std::string newestPrefix() const { return "/q" + std::to_string(m_version) + "/"; }
    // Returns how often each request was begun.
    std::map<std::string, int> startCounts();

private:
    void writeDesiredState();

    int m_version = 10;
    store_standin m_store;
    std::vector<std::unique_ptr<soak_host>> m_hosts;
};

} // namespace soak
