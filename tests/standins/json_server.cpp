#include "standins/json_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <sstream>

namespace standins {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Each connection takes a thread, waiting watches included.
constexpr int maxThreads = 1'024;

json_call readCall(HTTPServerRequest &request, size_t maxBodyBytes)
{
    const Poco::URI uri(request.getURI());
    json_call call{request.getMethod(), uri.getPath(), {}, {}};
    for (const auto &[name, value] : uri.getQueryParameters()) {
        call.parameters[name] = value;
    }
    // The excess is read and dropped, because the connection carries further requests.
    std::istream &stream = request.stream();
    char buffer[16 * 1024];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        const size_t room = maxBodyBytes + 1 - call.body.size();
        call.body.append(buffer, std::min(room, static_cast<size_t>(stream.gcount())));
    }
    return call;
}

class handler : public Poco::Net::HTTPRequestHandler
{
public:
    handler(size_t maxBodyBytes, json_service service)
        : m_maxBodyBytes(maxBodyBytes)
        , m_service(std::move(service))
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const auto result = m_service(readCall(request, m_maxBodyBytes));
        if (!result) {
            // Without an answer the server closes the connection.
            response.setKeepAlive(false);
            return;
        }
        std::ostringstream body;
        result->body->stringify(body);
        const std::string text = body.str();
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(result->status));
        response.setContentType("application/json");
        response.sendBuffer(text.data(), text.size());
    }

private:
    size_t m_maxBodyBytes;
    json_service m_service;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    handler_factory(size_t maxBodyBytes, json_service service)
        : m_maxBodyBytes(maxBodyBytes)
        , m_service(std::move(service))
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new handler(m_maxBodyBytes, m_service);
    }

private:
    size_t m_maxBodyBytes;
    json_service m_service;
};

} // namespace

std::string json_call::text(const std::string &name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::optional<uint64_t> json_call::number(const std::string &name) const
{
    uint64_t value = 0;
    const bool isNumber = absl::SimpleAtoi(text(name), &value);
    return isNumber ? std::optional(value) : std::nullopt;
}

json_server::json_server(const std::string &address, size_t maxBodyBytes, json_service service)
    : m_pool(2, maxThreads)
    , m_socket(Poco::Net::SocketAddress(address))
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxThreads);
    params->setKeepAlive(true);
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(maxBodyBytes, std::move(service)), m_pool, m_socket, params);
    m_server->start();
}

json_server::~json_server()
{
    m_server->stopAll(true);
    m_pool.joinAll();
}

} // namespace standins
