#pragma once

#include "persimmonrail/cli/cli_session.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonrail {

struct apply_arguments
{
    std::string file;
    // Version that the stored document must have; 0 if no document may be stored yet. If unset, the
    // command expects the version that is stored when it starts.
    std::optional<uint64_t> expectedVersion;
    // Bounds the whole command: the retries of the write while the platform is unavailable and the
    // wait for the coordinator's decision.
    milliseconds timeout{0};
};

// Validates the document file, stores the document and waits until the coordinator accepts or
// rejects it. An invalid document is not stored, and the stored document is replaced only at the
// expected version. Returns Ok if the document was accepted, otherwise Failed.
cli_exit applyDocument(const cli_session &session, const apply_arguments &arguments);

} // namespace persimmonrail
