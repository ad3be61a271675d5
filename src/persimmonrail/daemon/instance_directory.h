#pragma once

#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/routing/instance_picker.h"
#include "persimmonrail/sync/fleet_view.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonrail {

// The instance pickers of all services. Thread safe.
class instance_directory
{
public:
    // `makeRandom` gives each picker a source of its own.
    instance_directory(std::string availabilityZone, std::function<random_source()> makeRandom);

    // Takes the members that have slots.
    void setView(const fleet_view &view, steady_time now);
    // Returns nothing if the service has no instance.
    std::optional<member_record> pick(std::string_view service,
                                      const std::vector<instance_id> &tried, steady_time now);
    // Ends a request on an instance that pick() returned.
    void finish(std::string_view service, const instance_id &instance, request_outcome outcome,
                std::string_view reason, std::chrono::nanoseconds latency, steady_time now);

private:
    std::shared_ptr<instance_picker> find(std::string_view service) const;

    const std::string m_availabilityZone;
    const std::function<random_source()> m_makeRandom;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<instance_picker>, std::less<>> m_pickers;
};

} // namespace persimmonrail
