#pragma once

#include "persimmonrail/cli/cli_session.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonrail {

struct apply_arguments
{
    std::string file;
    // Version that the stored document must have; 0 means that none may be stored. Without it, the
    // version that is current when the command starts.
    std::optional<uint64_t> expectedVersion;
    // Bounds the whole command: writing while the platform is unavailable and waiting for a
    // verdict.
    milliseconds wait{0};
};

// Stores a document that is valid by itself and waits until the coordinator has judged it. The
// stored document is replaced only at the expected version. Ok if the document was accepted.
cli_exit applyDocument(const cli_session &session, const apply_arguments &arguments);

} // namespace persimmonrail
