#include "persimmonrail/settings/flag_parser.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <getopt.h>
#include <set>

namespace persimmonrail {
namespace {

constexpr char variablePrefix[] = "PERSIMMONRAIL_";
constexpr size_t helpColumn = 38;

std::vector<option> makeOptions(const std::vector<flag_description> &flags)
{
    std::vector<option> options;
    for (size_t i = 0; i < flags.size(); ++i) {
        const int argument = flags[i].value.empty() ? no_argument : required_argument;
        // Values above 255 keep flags apart from the characters that getopt_long returns.
        options.push_back({flags[i].name.c_str(), argument, nullptr, static_cast<int>(256 + i)});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

// getopt_long accepts unambiguous abbreviations. They are refused, because a later release may add
// a flag that changes their meaning.
bool isAbbreviated(const std::string &argument, const std::string &name)
{
    return argument.substr(0, argument.find('=')) != "--" + name;
}

std::string describeFault(int code, const std::string &argument)
{
    return code == ':' ? absl::StrCat(argument, ": needs a value")
                       : absl::StrCat(argument, ": unknown flag or unexpected value");
}

void readArguments(const std::vector<flag_description> &flags,
                   const std::vector<std::string> &arguments, parsed_flags &parsed)
{
    std::vector<std::string> texts = {"program"};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(texts.size() + 1);
    for (auto &text : texts) {
        argv.push_back(text.data());
    }
    argv.push_back(nullptr);
    const auto options = makeOptions(flags);
    const int count = static_cast<int>(texts.size());
    // The value 0 makes getopt_long of the GNU C library start anew.
    optind = 0;
    opterr = 0;
    // The leading '-' returns operands in place as code 1, so that argv keeps its order.
    for (;;) {
        const int position = std::max(optind, 1);
        const int code = getopt_long(count, argv.data(), "-:", options.data(), nullptr);
        if (code == -1) {
            break;
        }
        if (code == 1) {
            parsed.operands.emplace_back(optarg);
            continue;
        }
        const std::string argument = argv[static_cast<size_t>(position)];
        if (code < 256) {
            parsed.faults.push_back(describeFault(code, argument));
            continue;
        }
        const auto &flag = flags[static_cast<size_t>(code - 256)];
        if (isAbbreviated(argument, flag.name)) {
            parsed.faults.push_back(absl::StrCat(argument, ": unknown flag"));
        } else if (!parsed.values.emplace(flag.name, optarg == nullptr ? "" : optarg).second) {
            parsed.faults.push_back(absl::StrCat("--", flag.name, ": is given more than once"));
        }
    }
    for (int i = optind; i < count; ++i) {
        parsed.operands.emplace_back(argv[static_cast<size_t>(i)]);
    }
}

void readEnvironment(const std::vector<flag_description> &flags, const environment_map &environment,
                     parsed_flags &parsed)
{
    std::set<std::string> known;
    for (const auto &flag : flags) {
        if (flag.value.empty()) {
            continue;
        }
        const std::string variable = variableName(flag.name);
        known.insert(variable);
        if (const auto found = environment.find(variable); found != environment.end()) {
            parsed.values.emplace(flag.name, found->second);
        }
    }
    for (const auto &[variable, value] : environment) {
        if (variable.starts_with(variablePrefix) && !known.contains(variable)) {
            parsed.faults.push_back(absl::StrCat(variable, ": unknown environment variable"));
        }
    }
}

} // namespace

std::string variableName(const std::string &flag)
{
    std::string name = absl::AsciiStrToUpper(flag);
    std::replace(name.begin(), name.end(), '-', '_');
    return variablePrefix + name;
}

parsed_flags parseFlags(const std::vector<flag_description> &flags,
                        const std::vector<std::string> &arguments,
                        const environment_map &environment)
{
    parsed_flags parsed;
    readArguments(flags, arguments, parsed);
    readEnvironment(flags, environment, parsed);
    return parsed;
}

std::string describeFlags(const std::vector<flag_description> &flags)
{
    std::string text;
    for (const auto &flag : flags) {
        std::string line =
            absl::StrCat("  --", flag.name, flag.value.empty() ? "" : " ", flag.value);
        line.resize(std::max(helpColumn, line.size() + 1), ' ');
        absl::StrAppend(&text, line, flag.help, "\n");
    }
    return text;
}

} // namespace persimmonrail
