#pragma once

#include <absl/status/status.h>
#include <google/protobuf/message_lite.h>
#include <nng/nng.h>

#include <memory>

namespace persimmonrail {

struct nng_message_deleter
{
    void operator()(nng_msg *message) const { nng_msg_free(message); }
};
// Owning pointer to an nng message.
using nng_message = std::unique_ptr<nng_msg, nng_message_deleter>;

// Maximum size of a received control message. Pull replies are the largest messages: their size is
// limited to 64 KB plus one object of at most 1 MB.
inline constexpr size_t maxControlMessageBytes = 2 * 1024 * 1024;

// Returns null if the nng message cannot be allocated.
nng_message serialize(const google::protobuf::MessageLite &message);
// Parses the body of an nng message. Returns false if the body is malformed; `result` is then
// unspecified.
bool parse(const nng_msg *message, google::protobuf::MessageLite &result);

// Converts an nng error code to a status: DeadlineExceeded for a timeout, otherwise Unavailable.
absl::Status nngStatus(int error);

} // namespace persimmonrail
