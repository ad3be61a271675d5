#include "persimmonrail/daemon/instance_directory.h"

#include <set>

namespace persimmonrail {
namespace {

// Reason of an attempt that failed because the daemon of the instance refused the connection.
constexpr std::string_view refusedConnectionReason = "peer-refused-connection";

} // namespace

instance_directory::instance_directory(std::string availabilityZone,
                                       std::function<random_source()> makeRandomSource)
    : m_availabilityZone(std::move(availabilityZone))
    , m_makeRandomSource(std::move(makeRandomSource))
{ }

void instance_directory::setView(const fleet_view &view, steady_time now)
{
    std::map<std::string, std::vector<const member_record *>, std::less<>> byService;
    for (const auto &[name, member] : view.members) {
        if (!member.service.empty() && member.slots > 0) {
            byService[member.service].push_back(&member);
        }
    }
    const std::lock_guard lock(m_mutex);
    for (auto &[service, picker] : m_pickers) {
        byService.try_emplace(service);
    }
    for (const auto &[service, members] : byService) {
        auto &picker = m_pickers[service];
        if (picker == nullptr) {
            picker = std::make_shared<instance_picker>(m_availabilityZone, m_makeRandomSource());
        }
        picker->setInstances(members, now);
    }
}

std::optional<member_record> instance_directory::pick(std::string_view service,
                                                      const std::vector<instance_id> &tried,
                                                      steady_time now)
{
    const auto picker = findPicker(service);
    return picker == nullptr ? std::nullopt : picker->pick(tried, now);
}

void instance_directory::finish(std::string_view service, const instance_id &instance,
                                request_outcome outcome, std::string_view reason,
                                std::chrono::nanoseconds latency, steady_time now)
{
    const auto picker = findPicker(service);
    if (picker == nullptr) {
        return;
    }
    auto result = instance_picker::result::Responded;
    if (outcome == request_outcome::Unknown || reason == refusedConnectionReason) {
        result = instance_picker::result::Failed;
    } else if (outcome == request_outcome::NotRun) {
        result = instance_picker::result::Neutral;
    }
    picker->finish(instance, result, std::chrono::duration_cast<std::chrono::microseconds>(latency),
                   now);
}

std::shared_ptr<instance_picker> instance_directory::findPicker(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_pickers.find(service);
    return it == m_pickers.end() ? nullptr : it->second;
}

} // namespace persimmonrail
