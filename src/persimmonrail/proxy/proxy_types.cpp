#include "persimmonrail/proxy/proxy_types.h"

#include "persimmonrail/base/key_hash.h"

namespace persimmonrail {

std::string lostFingerprintText(const proxy_result &result)
{
    return result.lostFingerprint ? ",fingerprint:" + hashToString(*result.lostFingerprint) : "";
}

} // namespace persimmonrail
