#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Removes all fields whose names begin with "Persimmonrail-" (in any case) from a message.
void removePersimmonrailFields(Poco::Net::HTTPMessage &message);

// Passes a response on to the requester, which is a caller or another daemon. Sets the outcome
// "run" and the request id. Not thread safe.
class caller_sink : public response_sink
{
public:
    // Called with a complete response before the requester receives it, so that a request which is
    // resent immediately finds the stored response.
    using store_hook = std::function<void(std::shared_ptr<const stored_response> response)>;

    // `storeResponse` is called for each complete response with a body of at most
    // maxBodyPieceBytes. If it is empty, no response is stored. `exchange` must outlive the sink.
    caller_sink(server_exchange &exchange, std::string requestId, store_hook storeResponse = {});

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override;
    bool write(std::string_view piece) override;
    bool finish() override;

private:
    server_exchange &m_exchange;
    const std::string m_requestId;
    const store_hook m_storeResponse;
};

// Sends a stored response with the outcome "run" and the request id. Returns false if the requester
// has disconnected.
bool sendStored(server_exchange &exchange, const stored_response &response,
                const std::string &requestId);

} // namespace persimmonrail
