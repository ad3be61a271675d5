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
using nng_message = std::unique_ptr<nng_msg, nng_message_deleter>;

// Largest control message that is accepted. Pull replies, the largest ones, are cut at 64 KB plus
// one object of at most 1 MB.
inline constexpr size_t maxControlMessageBytes = 2 * 1024 * 1024;

// Returns null if the message can't be allocated.
nng_message serialize(const google::protobuf::MessageLite &message);
bool parse(const nng_msg *message, google::protobuf::MessageLite &out);

// Maps an nng error to a status: DeadlineExceeded for a timeout, otherwise Unavailable.
absl::Status nngStatus(int error);

} // namespace persimmonrail
