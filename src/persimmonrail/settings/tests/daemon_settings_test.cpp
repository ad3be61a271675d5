#include "persimmonrail/settings/daemon_settings.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

const std::vector<std::string> completeArguments = {
    "--instance=haulbook-1",           "--region=bavaria",
    "--availability-zone=bayern-nord", "--caller-address=127.0.0.1:8001",
    "--peer-address=127.0.0.1:8002",   "--control-address=127.0.0.1:8003",
    "--admin-address=127.0.0.1:8004",  "--platform-address=127.0.0.1:8000",
};

// Returns completeArguments with the argument of the same flag replaced, or with `argument` added.
std::vector<std::string> withArgument(const std::string &argument)
{
    auto arguments = completeArguments;
    const std::string flag = argument.substr(0, argument.find('=') + 1);
    for (auto &existing : arguments) {
        if (!flag.empty() && existing.starts_with(flag)) {
            existing = argument;
            return arguments;
        }
    }
    arguments.push_back(argument);
    return arguments;
}

// Returns the error message of the parser; empty if the settings are valid.
std::string errorOf(const std::vector<std::string> &arguments,
                    const environment_map &environment = {})
{
    const auto parsed = parseDaemonSettings(arguments, environment);
    return parsed.ok() ? std::string() : std::string(parsed.status().message());
}

} // namespace

TEST_CASE("complete settings are parsed", "[settings]")
{
    auto arguments = completeArguments;
    arguments.insert(arguments.end(),
                     {"--service", "haulbook", "--seeds", "10.0.0.1:1,[::1]:2", "--check",
                      "--stop-timeout-ms=7", "--log-level=warn"});
    const auto parsed = parseDaemonSettings(arguments, {});
    REQUIRE(parsed.ok());
    CHECK(parsed->action == daemon_action::Check);
    CHECK(parsed->settings.instance == "haulbook-1");
    CHECK(parsed->settings.service == "haulbook");
    CHECK(parsed->settings.seeds == std::vector<std::string>{"10.0.0.1:1", "[::1]:2"});
    CHECK(parsed->settings.stopTimeout == milliseconds(7));
    CHECK(parsed->settings.maxCallerConnections == 1024);
    CHECK(parsed->settings.clockSkewAllowance == milliseconds(5'000));
}

TEST_CASE("a flag takes precedence over its environment variable", "[settings]")
{
    const environment_map environment = {
        {"PERSIMMONRAIL_REGION", "pomorze"}, {"PERSIMMONRAIL_SERVICE", "ledger"}, {"PATH", "/bin"}};
    const auto parsed = parseDaemonSettings(completeArguments, environment);
    REQUIRE(parsed.ok());
    CHECK(parsed->settings.region == "bavaria");
    CHECK(parsed->settings.service == "ledger");
    CHECK(parsed->action == daemon_action::Run);
}

// Guards against rejecting a platform that uses the same port on another host.
TEST_CASE("a wildcard listener may share its port number with the platform", "[settings]")
{
    CHECK(parseDaemonSettings(withArgument("--caller-address=0.0.0.0:8000"), {}).ok());
}

// Guards against a daemon that starts although a setting is invalid, and then uses a value that the
// operator did not intend.
TEST_CASE("an invalid setting is rejected with an error that names the flag", "[settings]")
{
    const auto [argument, flag] = GENERATE(table<std::string, std::string>({
        {"--instance=Haulbook", "--instance"},
        {"--instance=", "--instance"},
        {"--caller-address=localhost:80", "--caller-address"},
        {"--caller-address=127.0.0.1", "--caller-address"},
        {"--caller-address=127.0.0.1:0", "--caller-address"},
        {"--caller-address=127.0.0.1:65536", "--caller-address"},
        {"--caller-address=127.0.0.1:+80", "--caller-address"},
        {"--caller-address=::1:80", "--caller-address"},
        {"--admin-address=127.0.0.1:8001", "--admin-address"},
        {"--admin-address=0.0.0.0:8001", "--admin-address"},
        {"--peer-address=0.0.0.0:9000", "--peer-address"},
        {"--platform-address=127.0.0.1:8004", "--platform-address"},
        {"--platform-address=0.0.0.0:9000", "--platform-address"},
        {"--seeds=127.0.0.1:8003", "--seeds"},
        {"--seeds=10.0.0.1:1,", "--seeds"},
        {"--seeds=10.0.0.1:1,10.0.0.1:1", "--seeds"},
        {"--max-caller-connections=0", "--max-caller-connections"},
        {"--max-caller-connections=many", "--max-caller-connections"},
        {"--clock-skew-allowance-ms=-1", "--clock-skew-allowance-ms"},
        {"--log-level=loud", "--log-level"},
        {"--shiny=1", "--shiny"},
        {"--log-lev=warn", "--log-lev"},
        {"--log-file", "--log-file"},
        {"--check=1", "--check"},
        {"-x", "-x"},
        {"surplus", "surplus"},
    }));
    CAPTURE(argument);
    const std::string error = errorOf(withArgument(argument));
    CAPTURE(error);
    CHECK(error.find(flag) != std::string::npos);
    CHECK(error.find('\n') == std::string::npos);
}

TEST_CASE("unknown environment variables and repeated flags are rejected", "[settings]")
{
    CHECK(errorOf(completeArguments, {{"PERSIMMONRAIL_REGOIN", "a"}}).find("PERSIMMONRAIL_REGOIN")
          != std::string::npos);
    auto arguments = completeArguments;
    arguments.emplace_back("--region=other");
    CHECK(errorOf(arguments).find("--region") != std::string::npos);
    CHECK(errorOf(completeArguments, {{"PERSIMMONRAIL_LOG_LEVEL", "loud"}}).find("--log-level")
          != std::string::npos);
}

TEST_CASE("all missing settings are reported together", "[settings]")
{
    const std::string error = errorOf({});
    for (const auto &argument : completeArguments) {
        const std::string flag = argument.substr(0, argument.find('='));
        CAPTURE(flag);
        CHECK(error.find(flag + ": is required") != std::string::npos);
    }
}

TEST_CASE("version and help require no other setting", "[settings]")
{
    CHECK(parseDaemonSettings({"--help"}, {})->action == daemon_action::ShowHelp);
    CHECK(parseDaemonSettings({"--version"}, {})->action == daemon_action::ShowVersion);
    CHECK(daemonHelp().find("--stop-timeout-ms N") != std::string::npos);
}
