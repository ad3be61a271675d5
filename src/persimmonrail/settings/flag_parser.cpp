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

std::vector<option> makeGetoptOptions(const std::vector<flag_description> &flags)
{
    std::vector<option> options;
    for (size_t i = 0; i < flags.size(); ++i) {
        const int argument = flags[i].value.empty() ? no_argument : required_argument;
        // Values from 256 cannot be confused with the characters that getopt_long returns.
        options.push_back({flags[i].name.c_str(), argument, nullptr, static_cast<int>(256 + i)});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

// Returns whether getopt_long accepted an unambiguous abbreviation of a flag. Abbreviations are
// rejected, because a flag that a later release adds may change their meaning.
bool isAbbreviated(const std::string &argument, const std::string &name)
{
    return argument.substr(0, argument.find('=')) != "--" + name;
}

// `code` is the result of getopt_long for a flag that it rejected.
std::string describeParseError(int code, const std::string &argument)
{
    return code == ':' ? absl::StrCat(argument, ": requires a value")
                       : absl::StrCat(argument, ": unknown flag or unexpected value");
}

void parseArguments(const std::vector<flag_description> &flags,
                    const std::vector<std::string> &arguments, parsed_flags &parsed)
{
    std::vector<std::string> argumentStrings = {"program"};
    argumentStrings.insert(argumentStrings.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(argumentStrings.size() + 1);
    for (auto &argumentString : argumentStrings) {
        argv.push_back(argumentString.data());
    }
    argv.push_back(nullptr);
    const auto options = makeGetoptOptions(flags);
    const int count = static_cast<int>(argumentStrings.size());
    // With the GNU C library, 0 makes getopt_long reset its state from the previous parse.
    optind = 0;
    opterr = 0;
    // The leading '-' makes getopt_long return each operand as code 1 instead of moving operands to
    // the end of argv. The ':' makes getopt_long return ':' for a missing value.
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
            parsed.faults.push_back(describeParseError(code, argument));
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

// Adds the values of environment variables for absent flags and reports unknown variables that have
// the prefix.
void applyEnvironment(const std::vector<flag_description> &flags,
                      const environment_map &environment, parsed_flags &parsed)
{
    std::set<std::string> knownVariables;
    for (const auto &flag : flags) {
        if (flag.value.empty()) {
            continue;
        }
        const std::string variable = environmentVariableName(flag.name);
        knownVariables.insert(variable);
        if (const auto found = environment.find(variable); found != environment.end()) {
            parsed.values.emplace(flag.name, found->second);
        }
    }
    for (const auto &[variable, value] : environment) {
        if (variable.starts_with(variablePrefix) && !knownVariables.contains(variable)) {
            parsed.faults.push_back(absl::StrCat(variable, ": unknown environment variable"));
        }
    }
}

} // namespace

std::string environmentVariableName(const std::string &flag)
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
    parseArguments(flags, arguments, parsed);
    applyEnvironment(flags, environment, parsed);
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
