#include "persimmonrail/router/grant_connection.h"

#include "persimmonrail/keyspace/grant_fence.h"

#include <utility>

namespace persimmonrail {

grant_connection::grant_connection(grant_api grants)
    : m_grants(std::move(grants))
{ }

grant_connection::attempt grant_connection::send(const std::string &address,
                                                 const range_grant &grant, milliseconds holdTime,
                                                 const std::function<bool(boot_time now)> &canSend)
{
    if (m_isOpen) {
        attempt sent = sendOnOpenConnection(address, grant, holdTime, canSend);
        if (!absl::IsNotFound(sent.status)) {
            return sent;
        }
        m_isOpen = false;
    }
    if (!canSend(bootNow())) {
        return {grant, {}, absl::CancelledError("the grant is out of date")};
    }
    if (m_number == maxGrantConnection) {
        return {grant, {}, absl::ResourceExhaustedError("no number is left for a connection")};
    }
    if (const absl::Status connected = m_grants.connect(address); !connected.ok()) {
        return {grant, {}, connected};
    }
    m_isOpen = true;
    ++m_number;
    attempt sent = sendOnOpenConnection(address, grant, holdTime, canSend);
    if (absl::IsNotFound(sent.status)) {
        sent.status = absl::UnavailableError(sent.status.message());
    }
    return sent;
}

grant_connection::attempt
grant_connection::sendOnOpenConnection(const std::string &address, range_grant grant,
                                       milliseconds holdTime,
                                       const std::function<bool(boot_time now)> &canSend)
{
    grant.connection = m_number;
    const boot_time sentAt = bootNow();
    if (!canSend(sentAt)) {
        return {grant, sentAt, absl::CancelledError("the grant is out of date")};
    }
    const absl::Status status = m_grants.grant(address, grant, holdTime);
    return {std::move(grant), sentAt, status};
}

void grant_connection::restartNumbers()
{
    m_isOpen = false;
    m_number = 0;
}

} // namespace persimmonrail
