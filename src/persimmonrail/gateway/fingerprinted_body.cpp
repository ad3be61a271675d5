#include "persimmonrail/gateway/fingerprinted_body.h"

namespace persimmonrail {

fingerprinted_body::fingerprinted_body(crash_quarantine *quarantine, server_exchange &exchange,
                                       std::string service, uint64_t keyHash)
    : m_quarantine(quarantine)
    , m_exchange(exchange)
    , m_service(std::move(service))
    , m_keyHash(keyHash)
    , m_builder(startFingerprint())
{ }

fingerprinted_body::~fingerprinted_body()
{
    if (m_run) {
        m_quarantine->end(*m_run, std::nullopt, crash_quarantine::run_end::Regular, {});
    }
}

fingerprint_builder fingerprinted_body::startFingerprint() const
{
    const auto &request = m_exchange.request();
    return {m_service, request.getMethod(), request.getURI(), m_keyHash};
}

std::optional<admission_rejection> fingerprinted_body::checkQuarantine(steady_time deadline,
                                                                       steady_time now)
{
    if (m_quarantine == nullptr || !m_quarantine->rejectsAny(now)) {
        return std::nullopt;
    }
    fingerprint_builder builder = startFingerprint();
    if (framing().type != body_framing::kind::None) {
        std::string_view firstBytes;
        const io_status status = m_exchange.peek(fingerprintBodyBytes, firstBytes, deadline);
        if (status != io_status::Ok) {
            return admission_rejection{status == io_status::Malformed ? "malformed-request-body"
                                                                      : "incomplete-request-body"};
        }
        builder.addBody(firstBytes);
    }
    const auto remaining = m_quarantine->remainingRejectionTime(builder.value(), now);
    return remaining
        ? std::optional(admission_rejection{std::string(quarantinedReason), *remaining})
        : std::nullopt;
}

void fingerprinted_body::recordDispatch()
{
    if (m_quarantine != nullptr) {
        m_run = m_quarantine->begin();
    }
}

void fingerprinted_body::recordEnd(const dispatch_result &result, steady_time now)
{
    if (m_run) {
        const bool wasConnectionLost = result.outcome == request_outcome::Unknown
            && (result.reason == toString(exchange_state::NoResponse)
                || result.reason == toString(exchange_state::Truncated));
        m_quarantine->end(*m_run, fingerprint(),
                          wasConnectionLost ? crash_quarantine::run_end::ConnectionLost
                                            : crash_quarantine::run_end::Regular,
                          now);
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
    m_builder = startFingerprint();
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
