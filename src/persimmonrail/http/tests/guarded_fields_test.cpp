#include "persimmonrail/http/guarded_fields.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace persimmonrail;

namespace {

using header_lines = std::vector<std::pair<std::string, std::string>>;

const guarded_fields fields{{"Request-Id", "Route-Key"}, {"Caller-Service"}, "Own-", true};

struct guarded_case
{
    std::string title;
    header_lines lines;
    bool isAccepted;
};

} // namespace

// Guards against a field that the daemon reads one way and the upstream another.
TEST_CASE("a message is rejected if readers may differ about a guarded field", "[http]")
{
    const auto row = GENERATE(values<guarded_case>({
        {"one line of each", {{"Request-Id", "1"}, {"Route-Key", "2"}, {"Own-A", "3"}}, true},
        {"letter case", {{"request-ID", "1"}, {"ROUTE-KEY", "2"}}, true},
        {"field set by the daemon repeated",
         {{"Caller-Service", "a"}, {"caller-service", "b"}},
         true},
        {"other fields repeated and listed",
         {{"Accept", "a"}, {"Accept", "b"}, {"X", "1"}, {"Connection", "keep-alive, X"}},
         true},
        {"field that is read repeated", {{"Request-Id", "1"}, {"Request-Id", "1"}}, false},
        {"repeated in another case",
         {{"Route-Key", "1"}, {"Accept", "a"}, {"route-key", "2"}},
         false},
        {"prefixed field repeated", {{"Own-A", "1"}, {"own-a", "2"}}, false},
        {"spelled with an underscore", {{"Request_Id", "1"}}, false},
        {"field that is set spelled with an underscore", {{"Caller_Service", "a"}}, false},
        {"field that is read listed", {{"Request-Id", "1"}, {"Connection", "Request-Id"}}, false},
        {"listed in another case", {{"Connection", "close, route-KEY"}}, false},
        {"field that is set listed", {{"Connection", "Caller-Service"}}, false},
        {"prefixed field listed", {{"Connection", "x,\tOwn-B ,y"}}, false},
        {"listed in a second line", {{"Connection", "close"}, {"connection", "Request-Id"}}, false},
    }));
    CAPTURE(row.title);
    Poco::Net::MessageHeader message;
    for (const auto &[name, value] : row.lines) {
        message.add(name, value);
    }
    const absl::Status status = checkGuardedFields(message, fields);
    CAPTURE(status.ToString());
    CHECK(status.ok() == row.isAccepted);
}
