#include "persimmonrail/gateway/caller_sink.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/request_outcome.h"

#include <Poco/String.h>

#include <vector>

namespace persimmonrail {
namespace {

constexpr char ownFieldPrefix[] = "Persimmonrail-";

// Sends the head of a response with the outcome "run". Returns false if the requester has
// disconnected.
bool beginRunResponse(server_exchange &exchange, Poco::Net::HTTPResponse &head,
                      const body_framing &framing, const std::string &requestId)
{
    head.set(outcomeHeader, std::string(toString(request_outcome::Run)));
    head.set(requestIdHeader, requestId);
    return exchange.beginResponse(head, framing);
}

} // namespace

void removePersimmonrailFields(Poco::Net::HTTPMessage &message)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name.substr(0, sizeof(ownFieldPrefix) - 1), ownFieldPrefix) == 0) {
            names.push_back(name);
        }
    }
    for (const std::string &name : names) {
        message.erase(name);
    }
}

caller_sink::caller_sink(server_exchange &exchange, std::string requestId, store_hook storeResponse)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
    , m_storeResponse(std::move(storeResponse))
{ }

bool caller_sink::begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                        std::string_view first, bool isComplete)
{
    Poco::Net::HTTPResponse response(head);
    removePersimmonrailFields(response);
    removeConnectionFields(response);
    if (isComplete && m_storeResponse && first.size() <= maxBodyPieceBytes) {
        auto stored = std::make_shared<stored_response>();
        stored->status = response.getStatus();
        stored->body = first;
        for (const auto &[name, value] : response) {
            stored->fields.emplace_back(name, value);
        }
        m_storeResponse(std::move(stored));
    }
    const body_framing sentFraming =
        isComplete ? body_framing{body_framing::kind::Length, first.size()} : framing;
    if (isComplete) {
        m_exchange.markResponseReady();
    }
    return beginRunResponse(m_exchange, response, sentFraming, m_requestId)
        && m_exchange.writeResponse(first) && (!isComplete || m_exchange.endResponse());
}

bool caller_sink::write(std::string_view piece)
{
    return m_exchange.writeResponse(piece);
}

bool caller_sink::finish()
{
    return m_exchange.endResponse();
}

bool sendStored(server_exchange &exchange, const stored_response &response,
                const std::string &requestId)
{
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
    for (const auto &[name, value] : response.fields) {
        head.add(name, value);
    }
    const body_framing framing{body_framing::kind::Length, response.body.size()};
    exchange.markResponseReady();
    return beginRunResponse(exchange, head, framing, requestId)
        && exchange.writeResponse(response.body) && exchange.endResponse();
}

} // namespace persimmonrail
