#pragma once

#include "persimmonrail/http/http_client.h"
#include "persimmonrail/proxy/slot_gate.h"

#include <memory>
#include <utility>

namespace persimmonrail {

// Passes an answer on and gives the slot of its request back when the answer begins: the upstream
// has done its work then, and the time that a slow link takes for a large body is no time of the
// upstream's. Used by one thread.
class releasing_sink : public response_sink
{
public:
    // `next` must outlive the object.
    releasing_sink(std::unique_ptr<slot_ticket> ticket, response_sink &next)
        : m_ticket(std::move(ticket))
        , m_next(next)
    { }

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override
    {
        if (m_ticket != nullptr) {
            m_ticket->noteTypical();
            m_ticket.reset();
        }
        return m_next.begin(head, framing, first, isComplete);
    }
    bool write(std::string_view piece) override { return m_next.write(piece); }
    bool finish() override { return m_next.finish(); }

private:
    std::unique_ptr<slot_ticket> m_ticket;
    response_sink &m_next;
};

} // namespace persimmonrail
