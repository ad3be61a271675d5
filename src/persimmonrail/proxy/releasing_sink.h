#pragma once

#include "persimmonrail/http/http_client.h"
#include "persimmonrail/proxy/blocking_slot_queue.h"

#include <memory>
#include <utility>

namespace persimmonrail {

// Passes a response on and releases the slot of its request when the response begins. The upstream
// has finished its work at that time, and the time that a slow link takes for a large body should
// not occupy a slot. Used by one thread.
class releasing_sink : public response_sink
{
public:
    // `next` must outlive the object.
    releasing_sink(std::unique_ptr<slot_permit> permit, response_sink &next)
        : m_permit(std::move(permit))
        , m_next(next)
    { }

    // Marks the request as one that does not count at the upstream.
    void markNotCounted()
    {
        if (m_permit != nullptr) {
            m_permit->markNotCounted();
        }
    }
    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override
    {
        if (m_permit != nullptr) {
            m_permit->markRepresentative();
            m_permit.reset();
        }
        return m_next.begin(head, framing, first, isComplete);
    }
    bool write(std::string_view piece) override { return m_next.write(piece); }
    bool finish() override { return m_next.finish(); }

private:
    std::unique_ptr<slot_permit> m_permit;
    response_sink &m_next;
};

} // namespace persimmonrail
