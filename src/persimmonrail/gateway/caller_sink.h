#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Fields of an answer that persimmonrail sets itself are removed from a message.
void removeOwnFields(Poco::Net::HTTPMessage &message);

// Passes the answer of an upstream to the requester, with the outcome "run". Used by one thread.
class caller_sink : public response_sink
{
public:
    // Receives a whole answer before the requester does, so that a resend which follows at once
    // finds it.
    using keep_hook = std::function<void(std::shared_ptr<const stored_response> response)>;

    // `keep` gets whole answers of at most bodyPieceBytes; empty keeps none.
    caller_sink(server_exchange &exchange, std::string requestId, keep_hook keep = {});

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override;
    bool write(std::string_view piece) override;
    bool finish() override;

private:
    server_exchange &m_exchange;
    const std::string m_requestId;
    const keep_hook m_keep;
};

// Sends a kept answer.
bool sendStored(server_exchange &exchange, const stored_response &response,
                const std::string &requestId);

} // namespace persimmonrail
