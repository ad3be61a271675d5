#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/ownership/serving_table.h"

#include <utility>

namespace persimmonrail {

// Adapts a ticket of the serving table to the gateway's lease_ticket interface.
class serving_lease_ticket : public lease_ticket
{
public:
    // `table` must outlive the ticket.
    serving_lease_ticket(const serving_table &table, serving_table::ticket ticket)
        : m_table(table)
        , m_ticket(std::move(ticket))
    { }

    const std::string &partition() const override { return m_ticket.lease().partition; }
    uint64_t term() const override { return m_ticket.lease().term; }
    // Returns the current end of the lease, which renewals extend; the epoch of the steady clock,
    // which is in the past, once the partition is no longer served under this term.
    steady_time leaseEnd() const override
    {
        return m_table.leaseEnd(partition(), term()).value_or(steady_time());
    }

private:
    const serving_table &m_table;
    serving_table::ticket m_ticket;
};

} // namespace persimmonrail
