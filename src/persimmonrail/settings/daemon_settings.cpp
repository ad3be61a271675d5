#include "persimmonrail/settings/daemon_settings.h"

#include "persimmonrail/base/socket_address.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/document/document_parser.h"
#include "persimmonrail/settings/flag_parser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <string_view>

namespace persimmonrail {
namespace {

constexpr int64_t maxConnections = 1'000'000;
constexpr int64_t maxSkewMs = 600'000;
constexpr int64_t maxStopTimeoutMs = 3'600'000;
constexpr std::array<std::string_view, 5> logLevels = {"trace", "debug", "info", "warn", "error"};

const std::vector<flag_description> &daemonFlags()
{
    static const std::vector<flag_description> flags = {
        {"instance", "NAME", "name of this daemon, unique in the fleet (required)"},
        {"region", "NAME", "region of the host (required)"},
        {"availability-zone", "NAME", "availability zone of the host (required)"},
        {"service", "NAME", "service of the upstream beside the daemon; none if it only routes"},
        {"caller-address", "IP:PORT", "address for callers (required)"},
        {"peer-address", "IP:PORT", "address for requests of other daemons (required)"},
        {"control-address", "IP:PORT", "address for control messages of other daemons (required)"},
        {"admin-address", "IP:PORT", "address for health, metrics and announcements (required)"},
        {"platform-address", "IP:PORT", "address of the platform's object API (required)"},
        {"seeds", "IP:PORT,...", "control addresses of peers, for starts without the platform"},
        {"max-caller-connections", "N",
         "limit of open caller connections, about 48 KiB each; beyond it, 503 (default 1024)"},
        {"log-level", "LEVEL", "trace, debug, info, warn or error (default info)"},
        {"log-file", "PATH", "log file (default: standard error)"},
        {"clock-skew-allowance-ms", "N", "assumed difference of wall clocks (default 5000)"},
        {"stop-timeout-ms", "N", "limit of a graceful shutdown (default 30000)"},
        {"check", "", "validate the settings and exit"},
        {"version", "", "print the version and exit"},
        {"help", "", "print this text and exit"},
    };
    return flags;
}

// Converts flag values and collects the faults.
class settings_reader
{
public:
    settings_reader(const flag_values &values, std::vector<std::string> &faults)
        : m_values(values)
        , m_faults(faults)
    { }

    std::string name(const std::string &flag, bool isRequired)
    {
        std::string value = text(flag, isRequired);
        if (!value.empty() && !isValidName(value)) {
            fail(flag, "must be 1 to 63 characters out of a-z, 0-9 and '-'");
        }
        return value;
    }

    std::string address(const std::string &flag)
    {
        std::string value = text(flag, true);
        if (!value.empty()) {
            checkAddress(flag, value);
        }
        return value;
    }

    std::vector<std::string> addresses(const std::string &flag)
    {
        const std::string value = text(flag, false);
        if (value.empty()) {
            return {};
        }
        std::vector<std::string> parts = absl::StrSplit(value, ',');
        std::set<std::string> seen;
        for (const auto &part : parts) {
            checkAddress(flag, part);
            if (!seen.insert(part).second) {
                fail(flag, absl::StrCat("'", part, "' is listed more than once"));
            }
        }
        return parts;
    }

    int64_t integer(const std::string &flag, int64_t lowest, int64_t highest, int64_t fallback)
    {
        if (!m_values.contains(flag)) {
            return fallback;
        }
        int64_t number = 0;
        if (!absl::SimpleAtoi(text(flag, false), &number) || number < lowest || number > highest) {
            fail(flag, absl::StrCat("must be an integer from ", lowest, " to ", highest));
        }
        return number;
    }

    std::string level(const std::string &flag, const std::string &fallback)
    {
        if (!m_values.contains(flag)) {
            return fallback;
        }
        std::string value = text(flag, false);
        if (std::find(logLevels.begin(), logLevels.end(), value) == logLevels.end()) {
            fail(flag, "must be trace, debug, info, warn or error");
        }
        return value;
    }

    std::string text(const std::string &flag, bool isRequired)
    {
        const auto found = m_values.find(flag);
        if (found != m_values.end() && !found->second.empty()) {
            return found->second;
        }
        if (found != m_values.end()) {
            fail(flag, "must not be empty");
        } else if (isRequired) {
            fail(flag, "is required");
        }
        return {};
    }

    void fail(const std::string &flag, const std::string &message)
    {
        m_faults.push_back(absl::StrCat("--", flag, ": ", message));
    }

private:
    void checkAddress(const std::string &flag, const std::string &value)
    {
        const auto parsed = parseSocketAddress(value);
        if (!parsed.ok()) {
            fail(flag, std::string(parsed.status().message()));
        }
    }

    const flag_values &m_values;
    std::vector<std::string> &m_faults;
};

// Whether two listeners would compete for one port, a wildcard address included.
bool isConflict(const Poco::Net::SocketAddress &a, const Poco::Net::SocketAddress &b)
{
    return a.port() == b.port()
        && (a.host() == b.host() || a.host().isWildcard() || b.host().isWildcard());
}

struct used_address
{
    const char *flag;
    absl::StatusOr<Poco::Net::SocketAddress> address;
    // Other processes connect to it, so it must name one host.
    bool isTarget;
    bool isListener;
};

void checkContradictions(const daemon_settings &settings, settings_reader &reader)
{
    const std::vector<used_address> used = {
        {"caller-address", parseSocketAddress(settings.callerAddress), false, true},
        {"peer-address", parseSocketAddress(settings.peerAddress), true, true},
        {"control-address", parseSocketAddress(settings.controlAddress), true, true},
        {"admin-address", parseSocketAddress(settings.adminAddress), false, true},
        {"platform-address", parseSocketAddress(settings.platformAddress), true, false},
    };
    for (size_t i = 0; i < used.size(); ++i) {
        if (!used[i].address.ok()) {
            continue;
        }
        if (used[i].isTarget && used[i].address->host().isWildcard()) {
            reader.fail(used[i].flag, "must not be a wildcard address");
        }
        for (size_t k = 0; k < i; ++k) {
            // The platform may use the same port on another host.
            if (used[k].address.ok()
                && (used[i].isListener ? isConflict(*used[k].address, *used[i].address)
                                       : *used[k].address == *used[i].address)) {
                reader.fail(used[i].flag, absl::StrCat("uses the address of --", used[k].flag));
            }
        }
    }
    for (const auto &seed : settings.seeds) {
        if (seed == settings.controlAddress) {
            reader.fail("seeds", "lists the daemon's own control address");
        }
    }
}

daemon_settings readSettings(settings_reader &reader)
{
    daemon_settings settings;
    settings.instance = reader.name("instance", true);
    settings.region = reader.name("region", true);
    settings.availabilityZone = reader.name("availability-zone", true);
    settings.service = reader.name("service", false);
    settings.callerAddress = reader.address("caller-address");
    settings.peerAddress = reader.address("peer-address");
    settings.controlAddress = reader.address("control-address");
    settings.adminAddress = reader.address("admin-address");
    settings.platformAddress = reader.address("platform-address");
    settings.seeds = reader.addresses("seeds");
    settings.maxCallerConnections = static_cast<int>(
        reader.integer("max-caller-connections", 1, maxConnections, settings.maxCallerConnections));
    settings.logLevel = reader.level("log-level", settings.logLevel);
    settings.logFile = reader.text("log-file", false);
    settings.clockSkewAllowance = milliseconds(reader.integer(
        "clock-skew-allowance-ms", 0, maxSkewMs, settings.clockSkewAllowance.count()));
    settings.stopTimeout = milliseconds(
        reader.integer("stop-timeout-ms", 0, maxStopTimeoutMs, settings.stopTimeout.count()));
    checkContradictions(settings, reader);
    return settings;
}

} // namespace

absl::StatusOr<parsed_settings> parseDaemonSettings(const std::vector<std::string> &arguments,
                                                    const environment_map &environment)
{
    std::vector<std::string> faults;
    const auto parsed = parseFlags(daemonFlags(), arguments, environment);
    parsed_settings result;
    if (parsed.values.contains("help")) {
        result.action = daemon_action::ShowHelp;
        return result;
    }
    if (parsed.values.contains("version")) {
        result.action = daemon_action::ShowVersion;
        return result;
    }
    faults = parsed.faults;
    for (const auto &operand : parsed.operands) {
        faults.push_back(absl::StrCat("unexpected argument '", operand, "'"));
    }
    settings_reader reader(parsed.values, faults);
    result.settings = readSettings(reader);
    if (parsed.values.contains("check")) {
        result.action = daemon_action::Check;
    }
    if (!faults.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    }
    return result;
}

environment_map environmentFrom(const char *const *variables)
{
    environment_map environment;
    for (; variables != nullptr && *variables != nullptr; ++variables) {
        const std::string_view entry = *variables;
        const size_t equals = entry.find('=');
        if (equals != std::string_view::npos) {
            environment.emplace(entry.substr(0, equals), entry.substr(equals + 1));
        }
    }
    return environment;
}

std::string daemonHelp()
{
    return absl::StrCat("Usage: persimmonraild [FLAG]...\n\n", describeFlags(daemonFlags()),
                        "\nEach flag --some-flag with a value falls back to the environment "
                        "variable\nPERSIMMONRAIL_SOME_FLAG.\n");
}

} // namespace persimmonrail
