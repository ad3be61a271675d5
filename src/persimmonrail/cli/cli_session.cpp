#include "persimmonrail/cli/cli_session.h"

namespace persimmonrail {

cli_exit cli_session::fail(const std::string &message) const
{
    err << "persimmonctl: " << message << "\n";
    return cli_exit::Failed;
}

cli_exit cli_session::fail(const absl::Status &status) const
{
    return fail(std::string(status.message()));
}

absl::StatusOr<std::optional<stored_object>> getOptional(const object_api &platform,
                                                         const std::string &key)
{
    auto object = platform.get(key);
    if (absl::IsNotFound(object.status())) {
        return std::optional<stored_object>();
    }
    if (!object.ok()) {
        return object.status();
    }
    return std::optional<stored_object>(*std::move(object));
}

} // namespace persimmonrail
