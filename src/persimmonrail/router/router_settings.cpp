#include "persimmonrail/router/router_settings.h"

#include "persimmonrail/base/socket_address.h"
#include "persimmonrail/base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <functional>

namespace persimmonrail {
namespace {

using setter = std::function<bool(router_settings &settings, const std::string &value)>;

struct setting
{
    const char *name;
    const char *help;
    bool isRequired;
    setter set;
};

setter textSetter(std::string router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        settings.*member = value;
        return !value.empty();
    };
}

setter addressSetter(std::string router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        settings.*member = value;
        return parseSocketAddress(value).ok();
    };
}

setter durationSetter(milliseconds router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        double number = 0;
        std::string digits = value;
        double factor = 1;
        if (absl::EndsWith(value, "ms")) {
            digits.resize(digits.size() - 2);
        } else if (absl::EndsWith(value, "s")) {
            digits.resize(digits.size() - 1);
            factor = 1000;
        } else {
            return false;
        }
        if (!absl::SimpleAtod(digits, &number) || number < 0 || number * factor > 1e9) {
            return false;
        }
        settings.*member = milliseconds(static_cast<int64_t>(number * factor));
        return true;
    };
}

setter countSetter(int router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        double number = 0;
        if (!absl::SimpleAtod(value, &number) || number < 0 || number > 1e9) {
            return false;
        }
        settings.*member = static_cast<int>(number);
        return true;
    };
}

bool setRetryRatio(router_settings &settings, const std::string &value)
{
    return absl::SimpleAtod(value, &settings.retryRatio) && settings.retryRatio >= 0
        && settings.retryRatio <= 1;
}

setter switchSetter(bool router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        settings.*member = value == "on";
        return value == "on" || value == "off";
    };
}

setter quantitySetter(double router_settings::*member)
{
    return [member](router_settings &settings, const std::string &value) {
        double number = 0;
        if (!absl::SimpleAtod(value, &number) || number < 0 || number > 1e9) {
            return false;
        }
        settings.*member = number;
        return true;
    };
}

bool setLevel(router_settings &settings, const std::string &value)
{
    static const std::map<std::string, log_level> levels = {{"debug", log_level::Debug},
                                                            {"info", log_level::Info},
                                                            {"warn", log_level::Warn},
                                                            {"error", log_level::Error},
                                                            {"off", log_level::Off}};
    const auto level = levels.find(value);
    if (level != levels.end()) {
        settings.level = level->second;
    }
    return level != levels.end();
}

const std::vector<setting> &allSettings()
{
    using s = router_settings;
    static const std::vector<setting> settings = {
        {"host-name", "name of this host", true, textSetter(&s::hostName)},
        {"availability-zone", "availability zone of this host", true,
         textSetter(&s::availabilityZone)},
        {"service", "service of the upstream on this host", true, textSetter(&s::service)},
        {"caller-address", "ip:port for requests of callers on this host", true,
         addressSetter(&s::callerAddress)},
        {"peer-address", "ip:port for other daemons", true, addressSetter(&s::peerAddress)},
        {"ready-address", "ip:port for readiness checks", true, addressSetter(&s::readyAddress)},
        {"report-address", "ip:port for reports of the upstream", true,
         addressSetter(&s::reportAddress)},
        {"metrics-address", "ip:port for metrics; none if absent", false,
         addressSetter(&s::metricsAddress)},
        {"store-address", "ip:port of the object store", true, addressSetter(&s::storeAddress)},
        {"upstream-address", "ip:port of the upstream on this host", true,
         addressSetter(&s::upstreamAddress)},
        {"report-interval", "time between two reports of the upstream, such as 870ms", false,
         durationSetter(&s::reportInterval)},
        {"max-hold", "longest hold time that upstreams accept", false, durationSetter(&s::maxHold)},
        {"drain-timeout", "how long a draining upstream may receive requests", false,
         durationSetter(&s::drainTimeout)},
        {"grace-period", "time from the stop signal until the process is ended by force", false,
         durationSetter(&s::gracePeriod)},
        {"retry-ratio", "share of requests that all daemons together may retry", false,
         setRetryRatio},
        {"retry-slack", "retries allowed within the window in addition to that share", false,
         countSetter(&s::retrySlack)},
        {"retry-window", "window for retry-ratio and retry-slack", false,
         durationSetter(&s::retryWindow)},
        {"link-mbps", "bandwidth of this host's link, in Mbit/s", false,
         quantitySetter(&s::linkMbps)},
        {"processor-share", "share of a processor that this daemon may use", false,
         quantitySetter(&s::processorShare)},
        {"processor-speed", "speed of that processor, as a multiple of the usual speed", false,
         quantitySetter(&s::processorSpeed)},
        {"memory-mb", "memory that this process may use, in MB", false,
         quantitySetter(&s::memoryMb)},
        {"cold-overshoot", "factor by which the rate of a cold upstream may be exceeded", false,
         quantitySetter(&s::coldOvershoot)},
        {"cold-slack", "requests that a cold upstream may get in a second in addition", false,
         countSetter(&s::coldSlack)},
        {"evacuation-timeout",
         "time until the last request may reach an evacuated zone; zones are not evacuated if "
         "absent",
         false, durationSetter(&s::evacuationTimeout)},
        {"max-pipelined-requests",
         "requests of one caller's connection that are served side by side; 1 if absent", false,
         countSetter(&s::maxPipelinedRequests)},
        {"detect-caller-retries",
         "on: the objective of a caller's retry counts from the caller's first attempt", false,
         switchSetter(&s::detectsCallerRetries)},
        {"placement-writer", "on: owners pass changes of key ranges to one daemon that writes them",
         false, switchSetter(&s::usesPlacementWriter)},
        {"zone-crossing-cost",
         "waiting time that costs as much as leaving the zone; a fixed factor if absent", false,
         durationSetter(&s::zoneCrossingCost)},
        {"zone-crossing-cost-per-kb", "milliseconds that each 1,000 bytes add to that cost", false,
         quantitySetter(&s::zoneCrossingCostPerKb)},
        {"body-budget", "on: bytes of bodies are limited, and count in the choice of an upstream",
         false, switchSetter(&s::limitsBodies)},
        {"schedule-returns",
         "on: rejected callers return at different times, and wait behind first attempts", false,
         switchSetter(&s::schedulesReturns)},
        {"max-caller-connections", "maximum number of connections from callers", false,
         countSetter(&s::maxCallerConnections)},
        {"max-peer-connections", "maximum number of connections from other daemons", false,
         countSetter(&s::maxPeerConnections)},
        {"log-level", "debug, info, warn, error or off", false, setLevel},
    };
    return settings;
}

} // namespace

absl::StatusOr<router_settings> parseRouterSettings(std::string_view text)
{
    std::map<std::string, std::string> values;
    std::string errors;
    const auto addError = [&errors](absl::string_view name, absl::string_view what) {
        absl::StrAppend(&errors, errors.empty() ? "" : "; ", name, ": ", what);
    };
    for (absl::string_view line : absl::StrSplit(toAbsl(text), '\n')) {
        line = absl::StripAsciiWhitespace(line);
        if (line.empty() || line.front() == '#') {
            continue;
        }
        const std::pair<absl::string_view, absl::string_view> parts =
            absl::StrSplit(line, absl::MaxSplits('=', 1));
        const std::string name(absl::StripAsciiWhitespace(parts.first));
        if (!values.emplace(name, std::string(absl::StripAsciiWhitespace(parts.second))).second) {
            addError(name, "given twice");
        }
    }
    router_settings settings;
    for (const setting &known : allSettings()) {
        const auto value = values.find(known.name);
        if (value == values.end() || value->second.empty()) {
            if (known.isRequired) {
                addError(known.name, "missing");
            }
        } else if (!known.set(settings, value->second)) {
            addError(known.name, absl::StrCat("invalid value '", value->second, "'"));
        }
        if (value != values.end()) {
            values.erase(value);
        }
    }
    for (const auto &[name, value] : values) {
        addError(name, "unknown setting");
    }
    if (!errors.empty()) {
        return absl::InvalidArgumentError(errors);
    }
    return settings;
}

std::string routerHelp()
{
    std::string help;
    for (const setting &known : allSettings()) {
        absl::StrAppend(&help, "  ", known.name, " = ...  ", known.help,
                        known.isRequired ? " (required)" : "", "\n");
    }
    return help;
}

} // namespace persimmonrail
