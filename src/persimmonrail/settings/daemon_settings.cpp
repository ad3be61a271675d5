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

// Largest values that the flags accept.
constexpr int64_t maxConnectionLimit = 1'000'000;
constexpr int64_t maxClockSkewMs = 600'000;
constexpr int64_t maxStopTimeoutMs = 3'600'000;
constexpr std::array<std::string_view, 5> logLevels = {"trace", "debug", "info", "warn", "error"};

const std::vector<flag_description> &daemonFlags()
{
    static const std::vector<flag_description> flags = {
        {"instance", "NAME", "name of this daemon, unique in the fleet (required)"},
        {"region", "NAME", "region of the host (required)"},
        {"availability-zone", "NAME", "availability zone of the host (required)"},
        {"service", "NAME", "service of the local upstream; none if the daemon only routes"},
        {"caller-address", "IP:PORT", "address for callers (required)"},
        {"peer-address", "IP:PORT", "address for requests of other daemons (required)"},
        {"control-address", "IP:PORT", "address for control messages of other daemons (required)"},
        {"admin-address", "IP:PORT", "address for health, metrics and announcements (required)"},
        {"platform-address", "IP:PORT", "address of the platform's object API (required)"},
        {"seeds", "IP:PORT,...",
         "control addresses of peers to pull state from while the platform is unavailable"},
        {"max-caller-connections", "N",
         "maximum open caller connections, about 48 KiB each; more get 503 (default 1024)"},
        {"log-level", "LEVEL", "trace, debug, info, warn or error (default info)"},
        {"log-file", "PATH", "log file (default: standard error)"},
        {"clock-skew-allowance-ms", "N",
         "maximum assumed difference of wall clocks (default 5000)"},
        {"stop-timeout-ms", "N",
         "maximum wait of a graceful shutdown for requests in flight (default 30000)"},
        {"check", "", "validate the settings and exit"},
        {"version", "", "print the version and exit"},
        {"help", "", "print this text and exit"},
    };
    return flags;
}

// Converts flag values to settings and collects one error message per invalid value.
class settings_reader
{
public:
    settings_reader(const flag_values &values, std::vector<std::string> &errors)
        : m_values(values)
        , m_errors(errors)
    { }

    std::string readName(const std::string &flag, bool isRequired)
    {
        std::string value = readText(flag, isRequired);
        if (!value.empty() && !isValidName(value)) {
            addError(flag, "must be 1 to 63 characters out of a-z, 0-9 and '-'");
        }
        return value;
    }

    std::string readAddress(const std::string &flag)
    {
        std::string value = readText(flag, true);
        if (!value.empty()) {
            checkAddress(flag, value);
        }
        return value;
    }

    // Reads a comma-separated list of addresses, which may be empty.
    std::vector<std::string> readAddresses(const std::string &flag)
    {
        const std::string value = readText(flag, false);
        if (value.empty()) {
            return {};
        }
        std::vector<std::string> parts = absl::StrSplit(value, ',');
        std::set<std::string> uniqueParts;
        for (const auto &part : parts) {
            checkAddress(flag, part);
            if (!uniqueParts.insert(part).second) {
                addError(flag, absl::StrCat("'", part, "' is listed more than once"));
            }
        }
        return parts;
    }

    int64_t readInteger(const std::string &flag, int64_t minValue, int64_t maxValue,
                        int64_t defaultValue)
    {
        if (!m_values.contains(flag)) {
            return defaultValue;
        }
        int64_t number = 0;
        if (!absl::SimpleAtoi(readText(flag, false), &number) || number < minValue
            || number > maxValue) {
            addError(flag, absl::StrCat("must be an integer from ", minValue, " to ", maxValue));
        }
        return number;
    }

    std::string readLogLevel(const std::string &flag, const std::string &defaultValue)
    {
        if (!m_values.contains(flag)) {
            return defaultValue;
        }
        std::string value = readText(flag, false);
        if (std::find(logLevels.begin(), logLevels.end(), value) == logLevels.end()) {
            addError(flag, "must be trace, debug, info, warn or error");
        }
        return value;
    }

    // Returns the value of a flag, or an empty string if the flag is absent.
    std::string readText(const std::string &flag, bool isRequired)
    {
        const auto found = m_values.find(flag);
        if (found != m_values.end() && !found->second.empty()) {
            return found->second;
        }
        if (found != m_values.end()) {
            addError(flag, "must not be empty");
        } else if (isRequired) {
            addError(flag, "is required");
        }
        return {};
    }

    void addError(const std::string &flag, const std::string &message)
    {
        m_errors.push_back(absl::StrCat("--", flag, ": ", message));
    }

private:
    void checkAddress(const std::string &flag, const std::string &value)
    {
        const auto parsed = parseSocketAddress(value);
        if (!parsed.ok()) {
            addError(flag, std::string(parsed.status().message()));
        }
    }

    const flag_values &m_values;
    std::vector<std::string> &m_errors;
};

// Returns whether listeners at both addresses would need the same port of the same host. A wildcard
// address conflicts with every host.
bool isPortConflict(const Poco::Net::SocketAddress &a, const Poco::Net::SocketAddress &b)
{
    return a.port() == b.port()
        && (a.host() == b.host() || a.host().isWildcard() || b.host().isWildcard());
}

struct configured_address
{
    const char *flag;
    absl::StatusOr<Poco::Net::SocketAddress> address;
    // Whether processes connect to this address, which must then not be a wildcard.
    bool isDestination;
    // Whether this daemon listens at the address.
    bool isListener;
};

void checkAddressConflicts(const daemon_settings &settings, settings_reader &reader)
{
    const std::vector<configured_address> addresses = {
        {"caller-address", parseSocketAddress(settings.callerAddress), false, true},
        {"peer-address", parseSocketAddress(settings.peerAddress), true, true},
        {"control-address", parseSocketAddress(settings.controlAddress), true, true},
        {"admin-address", parseSocketAddress(settings.adminAddress), false, true},
        {"platform-address", parseSocketAddress(settings.platformAddress), true, false},
    };
    for (size_t i = 0; i < addresses.size(); ++i) {
        if (!addresses[i].address.ok()) {
            continue;
        }
        if (addresses[i].isDestination && addresses[i].address->host().isWildcard()) {
            reader.addError(addresses[i].flag, "must not be a wildcard address");
        }
        for (size_t k = 0; k < i; ++k) {
            // The platform may use the same port on another host, so its address conflicts only if
            // both the host and the port are equal.
            if (addresses[k].address.ok()
                && (addresses[i].isListener
                        ? isPortConflict(*addresses[k].address, *addresses[i].address)
                        : *addresses[k].address == *addresses[i].address)) {
                reader.addError(
                    addresses[i].flag,
                    absl::StrCat("conflicts with the address of --", addresses[k].flag));
            }
        }
    }
    for (const auto &seed : settings.seeds) {
        if (seed == settings.controlAddress) {
            reader.addError("seeds", "lists the daemon's own control address");
        }
    }
}

daemon_settings readSettings(settings_reader &reader)
{
    daemon_settings settings;
    settings.instance = reader.readName("instance", true);
    settings.region = reader.readName("region", true);
    settings.availabilityZone = reader.readName("availability-zone", true);
    settings.service = reader.readName("service", false);
    settings.callerAddress = reader.readAddress("caller-address");
    settings.peerAddress = reader.readAddress("peer-address");
    settings.controlAddress = reader.readAddress("control-address");
    settings.adminAddress = reader.readAddress("admin-address");
    settings.platformAddress = reader.readAddress("platform-address");
    settings.seeds = reader.readAddresses("seeds");
    settings.maxCallerConnections = static_cast<int>(reader.readInteger(
        "max-caller-connections", 1, maxConnectionLimit, settings.maxCallerConnections));
    settings.logLevel = reader.readLogLevel("log-level", settings.logLevel);
    settings.logFile = reader.readText("log-file", false);
    settings.clockSkewAllowance = milliseconds(reader.readInteger(
        "clock-skew-allowance-ms", 0, maxClockSkewMs, settings.clockSkewAllowance.count()));
    settings.stopTimeout = milliseconds(
        reader.readInteger("stop-timeout-ms", 0, maxStopTimeoutMs, settings.stopTimeout.count()));
    checkAddressConflicts(settings, reader);
    return settings;
}

} // namespace

absl::StatusOr<parsed_settings> parseDaemonSettings(const std::vector<std::string> &arguments,
                                                    const environment_map &environment)
{
    std::vector<std::string> errors;
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
    errors = parsed.faults;
    for (const auto &operand : parsed.operands) {
        errors.push_back(absl::StrCat("unexpected argument '", operand, "'"));
    }
    settings_reader reader(parsed.values, errors);
    result.settings = readSettings(reader);
    if (parsed.values.contains("check")) {
        result.action = daemon_action::Check;
    }
    if (!errors.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
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
