#include "persimmonrail/cli/command_line.h"

#include "persimmonrail/base/socket_address.h"
#include "persimmonrail/cli/apply_command.h"
#include "persimmonrail/cli/explain_command.h"
#include "persimmonrail/cli/read_commands.h"
#include "persimmonrail/document/document_parser.h"
#include "persimmonrail/keyspace/key_interval.h"
#include "persimmonrail/settings/flag_parser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <limits>
#include <set>

namespace persimmonrail {
namespace {

constexpr uint64_t defaultWaitMs = 30'000;
constexpr uint64_t maxWaitMs = 3'600'000;

constexpr char platformFlag[] = "platform-address";
constexpr char expectFlag[] = "expect-version";
constexpr char waitFlag[] = "wait-ms";
constexpr char daemonFlag[] = "daemon";
constexpr char routerFlag[] = "router";
constexpr char methodFlag[] = "method";
constexpr char hostFlag[] = "host";
constexpr char pathFlag[] = "path";
constexpr char keyFlag[] = "key";
constexpr char bytesFlag[] = "bytes";
constexpr char timeoutFlag[] = "timeout-ms";
constexpr char jsonFlag[] = "json";

const std::vector<flag_description> &cliFlags()
{
    static const std::vector<flag_description> flags = {
        {platformFlag, "IP:PORT", "address of the platform; or PERSIMMONRAIL_PLATFORM_ADDRESS"},
        {expectFlag, "N", "apply: version that the stored document must have"},
        {waitFlag, "N", "apply: time limit of the command in milliseconds (default 30000)"},
        {daemonFlag, "IP:PORT", "explain: admin address of a daemon"},
        {routerFlag, "IP:PORT", "explain: metrics address of a router daemon"},
        {methodFlag, "M", "explain --router: method of the request (default GET)"},
        {hostFlag, "H", "explain --router: host of the request"},
        {pathFlag, "P", "explain --router: path and query of the request"},
        {keyFlag, "N", "explain --router: key of the request"},
        {bytesFlag, "N", "explain --router: length of the request body (default 0)"},
        {timeoutFlag, "N", "explain --router: how long the caller waits"},
        {jsonFlag, "", "explain --router: print the daemon's JSON"},
        {"version", "", "print the version and exit"},
        {"help", "", "print this text and exit"},
    };
    return flags;
}

constexpr char commandHelp[] =
    "Usage: persimmonctl COMMAND [ARGUMENT]... [FLAG]...\n\n"
    "  validate FILE           check a service document\n"
    "  apply FILE              store a service document and wait until it is accepted or rejected\n"
    "  show SERVICE            print the document, the accepted version and the status\n"
    "  status [SERVICE]        print the status of one service or of all services\n"
    "  explain SERVICE KEY     print how a daemon routes a key; needs --daemon\n"
    "  explain                 print where a router daemon would send a request now, and why;\n"
    "                          needs --router, --host and --path\n"
    "  members                 print the members of the fleet\n\n";

// One command of persimmonctl with the operands and flags that the command accepts.
struct command_description
{
    size_t minOperands;
    size_t maxOperands;
    bool usesPlatform;
    // Names of the flags that the command accepts.
    std::set<std::string> flags;
    // `operands` are the arguments after the command name that are not flags.
    std::function<cli_exit(const cli_session &, const std::vector<std::string> &operands,
                           const flag_values &)>
        run;
};

// Returns the value of a flag, or nullopt if the flag is absent or its value is not a number.
std::optional<uint64_t> readNumberFlag(const flag_values &values, const std::string &flag)
{
    const auto found = values.find(flag);
    uint64_t number = 0;
    const bool isNumber = found != values.end() && absl::SimpleAtoi(found->second, &number);
    return isNumber ? std::optional(number) : std::nullopt;
}

cli_exit runApply(const cli_session &session, const std::vector<std::string> &operands,
                  const flag_values &values)
{
    const auto timeoutMs = readNumberFlag(values, waitFlag).value_or(defaultWaitMs);
    return applyDocument(
        session, {operands[0], readNumberFlag(values, expectFlag), milliseconds(timeoutMs)});
}

// Flags of explain --router that become query parameters of the same meaning.
const std::vector<std::pair<std::string, std::string>> &explainParameters()
{
    static const std::vector<std::pair<std::string, std::string>> parameters = {
        {methodFlag, "method"}, {hostFlag, "host"},   {pathFlag, "path"},
        {keyFlag, "key"},       {bytesFlag, "bytes"}, {timeoutFlag, "timeout"}};
    return parameters;
}

cli_exit runExplainRequest(const cli_session &session, const std::vector<std::string> &,
                           const flag_values &values)
{
    router_question question{values.at(routerFlag), {}, values.contains(jsonFlag)};
    for (const auto &[flag, parameter] : explainParameters()) {
        if (const auto found = values.find(flag); found != values.end()) {
            question.parameters.emplace_back(parameter, found->second);
        }
    }
    return explainRequest(session, question);
}

// The command "explain" with --router.
const command_description &explainRequestCommand()
{
    static const command_description command = {
        0,
        0,
        false,
        {routerFlag, methodFlag, hostFlag, pathFlag, keyFlag, bytesFlag, timeoutFlag, jsonFlag},
        runExplainRequest};
    return command;
}

const std::map<std::string, command_description> &commands()
{
    using operand_list = std::vector<std::string>;
    static const std::map<std::string, command_description> table = {
        {"validate",
         {1,
          1,
          false,
          {},
          [](const cli_session &session, const operand_list &operands, const flag_values &) {
              return validateFile(session, operands[0]);
          }}},
        {"apply", {1, 1, true, {platformFlag, expectFlag, waitFlag}, runApply}},
        {"show",
         {1,
          1,
          true,
          {platformFlag},
          [](const cli_session &session, const operand_list &operands, const flag_values &) {
              return showService(session, operands[0]);
          }}},
        {"status",
         {0,
          1,
          true,
          {platformFlag},
          [](const cli_session &session, const operand_list &operands, const flag_values &) {
              return showStatus(session, operands.empty() ? "" : operands[0]);
          }}},
        {"explain",
         {2,
          2,
          false,
          {daemonFlag},
          [](const cli_session &session, const operand_list &operands, const flag_values &values) {
              return explainKey(session, values.at(daemonFlag), operands[0], operands[1]);
          }}},
        {"members",
         {0,
          0,
          true,
          {platformFlag},
          [](const cli_session &session, const operand_list &, const flag_values &) {
              return listMembers(session);
          }}},
    };
    return table;
}

// Returns one error message per flag that is invalid for the command. `commandLineValues` holds the
// flags of the command line; `values` also holds the values from the environment.
std::vector<std::string> checkFlags(const command_description &command,
                                    const flag_values &commandLineValues, const flag_values &values)
{
    std::vector<std::string> errors;
    for (const auto &[flag, value] : commandLineValues) {
        if (!command.flags.contains(flag)) {
            errors.push_back(absl::StrCat("--", flag, ": does not apply to this command"));
        }
    }
    for (const char *flag : {platformFlag, daemonFlag, routerFlag}) {
        if (!command.flags.contains(flag)) {
            continue;
        }
        const auto found = values.find(flag);
        const auto address = parseSocketAddress(found == values.end() ? "" : found->second);
        if (found == values.end()) {
            errors.push_back(absl::StrCat("--", flag, ": is required"));
        } else if (!address.ok()) {
            errors.push_back(
                absl::StrCat("--", flag, ": ", std::string(address.status().message())));
        }
    }
    for (const char *flag : {hostFlag, pathFlag}) {
        if (command.flags.contains(flag) && !values.contains(flag)) {
            errors.push_back(absl::StrCat("--", flag, ": is required"));
        }
    }
    constexpr uint64_t noMaximum = std::numeric_limits<uint64_t>::max();
    const std::pair<const char *, uint64_t> numberFlags[] = {{expectFlag, noMaximum},
                                                             {waitFlag, maxWaitMs},
                                                             {keyFlag, lastKey},
                                                             {bytesFlag, noMaximum},
                                                             {timeoutFlag, noMaximum}};
    for (const auto &[flag, maximum] : numberFlags) {
        const auto number = readNumberFlag(values, flag);
        if (values.contains(flag) && (!number || *number > maximum)) {
            errors.push_back(absl::StrCat(
                "--", flag, ": must be a non-negative integer in the range of this flag"));
        }
    }
    return errors;
}

cli_exit reportUsageErrors(std::ostream &err, const std::vector<std::string> &errors)
{
    for (const auto &error : errors) {
        err << "persimmonctl: " << error << "\n";
    }
    err << "persimmonctl: see --help\n";
    return cli_exit::Usage;
}

} // namespace

cli_exit runCommandLine(const std::vector<std::string> &arguments,
                        const environment_map &environment, const cli_hooks &hooks,
                        std::ostream &out, std::ostream &err)
{
    const auto parsed = parseFlags(cliFlags(), arguments, {});
    if (parsed.values.contains("help")) {
        out << commandHelp << describeFlags(cliFlags());
        return cli_exit::Ok;
    }
    if (parsed.values.contains("version")) {
        out << "persimmonctl " << PERSIMMONRAIL_VERSION << "\n";
        return cli_exit::Ok;
    }
    if (!parsed.faults.empty() || parsed.operands.empty()) {
        return reportUsageErrors(
            err,
            parsed.faults.empty() ? std::vector<std::string>{"command is missing"} : parsed.faults);
    }
    const auto found = commands().find(parsed.operands[0]);
    if (found == commands().end()) {
        return reportUsageErrors(err, {absl::StrCat("unknown command '", parsed.operands[0], "'")});
    }
    const bool asksRouter = found->first == "explain" && parsed.values.contains(routerFlag);
    const auto &command = asksRouter ? explainRequestCommand() : found->second;
    const std::vector<std::string> operands(parsed.operands.begin() + 1, parsed.operands.end());
    if (operands.size() < command.minOperands || operands.size() > command.maxOperands) {
        return reportUsageErrors(err, {absl::StrCat(found->first, ": wrong number of arguments")});
    }
    // parseFlags() would report the variables of a daemon's flags, which may be set in the same
    // environment, as unknown. Therefore only the platform's address is read from the environment.
    flag_values values = parsed.values;
    if (const auto address = environment.find(environmentVariableName(platformFlag));
        address != environment.end()) {
        values.emplace(platformFlag, address->second);
    }
    if (const auto errors = checkFlags(command, parsed.values, values); !errors.empty()) {
        return reportUsageErrors(err, errors);
    }
    const bool takesServiceName = found->first == "show" || found->first == "status";
    if (takesServiceName && !operands.empty() && !isValidName(operands[0])) {
        return reportUsageErrors(err,
                                 {absl::StrCat("'", operands[0], "' is not a valid service name")});
    }
    cli_session session{hooks, {}, out, err};
    if (command.usesPlatform) {
        session.platform = hooks.makeObjectApi(values.at(platformFlag));
    }
    return command.run(session, operands, values);
}

} // namespace persimmonrail
