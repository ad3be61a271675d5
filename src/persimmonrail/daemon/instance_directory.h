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

// Chooses instances for the requests of services that any instance may run. Holds one
// instance_picker for each service.
//
// Thread safe.
class instance_directory
{
public:
    // `makeRandomSource` is called once for each picker, because a random source is not thread
    // safe.
    instance_directory(std::string availabilityZone,
                       std::function<random_source()> makeRandomSource);

    // Replaces the instances of each service by the members of `view` that have slots.
    void setView(const fleet_view &view, steady_time now);
    // Chooses an instance of the service that is not in `tried`. Returns nullopt if there is none.
    // Call finish() when the request on the instance has ended.
    std::optional<member_record> pick(std::string_view service,
                                      const std::vector<instance_id> &tried, steady_time now);
    // Records the result of a request on an instance that pick() returned.
    void finish(std::string_view service, const instance_id &instance, request_outcome outcome,
                std::string_view reason, std::chrono::nanoseconds latency, steady_time now);

private:
    std::shared_ptr<instance_picker> findPicker(std::string_view service) const;

    const std::string m_availabilityZone;
    const std::function<random_source()> m_makeRandomSource;
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<instance_picker>, std::less<>> m_pickers;
};

} // namespace persimmonrail
