// Runs the upstream stand-in as a process, for tests with real daemons and for tools.
#include "persimmonrail/base/stop_signals.h"
#include "standins/upstream_standin.h"

#include <absl/strings/numbers.h>

#include <getopt.h>

#include <algorithm>
#include <iostream>

using namespace persimmonrail;

namespace {

constexpr char usage[] =
    "Usage: upstream_standin [options]\n"
    "  --service NAME        service of the stand-in\n"
    "  --instance NAME       name of the instance\n"
    "  --address IP:PORT     address to listen on; port 0 selects a free port\n"
    "  --admin IP:PORT       admin address of the local daemon\n"
    "  --slots N             maximum number of concurrent requests\n"
    "  --service-ms N        service time of a request in milliseconds\n"
    "  --cold-start-ms N     time after the start with longer service times\n"
    "  --cold-factor N       factor on the service time during the cold start\n"
    "  --ignore-grants       run requests without checking grants\n"
    "  --announce-ms N       interval between announcements in milliseconds\n"
    "  --drain-ms N          maximum wait for running requests after SIGTERM\n"
    "  --journal-file PATH   file that records the begin and end of each run\n";

enum flag {
    Service = 1,
    Instance,
    Address,
    Admin,
    Slots,
    ServiceMs,
    ColdStart,
    ColdFactor,
    IgnoreGrants,
    AnnounceMs,
    DrainMs,
    JournalFile,
    Help
};

constexpr option flags[] = {
    {"service", required_argument, nullptr, Service},
    {"instance", required_argument, nullptr, Instance},
    {"address", required_argument, nullptr, Address},
    {"admin", required_argument, nullptr, Admin},
    {"slots", required_argument, nullptr, Slots},
    {"service-ms", required_argument, nullptr, ServiceMs},
    {"cold-start-ms", required_argument, nullptr, ColdStart},
    {"cold-factor", required_argument, nullptr, ColdFactor},
    {"ignore-grants", no_argument, nullptr, IgnoreGrants},
    {"announce-ms", required_argument, nullptr, AnnounceMs},
    {"drain-ms", required_argument, nullptr, DrainMs},
    {"journal-file", required_argument, nullptr, JournalFile},
    {"help", no_argument, nullptr, Help},
    {nullptr, 0, nullptr, 0},
};

struct program_options
{
    upstream_standin_options standin;
    milliseconds drainTimeout{5000};
};

bool parseMilliseconds(const char *text, milliseconds &value)
{
    int64_t number = 0;
    const bool isValid = absl::SimpleAtoi(text, &number) && number >= 0;
    value = milliseconds(number);
    return isValid;
}

bool parseFlags(int argc, char **argv, program_options &options)
{
    upstream_standin_options &standin = options.standin;
    bool isValid = true;
    int flag = 0;
    while (isValid && (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1) {
        switch (flag) {
        case Service:
            standin.service = optarg;
            break;
        case Instance:
            standin.instance = optarg;
            break;
        case Address:
            standin.address = optarg;
            break;
        case Admin:
            standin.adminAddress = optarg;
            break;
        case Slots:
            isValid = absl::SimpleAtoi(optarg, &standin.slots) && standin.slots > 0;
            break;
        case ServiceMs:
            isValid = parseMilliseconds(optarg, standin.serviceTime);
            break;
        case ColdStart:
            isValid = parseMilliseconds(optarg, standin.warmUpTime);
            break;
        case ColdFactor:
            isValid = absl::SimpleAtoi(optarg, &standin.warmUpFactor) && standin.warmUpFactor > 0;
            break;
        case IgnoreGrants:
            standin.checksGrants = false;
            break;
        case AnnounceMs:
            isValid = parseMilliseconds(optarg, standin.announceInterval)
                && standin.announceInterval.count() > 0;
            break;
        case DrainMs:
            isValid = parseMilliseconds(optarg, options.drainTimeout);
            break;
        case JournalFile:
            standin.journalFile = optarg;
            break;
        default:
            isValid = false;
        }
    }
    return isValid && optind == argc;
}

} // namespace

int main(int argc, char **argv)
{
    program_options options;
    if (!parseFlags(argc, argv, options)) {
        std::cerr << usage;
        return 2;
    }
    const stop_signals stopSignals;

    auto standin = upstream_standin::start(options.standin);
    if (!standin.ok()) {
        std::cerr << standin.status() << "\n";
        return 1;
    }
    // Scripts read the selected port from this line.
    std::cout << "listening on " << (*standin)->address() << std::endl;
    stopSignals.wait();

    upstream_standin_faults faults = (*standin)->faults();
    faults.draining = true;
    (*standin)->setFaults(faults);
    (*standin)->waitFor(
        [](const auto &runs) {
            return std::none_of(runs.begin(), runs.end(),
                                [](const auto &run) { return run.state == "running"; });
        },
        options.drainTimeout);
    return 0;
}
