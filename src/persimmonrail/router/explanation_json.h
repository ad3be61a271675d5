#pragma once

#include "persimmonrail/proxy/request_explanation.h"

#include <optional>
#include <string>

namespace persimmonrail {

// Ages of what an explanation rests on, apart from reports of upstreams; nullopt if unknown.
struct explanation_ages
{
    // Since the desired state in force arrived.
    std::optional<milliseconds> desiredState;
    // Since the store, or the relay that this daemon follows, confirmed the members and placements,
    // and the evacuated zones.
    std::optional<milliseconds> directory;
    std::optional<milliseconds> evacuations;
};

// Returns the explanation as JSON text. docs/design/explain.md lists the members.
std::string renderExplanation(const explained_request &request,
                              const request_explanation &explanation, const explanation_ages &ages);

} // namespace persimmonrail
