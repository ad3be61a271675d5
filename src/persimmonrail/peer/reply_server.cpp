#include "persimmonrail/peer/reply_server.h"

#include "persimmonrail/peer/nng_message.h"

#include <absl/strings/str_cat.h>
#include <nng/protocol/reqrep0/rep.h>

#include <arpa/inet.h>

#include <mutex>

namespace persimmonrail {
namespace {

// Maximum number of requests that are handled at the same time. Further requests wait in the
// socket. A daemon receives about 40 control messages a second and replies to each within 1 ms.
constexpr int maxConcurrentRequests = 32;

} // namespace

// Receives a request, passes the request to the handler and sends the reply, in a loop until the
// server stops. The responders keep the context alive and may outlive the server. `m_isOpen` is
// false once the server has stopped, so that the responders no longer use the closed socket.
class reply_server::context : public std::enable_shared_from_this<context>
{
public:
    context(const control_channel::request_handler &handler, control_traffic &traffic)
        : m_handler(handler)
        , m_traffic(traffic)
    { }
    context(const context &) = delete;
    context &operator=(const context &) = delete;
    ~context() { nng_aio_free(m_aio); }

    // Starts to receive. Returns 0 or an nng error code.
    int start(nng_socket socket)
    {
        if (const int error = nng_ctx_open(&m_context, socket); error != 0) {
            return error;
        }
        if (const int error = nng_aio_alloc(&m_aio, &context::onComplete, this); error != 0) {
            return error;
        }
        receive();
        return 0;
    }

    // Waits until a running callback has returned. Responders have no effect afterwards.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isOpen = false;
        }
        if (m_aio != nullptr) {
            nng_aio_stop(m_aio);
        }
    }

private:
    // Step of the loop that is in progress.
    enum class phase { Receiving, Handling, Sending };

    static void onComplete(void *self) { static_cast<context *>(self)->handleCompletion(); }

    void receive()
    {
        m_phase = phase::Receiving;
        nng_ctx_recv(m_context, m_aio);
    }

    void handleCompletion()
    {
        const int error = nng_aio_result(m_aio);
        if (m_phase == phase::Sending && error != 0) {
            // If sending fails, the message still belongs to the sender, which must free the
            // message.
            nng_msg_free(nng_aio_get_msg(m_aio));
            nng_aio_set_msg(m_aio, nullptr);
        }
        if (error == NNG_ECLOSED || error == NNG_ECANCELED) {
            return;
        }
        if (m_phase == phase::Sending) {
            receive();
            return;
        }
        if (error != 0) {
            receive();
            return;
        }
        handle(nng_message(nng_aio_get_msg(m_aio)));
    }

    void handle(nng_message message)
    {
        ++m_traffic.messagesReceived;
        m_traffic.bytesReceived += nng_msg_len(message.get());
        wire::Request request;
        m_phase = phase::Handling;
        if (!parse(message.get(), request) || request.body_case() == wire::Request::BODY_NOT_SET) {
            ++m_traffic.malformedMessages;
            wire::Reply reply;
            reply.mutable_error()->set_message("malformed or unknown control request");
            respond(reply);
            return;
        }
        m_handler(std::move(request),
                  [self = shared_from_this()](const wire::Reply &reply) { self->respond(reply); });
    }

    void respond(const wire::Reply &reply)
    {
        nng_message message = serialize(reply);
        const std::lock_guard lock(m_mutex);
        if (!m_isOpen || m_phase != phase::Handling) {
            return;
        }
        if (message == nullptr) {
            receive();
            return;
        }
        ++m_traffic.messagesSent;
        m_traffic.bytesSent += nng_msg_len(message.get());
        m_phase = phase::Sending;
        nng_aio_set_msg(m_aio, message.release());
        nng_ctx_send(m_context, m_aio);
    }

    const control_channel::request_handler &m_handler;
    control_traffic &m_traffic;
    nng_ctx m_context = NNG_CTX_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::mutex m_mutex;
    bool m_isOpen = true;
    std::atomic<phase> m_phase{phase::Receiving};
};

reply_server::reply_server(control_channel::request_handler handler, control_traffic &traffic)
    : m_handler(std::move(handler))
    , m_traffic(traffic)
{ }

absl::StatusOr<std::unique_ptr<reply_server>>
reply_server::listen(const std::string &address, control_channel::request_handler handler,
                     control_traffic &traffic)
{
    std::unique_ptr<reply_server> server(new reply_server(std::move(handler), traffic));
    if (auto status = server->open(address); !status.ok()) {
        return status;
    }
    return server;
}

absl::Status reply_server::open(const std::string &address)
{
    if (const int error = nng_rep0_open(&m_socket); error != 0) {
        return nngStatus(error);
    }
    nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxControlMessageBytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    if (const int error =
            nng_listen(m_socket, absl::StrCat("tcp://", address).c_str(), &listener, 0);
        error != 0) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", address, ": ", nng_strerror(error)));
    }
    nng_sockaddr localAddress;
    if (const int error = nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &localAddress);
        error != 0) {
        return nngStatus(error);
    }
    const std::string host = address.substr(0, address.rfind(':'));
    const int port = ntohs(localAddress.s_family == NNG_AF_INET6 ? localAddress.s_in6.sa_port
                                                                 : localAddress.s_in.sa_port);
    m_address = absl::StrCat(host, ":", port);
    for (int i = 0; i < maxConcurrentRequests; ++i) {
        auto newContext = std::make_shared<context>(m_handler, m_traffic);
        if (const int error = newContext->start(m_socket); error != 0) {
            return nngStatus(error);
        }
        m_contexts.push_back(std::move(newContext));
    }
    return absl::OkStatus();
}

reply_server::~reply_server()
{
    for (const auto &context : m_contexts) {
        context->stop();
    }
    nng_close(m_socket);
}

} // namespace persimmonrail
