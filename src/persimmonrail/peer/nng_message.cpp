#include "persimmonrail/peer/nng_message.h"

namespace persimmonrail {

nng_message serialize(const google::protobuf::MessageLite &message)
{
    const size_t size = message.ByteSizeLong();
    nng_msg *raw = nullptr;
    if (nng_msg_alloc(&raw, size) != 0) {
        return nullptr;
    }
    nng_message result(raw);
    message.SerializeWithCachedSizesToArray(static_cast<uint8_t *>(nng_msg_body(raw)));
    return result;
}

bool parse(const nng_msg *message, google::protobuf::MessageLite &out)
{
    auto *readable = const_cast<nng_msg *>(message);
    return out.ParseFromArray(nng_msg_body(readable), static_cast<int>(nng_msg_len(readable)));
}

absl::Status nngStatus(int error)
{
    if (error == NNG_ETIMEDOUT) {
        return absl::DeadlineExceededError("no reply in time");
    }
    return absl::UnavailableError(nng_strerror(error));
}

} // namespace persimmonrail
