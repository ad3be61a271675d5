#pragma once

#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/ownership/serving_table.h"

#include <utility>

namespace persimmonrail {

// A ticket of the serving table in the form in which the gateway takes it.
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
    steady_time leaseEnd() const override
    {
        return m_table.leaseEnd(partition(), term()).value_or(steady_time());
    }

private:
    const serving_table &m_table;
    serving_table::ticket m_ticket;
};

} // namespace persimmonrail
