#include "persimmonrail/peer/nng_message.h"

namespace persimmonrail {

nng_message serialize(const google::protobuf::MessageLite &message)
{
    const size_t size = message.ByteSizeLong();
    nng_msg *raw = nullptr;
    if (nng_msg_alloc(&raw, size) != 0) {
        return nullptr;
    }
    nng_message serialized(raw);
    message.SerializeWithCachedSizesToArray(static_cast<uint8_t *>(nng_msg_body(raw)));
    return serialized;
}

bool parse(const nng_msg *message, google::protobuf::MessageLite &result)
{
    // The accessors of nng take non-const messages but do not modify them.
    auto *mutableMessage = const_cast<nng_msg *>(message);
    return result.ParseFromArray(nng_msg_body(mutableMessage),
                                 static_cast<int>(nng_msg_len(mutableMessage)));
}

absl::Status nngStatus(int error)
{
    if (error == NNG_ETIMEDOUT) {
        return absl::DeadlineExceededError("no reply before the timeout");
    }
    return absl::UnavailableError(nng_strerror(error));
}

} // namespace persimmonrail
