#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace standins {

// A request as the handler receives it.
struct json_call
{
    std::string method;
    // Percent-decoded path without the query.
    std::string path;
    // Query parameters by name.
    std::map<std::string, std::string> parameters;
    // At most one byte longer than the server's `maxBodyBytes`, so that the handler detects a body
    // above the limit; the rest of the body is discarded.
    std::string body;

    // Returns the query parameter `name`, or an empty string if the parameter is missing.
    std::string text(const std::string &name) const;
    // Returns the query parameter `name`, or nullopt if the parameter is missing or not an unsigned
    // number.
    std::optional<uint64_t> number(const std::string &name) const;
};

// A response with a JSON object as its body.
struct json_response
{
    int status = 200;
    Poco::JSON::Object::Ptr body = new Poco::JSON::Object;
};

// Returns the response, or nullopt to close the connection without a response.
using json_handler = std::function<std::optional<json_response>(const json_call &)>;

// HTTP server with persistent connections and JSON responses. Each connection occupies a thread,
// and `handler` is called concurrently from these threads.
class json_server
{
public:
    // Listens on `address` ("ip:port"); port 0 selects a free port. Throws Poco::Exception if the
    // address can't be bound.
    json_server(const std::string &address, size_t maxBodyBytes, json_handler handler);
    // Closes all connections and waits for the requests in progress.
    ~json_server();
    json_server(const json_server &) = delete;
    json_server &operator=(const json_server &) = delete;

    // Returns the bound address as "ip:port".
    std::string address() const { return m_socket.address().toString(); }

private:
    Poco::ThreadPool m_pool;
    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace standins
