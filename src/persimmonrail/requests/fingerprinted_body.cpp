#include "persimmonrail/requests/fingerprinted_body.h"

namespace persimmonrail {

fingerprinted_body::fingerprinted_body(crash_quarantine *quarantine, server_exchange &exchange,
                                       const fingerprint_builder &head)
    : m_quarantine(quarantine)
    , m_exchange(exchange)
    , m_head(head)
    , m_builder(head)
{ }

fingerprinted_body::~fingerprinted_body()
{
    if (m_run) {
        m_quarantine->end(*m_run, std::nullopt, crash_quarantine::run_end::Regular, {});
    }
}

fingerprinted_body::admission fingerprinted_body::checkQuarantine(steady_time deadline,
                                                                  steady_time now)
{
    using verdict = admission::verdict;
    if (m_quarantine == nullptr || !m_quarantine->rejectsAny(now)) {
        return {};
    }
    fingerprint_builder builder = m_head;
    if (framing().type != body_framing::kind::None) {
        std::string_view firstBytes;
        const io_status status = m_exchange.peek(fingerprintBodyBytes, firstBytes, deadline);
        if (status != io_status::Ok) {
            return {status == io_status::Malformed ? verdict::MalformedBody
                                                   : verdict::IncompleteBody};
        }
        builder.addBody(firstBytes);
    }
    const auto remaining = m_quarantine->remainingRejectionTime(builder.value(), now);
    return remaining ? admission{verdict::Quarantined, *remaining} : admission{};
}

void fingerprinted_body::recordDispatch()
{
    if (m_quarantine != nullptr) {
        m_run = m_quarantine->begin();
    }
}

void fingerprinted_body::recordEnd(crash_quarantine::run_end endKind, steady_time now)
{
    if (m_run) {
        m_quarantine->end(*m_run, fingerprint(), endKind, now);
        m_run.reset();
    }
}

io_status fingerprinted_body::read(std::string &piece, steady_time until)
{
    const io_status status = m_exchange.read(piece, until);
    if (status == io_status::Ok && m_quarantine != nullptr) {
        m_bodyEnded = m_bodyEnded || piece.empty();
        m_bodyBytes += piece.size();
        if (!m_builder.isFull()) {
            m_builder.addBody(piece);
        }
    }
    return status;
}

bool fingerprinted_body::rewind()
{
    if (!m_exchange.rewind()) {
        // The builder keeps the bytes that were already read, since they still identify the
        // request.
        return false;
    }
    m_builder = m_head;
    m_bodyBytes = 0;
    m_bodyEnded = false;
    return true;
}

std::optional<uint64_t> fingerprinted_body::fingerprint() const
{
    const bool isWholeBody = framing().type == body_framing::kind::None || m_bodyEnded
        || (framing().type == body_framing::kind::Length && m_bodyBytes == framing().length);
    return isWholeBody || m_builder.isFull() ? std::optional(m_builder.value()) : std::nullopt;
}

} // namespace persimmonrail
