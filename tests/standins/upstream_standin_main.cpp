#include "standins/upstream_standin.h"

#include <absl/strings/numbers.h>

#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace persimmonrail;

namespace {

constexpr char usage[] = "Usage: upstream_standin [options]\n"
                         "  --service NAME        service of the stand-in\n"
                         "  --instance NAME       name of the instance\n"
                         "  --address IP:PORT     address to listen on; port 0 picks one\n"
                         "  --admin IP:PORT       admin address of the daemon beside it\n"
                         "  --slots N             requests run at a time\n"
                         "  --service-ms N        service time of a request\n"
                         "  --cold-start-ms N     time after the start with long service times\n"
                         "  --cold-factor N       factor on the service time during that time\n"
                         "  --ignore-grants       run requests whatever was granted\n"
                         "  --announce-ms N       interval between announcements\n"
                         "  --drain-ms N          longest wait for running requests at SIGTERM\n"
                         "  --journal-file PATH   file that lists the begin and end of each run\n";

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
    milliseconds drainTime{5000};
};

bool parseMs(const char *text, milliseconds &value)
{
    int64_t number = 0;
    const bool ok = absl::SimpleAtoi(text, &number) && number >= 0;
    value = milliseconds(number);
    return ok;
}

bool parseFlags(int argc, char **argv, program_options &options)
{
    upstream_standin_options &standin = options.standin;
    bool ok = true;
    int flag = 0;
    while (ok && (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1) {
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
            ok = absl::SimpleAtoi(optarg, &standin.slots) && standin.slots > 0;
            break;
        case ServiceMs:
            ok = parseMs(optarg, standin.serviceTime);
            break;
        case ColdStart:
            ok = parseMs(optarg, standin.coldStart);
            break;
        case ColdFactor:
            ok = absl::SimpleAtoi(optarg, &standin.coldFactor) && standin.coldFactor > 0;
            break;
        case IgnoreGrants:
            standin.checksGrants = false;
            break;
        case AnnounceMs:
            ok = parseMs(optarg, standin.announceInterval) && standin.announceInterval.count() > 0;
            break;
        case DrainMs:
            ok = parseMs(optarg, options.drainTime);
            break;
        case JournalFile:
            standin.journalFile = optarg;
            break;
        default:
            ok = false;
        }
    }
    return ok && optind == argc;
}

} // namespace

int main(int argc, char **argv)
{
    program_options options;
    if (!parseFlags(argc, argv, options)) {
        std::cerr << usage;
        return 2;
    }
    // Blocked before any thread starts, so that only sigwait() takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    auto standin = upstream_standin::start(options.standin);
    if (!standin.ok()) {
        std::cerr << standin.status() << "\n";
        return 1;
    }
    // Scripts read the picked port from this line.
    std::cout << "listening on " << (*standin)->address() << std::endl;
    int received = 0;
    sigwait(&signals, &received);

    upstream_standin_faults faults = (*standin)->faults();
    faults.draining = true;
    (*standin)->setFaults(faults);
    (*standin)->waitFor(
        [](const auto &runs) {
            return std::none_of(runs.begin(), runs.end(),
                                [](const auto &run) { return run.state == "running"; });
        },
        options.drainTime);
    return 0;
}
