#pragma once

#include "persimmonrail/router/router.h"

#include <functional>

namespace persimmonrail {

// Sends grants to the local upstream over one connection at a time. A grant names no upstream:
// whichever process listens at the address takes it. So each connection has a number, which is part
// of the fence of its grants, and no two incarnations are given the same fence. Blocks; not thread
// safe.
class grant_connection
{
public:
    explicit grant_connection(grant_api grants);

    // One try to send a grant.
    struct attempt
    {
        // The grant with the number of the connection that was used.
        range_grant grant;
        boot_time sentAt{};
        // Errors: those of grant_api::grant; FailedPrecondition if the connection was refused;
        // Unavailable, Cancelled if `canSend` returned false, and ResourceExhausted if all numbers
        // of connections are used, so that the grant needs a new recorded fence: nothing was sent.
        absl::Status status;
    };
    // Sends a grant, over a new connection if there is none. `canSend` tells right before each
    // sending whether the grant may still be sent.
    attempt send(const std::string &address, const range_grant &grant, milliseconds holdTime,
                 const std::function<bool(boot_time now)> &canSend);
    // Makes the next grant open a connection, since another process may listen at the address.
    void close() { m_isOpen = false; }
    // Numbers the connections from 1 again. All later grants must have higher recorded fences.
    void restartNumbers();

private:
    attempt sendOnOpenConnection(const std::string &address, range_grant grant,
                                 milliseconds holdTime,
                                 const std::function<bool(boot_time now)> &canSend);

    const grant_api m_grants;
    bool m_isOpen = false;
    // Number of the last connection that was opened.
    uint32_t m_number = 0;
};

} // namespace persimmonrail
