#include "persimmonrail/router/placement_writer_client.h"

#include <utility>

namespace persimmonrail {

placement_writer_client::placement_writer_client(placement_writer_client_hooks hooks,
                                                 placement_writer_client_options options)
    : m_hooks(std::move(hooks))
    , m_options(options)
{ }

change_submission placement_writer_client::submit(const std::string &service,
                                                  const owner_change &change,
                                                  const std::vector<std::string> &writers)
{
    change_submission submission;
    if (change.moves.size() > maxChangeMoves) {
        return submission;
    }
    for (int attempt = 0; attempt < m_options.maxAttempts; ++attempt) {
        const std::string address = chooseWriter(writers);
        if (address.empty()) {
            return submission;
        }
        submission = submitTo(address, service, change);
        if (submission.response.outcome == change_outcome::Recorded) {
            return submission;
        }
        const bool isDeclined =
            submission.isSent && submission.response.outcome == change_outcome::NotApplied;
        if (!isDeclined) {
            avoid(address);
        }
        if (submission.isOpen()) {
            return submission;
        }
    }
    return submission;
}

void placement_writer_client::avoid(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_avoided[address] = m_hooks.now() + m_options.avoidanceTime;
}

std::string placement_writer_client::chooseWriter(const std::vector<std::string> &writers)
{
    const std::lock_guard lock(m_mutex);
    const steady_time now = m_hooks.now();
    std::erase_if(m_avoided, [now](const auto &entry) { return entry.second <= now; });
    for (const std::string &address : writers) {
        if (!m_avoided.contains(address)) {
            return address;
        }
    }
    return "";
}

change_submission placement_writer_client::submitTo(const std::string &address,
                                                    const std::string &service,
                                                    const owner_change &change)
{
    const steady_time deadline = m_hooks.now() + m_options.timeout;
    const auto ticketResponse = m_hooks.call(address, "GET", "", deadline);
    if (!ticketResponse.ok() || ticketResponse->status != 200) {
        return {};
    }
    const auto ticket = parseTicket(ticketResponse->body);
    if (!ticket.ok()) {
        return {};
    }
    const std::string body = encodeChangeRequest({service, change, *ticket});
    if (body.size() > maxChangeBytes) {
        return {};
    }
    const auto response = m_hooks.call(address, "POST", body, deadline);
    if (!response.ok()) {
        const bool isSent = !absl::IsUnavailable(response.status());
        return {isSent, {isSent ? change_outcome::Unknown : change_outcome::NotApplied, 0}};
    }
    const auto parsed = response->status == 200
        ? parseChangeResponse(response->body)
        : absl::StatusOr<change_response>(absl::UnknownError("the writer reported an error"));
    return {true, parsed.ok() ? *parsed : change_response{change_outcome::Unknown, 0}};
}

} // namespace persimmonrail
