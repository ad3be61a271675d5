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

// Each connection occupies a thread, also while a watch request waits for changes.
constexpr int maxThreads = 1'024;

json_call readCall(HTTPServerRequest &request, size_t maxBodyBytes)
{
    const Poco::URI uri(request.getURI());
    json_call call{request.getMethod(), uri.getPath(), {}, {}};
    for (const auto &[name, value] : uri.getQueryParameters()) {
        call.parameters[name] = value;
    }
    // Bytes above the limit are read and discarded, because the connection carries further
    // requests.
    std::istream &stream = request.stream();
    char buffer[16 * 1024];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        const size_t remainingBytes = maxBodyBytes + 1 - call.body.size();
        call.body.append(buffer, std::min(remainingBytes, static_cast<size_t>(stream.gcount())));
    }
    return call;
}

// How a server reads and handles its requests.
struct request_handling
{
    size_t maxBodyBytes;
    json_handler handler;
};

class json_request_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit json_request_handler(request_handling handling)
        : m_handling(std::move(handling))
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const auto result = m_handling.handler(readCall(request, m_handling.maxBodyBytes));
        if (!result) {
            // The server closes the connection without a response.
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
    request_handling m_handling;
};

class json_request_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit json_request_handler_factory(request_handling handling)
        : m_handling(std::move(handling))
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new json_request_handler(m_handling);
    }

private:
    request_handling m_handling;
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
    const bool isParsed = absl::SimpleAtoi(text(name), &value);
    return isParsed ? std::optional(value) : std::nullopt;
}

json_server::json_server(const std::string &address, size_t maxBodyBytes, json_handler handler)
    : m_pool(2, maxThreads)
    , m_socket(Poco::Net::SocketAddress(address))
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxThreads);
    params->setKeepAlive(true);
    m_server = std::make_unique<Poco::Net::HTTPServer>(
        new json_request_handler_factory({maxBodyBytes, std::move(handler)}), m_pool, m_socket,
        params);
    m_server->start();
}

json_server::~json_server()
{
    m_server->stopAll(true);
    m_pool.joinAll();
}

} // namespace standins
