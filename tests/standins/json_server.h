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

struct json_call
{
    std::string method;
    // Decoded path without the query.
    std::string path;
    std::map<std::string, std::string> parameters;
    // Cut one byte above the server's limit.
    std::string body;

    // Returns an empty text if the parameter is missing.
    std::string text(const std::string &name) const;
    std::optional<uint64_t> number(const std::string &name) const;
};

struct json_response
{
    int status = 200;
    Poco::JSON::Object::Ptr body = new Poco::JSON::Object;
};

// Returns the answer, or nullopt to close the connection without one.
using json_service = std::function<std::optional<json_response>(const json_call &)>;

// HTTP server with JSON answers and keep-alive; each connection takes a thread. `service` is called
// from several threads.
class json_server
{
public:
    json_server(const std::string &address, size_t maxBodyBytes, json_service service);
    // Closes all connections and waits for the calls in progress.
    ~json_server();
    json_server(const json_server &) = delete;
    json_server &operator=(const json_server &) = delete;

    std::string address() const { return m_socket.address().toString(); }

private:
    Poco::ThreadPool m_pool;
    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace standins
