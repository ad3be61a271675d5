// persimmonraild: the daemon that runs beside one upstream.
#include "persimmonrail/base/stop_signals.h"
#include "persimmonrail/daemon/daemon.h"
#include "persimmonrail/settings/daemon_settings.h"

#include <csignal>
#include <iostream>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

int run(const persimmonrail::daemon_settings &settings)
{
    const persimmonrail::stop_signals stopSignals;
    // A write to a connection that the peer has closed must fail with an error instead of ending
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto daemon = persimmonrail::daemon::start(settings);
    if (!daemon.ok()) {
        std::cerr << "persimmonraild: " << daemon.status().message() << "\n";
        return exitFailed;
    }
    stopSignals.wait();
    return (*daemon)->stop() ? exitOk : exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto parsed =
        persimmonrail::parseDaemonSettings(arguments, persimmonrail::environmentFrom(environ));
    if (!parsed.ok()) {
        std::cerr << "persimmonraild: " << parsed.status().message() << "\n";
        return exitUsage;
    }
    switch (parsed->action) {
    case persimmonrail::daemon_action::ShowHelp:
        std::cout << persimmonrail::daemonHelp();
        return exitOk;
    case persimmonrail::daemon_action::ShowVersion:
        std::cout << "persimmonraild " PERSIMMONRAIL_VERSION "\n";
        return exitOk;
    case persimmonrail::daemon_action::Check:
        std::cout << "settings are valid\n";
        return exitOk;
    case persimmonrail::daemon_action::Run:
        return run(parsed->settings);
    }
    return exitUsage;
}
