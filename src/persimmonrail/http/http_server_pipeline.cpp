// The part of http_server::state that serves the requests of connections with a pipeline.
#include "persimmonrail/http/http_server_state.h"

namespace persimmonrail {

void http_server::state::servePipelined(connection &target)
{
    do {
        if (target.stream.hasInput()) {
            readAndServe(target);
        } else {
            pollForRequest(target);
        }
    } while (continueReading(target));
}

bool http_server::state::pauseReading(connection &target)
{
    const std::lock_guard lock(m_mutex);
    if (target.pipeline == nullptr || target.workers < 2) {
        return false;
    }
    --target.workers;
    target.nextReader = connection::reader::Paused;
    return true;
}

std::unique_ptr<response_pipeline> http_server::state::makePipeline(http_stream &stream)
{
    response_pipeline::hooks hooks;
    hooks.write = [&stream](std::string_view bytes, size_t &written, steady_time until) {
        return stream.write(bytes, written, until);
    };
    hooks.onEnd = [&stream](bool isAborted) {
        if (isAborted) {
            stream.shutdown();
        } else {
            stream.shutdownSending();
        }
    };
    return std::make_unique<response_pipeline>(options.maxHeldBytesPerConnection, held,
                                               options.idleTimeout, std::move(hooks));
}

bool http_server::state::isDraining() const
{
    return m_isClosing || m_isStopping || (options.isStopping && options.isStopping());
}

bool http_server::state::mayServeBesideOthers(const received_request &received) const
{
    return received.type == received_request::kind::Valid
        && received.framing.type == body_framing::kind::None && options.isIdempotent
        && options.isIdempotent(received.message);
}

void http_server::state::readAndServe(connection &target)
{
    const received_request received = m_requests.read(target.stream);
    if (!mayServeBesideOthers(received)) {
        serveInTurn(target, received);
        return;
    }
    const bool hasEarlier = target.pipeline->size() > 0;
    const auto request =
        target.pipeline->add(isDraining() || !keepsConnectionOpen(received.message));
    if (request == nullptr) {
        endReading(target);
        return;
    }
    pipelined += hasEarlier ? 1 : 0;
    passReading(target);
    serveBesideOthers(target, *request, received);
}

void http_server::state::serveInTurn(connection &target, const received_request &received)
{
    bool isOpen = false;
    if (received.type != received_request::kind::None && target.pipeline->waitForTurn()) {
        try {
            isOpen = m_requests.serve(target.stream, received) && !m_isClosing;
        } catch (const std::exception &) {
            target.stream.shutdown();
        }
    }
    if (isOpen) {
        passReading(target);
    } else {
        endReading(target);
    }
}

void http_server::state::serveBesideOthers(connection &target, response_pipeline::request &request,
                                           const received_request &received)
{
    using request_end = response_pipeline::request_end;
    response_pipeline &pipeline = *target.pipeline;
    http_stream watch(target.stream, request.cancelDescriptor());
    exchange_hooks hooks;
    hooks.write = [&](std::string_view bytes, size_t &written, const write_deadlines &deadlines) {
        return pipeline.write(request, bytes, written, deadlines);
    };
    hooks.onCloseAfterResponse = [&] { pipeline.closeAfter(request); };
    hooks.closesAfterResponse = [&] { return pipeline.closesAfter(request, isDraining()); };
    request_end end = request_end::Abort;
    try {
        end = m_requests.serveBesideOthers(watch, received, std::move(hooks))
            ? request_end::Reusable
            : request_end::Close;
    } catch (const std::exception &) {
        // The handler failed. The closed connection tells the client that no response follows.
    }
    pipeline.finish(request, end);
}

void http_server::state::passReading(connection &target)
{
    if (!target.stream.hasInput()) {
        pollForRequest(target);
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        // Only the calling worker may be left, which then reads on after its request.
        target.nextReader = connection::reader::Paused;
        if (!mayReadNext(target)) {
            return;
        }
        target.nextReader = connection::reader::Worker;
        ++target.workers;
    }
    if (!m_threads.tryRun([this, &target] { servePipelined(target); })) {
        pauseReading(target);
    }
}

bool http_server::state::mayReadNext(const connection &target) const
{
    return target.nextReader == connection::reader::Paused && !m_isStopping
        && !target.pipeline->isClosing()
        && target.pipeline->size() < static_cast<size_t>(options.maxPipelinedRequests);
}

void http_server::state::pollForRequest(connection &target)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isStopping && !target.pipeline->isClosing() && startPolling(target)) {
            return;
        }
    }
    endReading(target);
}

bool http_server::state::startPolling(connection &target)
{
    target.stream.releaseBuffer();
    target.waitingSince = std::chrono::steady_clock::now();
    target.nextReader = connection::reader::Poller;
    m_polled.insert(&target);
    const bool isPolled = m_poller.rearm(target.stream.descriptor(), &target);
    if (!isPolled) {
        m_polled.erase(&target);
    }
    return isPolled;
}

void http_server::state::endReading(connection &target)
{
    target.pipeline->closeAfterLast();
    const std::lock_guard lock(m_mutex);
    target.nextReader = connection::reader::None;
}

bool http_server::state::continueReading(connection &target)
{
    const std::lock_guard lock(m_mutex);
    if (mayReadNext(target)) {
        target.nextReader = connection::reader::Worker;
        return true;
    }
    if (--target.workers > 0) {
        return false;
    }
    target.waitingSince = std::chrono::steady_clock::now();
    if (m_isStopping) {
        closeConnection(target);
    } else if (target.pipeline->isClosing()) {
        lingerUntilClosed(target);
    }
    return false;
}

void http_server::state::lingerUntilClosed(connection &target)
{
    target.isSendingShutDown = true;
    if (target.nextReader == connection::reader::Poller) {
        return;
    }
    if (target.stream.discardInput() == io_status::Closed || !startPolling(target)) {
        closeConnection(target);
    }
}

} // namespace persimmonrail
