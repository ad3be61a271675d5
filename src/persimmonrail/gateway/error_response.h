#pragma once

#include "persimmonrail/gateway/attempt_result.h"
#include "persimmonrail/http/http_server.h"

#include <string>

namespace persimmonrail {

// Sends a response that states the outcome and reason of `result` as header fields and JSON. The
// response carries `requestId`, or a new id if it is empty. Call it only if no response has
// started.
void sendErrorResponse(server_exchange &exchange, std::string requestId,
                       const attempt_result &result);

} // namespace persimmonrail
