#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"

#include <memory>
#include <string>

namespace persimmonrail {

// Fields of an answer that persimmonrail sets itself are removed from a message.
void removeOwnFields(Poco::Net::HTTPMessage &message);

// Passes the answer of an upstream to the requester, with the outcome "run". Used by one thread.
class caller_sink : public answer_sink
{
public:
    // If `keep` is set, a whole answer of at most bodyPieceBytes is kept for resends.
    caller_sink(server_exchange &exchange, std::string requestId, bool keep);

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool whole) override;
    bool write(std::string_view piece) override;
    bool finish() override;

    std::shared_ptr<const stored_answer> kept() const { return m_kept; }

private:
    server_exchange &m_exchange;
    const std::string m_requestId;
    const bool m_keep;
    std::shared_ptr<const stored_answer> m_kept;
};

// Sends a kept answer.
bool sendStored(server_exchange &exchange, const stored_answer &answer,
                const std::string &requestId);

} // namespace persimmonrail
