// Runs the platform stand-in as a process, for tests with real daemons and for tools/quickstart.

#include "persimmonrail/base/stop_signals.h"
#include "persimmonrail/settings/flag_parser.h"
#include "standins/platform_standin.h"

#include <absl/strings/numbers.h>

#include <iostream>

using namespace persimmonrail;

namespace {

const std::vector<flag_description> flags = {
    {"address", "IP:PORT", "address to listen on (default 127.0.0.1:0)"},
    {"reads-per-second", "N", "rate budget of reads and waiting watches (default 2000)"},
    {"writes-per-second", "N", "rate budget of writes (default 400)"},
    {"help", "", "print this text and exit"},
};

bool readNumber(const flag_values &values, const std::string &flag, uint64_t &number)
{
    const auto found = values.find(flag);
    if (found == values.end() || absl::SimpleAtoi(found->second, &number)) {
        return true;
    }
    std::cerr << "platform_standin: --" << flag << ": value must be an unsigned number\n";
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    auto parsed = parseFlags(flags, std::vector<std::string>(argv + 1, argv + argc), {});
    if (parsed.values.contains("help")) {
        std::cout << "Usage: platform_standin [FLAG]...\n\n" << describeFlags(flags);
        return 0;
    }
    standins::platform_budget budget;
    if (!parsed.faults.empty() || !parsed.operands.empty()
        || !readNumber(parsed.values, "reads-per-second", budget.readsPerSecond)
        || !readNumber(parsed.values, "writes-per-second", budget.writesPerSecond)) {
        for (const auto &fault : parsed.faults) {
            std::cerr << "platform_standin: " << fault << "\n";
        }
        return 2;
    }
    const stop_signals stopSignals;
    try {
        const auto address = parsed.values.emplace("address", "127.0.0.1:0").first->second;
        const standins::platform_standin standin(address, budget);
        std::cout << "listening on " << standin.address() << std::endl;
        stopSignals.wait();
    } catch (const std::exception &error) {
        std::cerr << "platform_standin: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
