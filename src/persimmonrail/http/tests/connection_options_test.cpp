#include "persimmonrail/http/http_stream.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace persimmonrail;

namespace {

struct connection_case
{
    std::string version;
    std::vector<std::string> lines;
    bool isOpen;
};

} // namespace

// Guards against a connection that one side keeps and the other closes: a request that is sent on
// it is lost.
TEST_CASE("a connection stays open unless some line lists close", "[http]")
{
    const auto row = GENERATE(values<connection_case>({
        {"HTTP/1.1", {}, true},
        {"HTTP/1.1", {"keep-alive"}, true},
        {"HTTP/1.1", {"X-Other"}, true},
        {"HTTP/1.1", {"close"}, false},
        {"HTTP/1.1", {"Close"}, false},
        {"HTTP/1.1", {"close, X-Other"}, false},
        {"HTTP/1.1", {"X-Other ,close"}, false},
        {"HTTP/1.1", {"keep-alive", "close"}, false},
        {"HTTP/1.1", {"closed"}, true},
        {"HTTP/1.0", {}, false},
        {"HTTP/1.0", {"X-Other"}, false},
        {"HTTP/1.0", {"X-Other, Keep-Alive"}, true},
    }));
    Poco::Net::HTTPResponse message;
    message.setVersion(row.version);
    for (const std::string &line : row.lines) {
        message.add("Connection", line);
    }
    CAPTURE(row.version, row.lines);
    CHECK(keepsConnectionOpen(message) == row.isOpen);
}
