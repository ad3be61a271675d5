#include "persimmonrail/gateway/caller_sink.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/request_outcome.h"

#include <Poco/String.h>

#include <vector>

namespace persimmonrail {
namespace {

constexpr char ownPrefix[] = "Persimmonrail-";

bool sendRun(server_exchange &exchange, Poco::Net::HTTPResponse &head, const body_framing &framing,
             const std::string &requestId)
{
    head.set(outcomeHeader, std::string(toString(request_outcome::Run)));
    head.set(requestIdHeader, requestId);
    return exchange.beginAnswer(head, framing);
}

} // namespace

void removeOwnFields(Poco::Net::HTTPMessage &message)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name.substr(0, sizeof(ownPrefix) - 1), ownPrefix) == 0) {
            names.push_back(name);
        }
    }
    for (const std::string &name : names) {
        message.erase(name);
    }
}

caller_sink::caller_sink(server_exchange &exchange, std::string requestId, keep_hook keep)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
    , m_keep(std::move(keep))
{ }

bool caller_sink::begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                        std::string_view first, bool whole)
{
    Poco::Net::HTTPResponse answer(head);
    removeOwnFields(answer);
    removeConnectionFields(answer);
    if (whole && m_keep && first.size() <= bodyPieceBytes) {
        auto kept = std::make_shared<kept_answer>();
        kept->status = answer.getStatus();
        kept->body = first;
        for (const auto &[name, value] : answer) {
            kept->fields.emplace_back(name, value);
        }
        m_keep(std::move(kept));
    }
    const body_framing sent =
        whole ? body_framing{body_framing::kind::Length, first.size()} : framing;
    return sendRun(m_exchange, answer, sent, m_requestId) && m_exchange.writeAnswer(first)
        && (!whole || m_exchange.endAnswer());
}

bool caller_sink::write(std::string_view piece)
{
    return m_exchange.writeAnswer(piece);
}

bool caller_sink::finish()
{
    return m_exchange.endAnswer();
}

bool sendStored(server_exchange &exchange, const kept_answer &answer, const std::string &requestId)
{
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    for (const auto &[name, value] : answer.fields) {
        head.add(name, value);
    }
    const body_framing framing{body_framing::kind::Length, answer.body.size()};
    return sendRun(exchange, head, framing, requestId) && exchange.writeAnswer(answer.body)
        && exchange.endAnswer();
}

} // namespace persimmonrail
