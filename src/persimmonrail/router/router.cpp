#include "persimmonrail/router/router.h"

#include "persimmonrail/router/router_state.h"

namespace persimmonrail {

absl::StatusOr<std::unique_ptr<router>> router::start(const router_settings &settings,
                                                      router_platform platform)
{
    auto inner = std::make_unique<state>(settings, std::move(platform));
    if (const absl::Status status = inner->start(); !status.ok()) {
        return status;
    }
    return std::unique_ptr<router>(new router(std::move(inner)));
}

router::router(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

router::~router() = default;

void router::reload(const router_settings &settings)
{
    m_state->reload(settings);
}

void router::stop()
{
    m_state->stop();
}

} // namespace persimmonrail
