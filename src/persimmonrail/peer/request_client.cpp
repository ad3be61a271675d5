#include "persimmonrail/peer/request_client.h"

#include "persimmonrail/peer/nng_message.h"

#include <absl/strings/str_cat.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Limits of the delay before nng dials again after a failed attempt. A lease lasts 1 s, so the
// delay must be short.
constexpr nng_duration minReconnectDelayMs = 50;
constexpr nng_duration maxReconnectDelayMs = 400;
// Pull requests go to random peers, so most connections are used only once and are closed when
// idle.
constexpr auto idleTimeout = std::chrono::seconds(30);
constexpr auto cleanupInterval = std::chrono::seconds(1);

} // namespace

// The nng request socket of one peer.
class request_client::peer_socket
{
public:
    peer_socket() = default;
    peer_socket(const peer_socket &) = delete;
    peer_socket &operator=(const peer_socket &) = delete;
    ~peer_socket() { close(); }

    // Opens the socket and starts to dial without waiting for the connection. nng dials again after
    // failures. Errors: Unavailable.
    absl::Status dial(const std::string &address)
    {
        if (const int error = nng_req0_open(&m_socket); error != 0) {
            return nngStatus(error);
        }
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxControlMessageBytes);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, minReconnectDelayMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, maxReconnectDelayMs);
        const std::string url = absl::StrCat("tcp://", address);
        if (const int error = nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
            error != 0) {
            return nngStatus(error);
        }
        return absl::OkStatus();
    }

    void close() { nng_close(m_socket); }
    nng_socket handle() const { return m_socket; }

    // Time of the last request. Guarded by the mutex of the client.
    steady_time lastUsedAt{};
    // Number of exchanges that have not completed.
    std::atomic<int> outstandingExchanges{0};

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

// One request and its reply. Deletes itself after the callback has run.
struct request_client::exchange
{
    request_client *client = nullptr;
    std::shared_ptr<peer_socket> socket;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio *aio = nullptr;
    // Whether the request has been sent, so that the reply is awaited.
    bool isSent = false;
    control_channel::completion callback;

    static void onComplete(void *self) { static_cast<exchange *>(self)->handleCompletion(); }

    void handleCompletion()
    {
        const int error = nng_aio_result(aio);
        if (error != 0) {
            if (!isSent) {
                nng_msg_free(nng_aio_get_msg(aio));
            }
            if (error == NNG_ETIMEDOUT) {
                client->retireSocket(socket);
            }
            finish(nngStatus(error));
            return;
        }
        if (!isSent) {
            isSent = true;
            nng_ctx_recv(context, aio);
            return;
        }
        finish(parseReply(nng_message(nng_aio_get_msg(aio))));
    }

    // Counts and parses a reply. Errors: DataLoss, FailedPrecondition (see control_channel).
    absl::StatusOr<wire::Reply> parseReply(nng_message message) const
    {
        ++client->m_traffic.messagesReceived;
        client->m_traffic.bytesReceived += nng_msg_len(message.get());
        wire::Reply reply;
        if (!parse(message.get(), reply) || reply.body_case() == wire::Reply::BODY_NOT_SET) {
            ++client->m_traffic.malformedMessages;
            return absl::DataLossError("malformed or unknown control reply");
        }
        if (reply.has_error()) {
            return absl::FailedPreconditionError(reply.error().message());
        }
        return reply;
    }

    // Passes the result to the callback and releases all resources of the exchange. The counter is
    // decremented last, since the destructor of the client waits for the counter.
    void finish(absl::StatusOr<wire::Reply> reply)
    {
        callback(std::move(reply));
        nng_ctx_close(context);
        nng_aio_reap(aio);
        const auto keptSocket = std::move(socket);
        delete this;
        --keptSocket->outstandingExchanges;
    }
};

request_client::request_client(control_traffic &traffic)
    : m_traffic(traffic)
    , m_cleanupThread([this] { runSocketCleanup(); })
{ }

request_client::~request_client()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        for (auto &[address, socket] : m_sockets) {
            m_retiredSockets.push_back(socket);
        }
        m_sockets.clear();
    }
    m_stopRequested.notify_all();
    m_cleanupThread.join();
    // Closing a socket fails its outstanding exchanges. Their completions use this client,
    // so the destructor waits for all of them.
    for (const auto &socket : m_retiredSockets) {
        socket->close();
    }
    for (const auto &socket : m_retiredSockets) {
        while (socket->outstandingExchanges.load() > 0) {
            std::this_thread::yield();
        }
    }
}

void request_client::send(const std::string &address, const wire::Request &request,
                          milliseconds timeout, control_channel::completion callback)
{
    auto socket = acquireSocket(address);
    if (!socket.ok()) {
        callback(socket.status());
        return;
    }
    nng_message message = serialize(request);
    auto newExchange = std::make_unique<exchange>();
    newExchange->client = this;
    newExchange->socket = *socket;
    newExchange->callback = std::move(callback);
    int error =
        message == nullptr ? NNG_ENOMEM : nng_ctx_open(&newExchange->context, (*socket)->handle());
    if (error == 0) {
        error = nng_aio_alloc(&newExchange->aio, &exchange::onComplete, newExchange.get());
    }
    if (error != 0) {
        --(*socket)->outstandingExchanges;
        newExchange->callback(nngStatus(error));
        return;
    }
    // By default, nng sends a request again after a minute without a reply.
    nng_ctx_set_ms(newExchange->context, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    ++m_traffic.messagesSent;
    m_traffic.bytesSent += nng_msg_len(message.get());
    exchange *startedExchange = newExchange.release();
    nng_aio_set_timeout(startedExchange->aio, static_cast<nng_duration>(timeout.count()));
    nng_aio_set_msg(startedExchange->aio, message.release());
    nng_ctx_send(startedExchange->context, startedExchange->aio);
}

absl::StatusOr<std::shared_ptr<request_client::peer_socket>>
request_client::acquireSocket(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopping) {
        return absl::UnavailableError("the control channel is closing");
    }
    auto &socket = m_sockets[address];
    if (socket == nullptr) {
        auto created = std::make_shared<peer_socket>();
        if (auto status = created->dial(address); !status.ok()) {
            m_sockets.erase(address);
            return status;
        }
        socket = std::move(created);
    }
    socket->lastUsedAt = std::chrono::steady_clock::now();
    ++socket->outstandingExchanges;
    return socket;
}

void request_client::retireSocket(const std::shared_ptr<peer_socket> &socket)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_sockets.begin(); it != m_sockets.end(); ++it) {
        if (it->second == socket) {
            m_retiredSockets.push_back(it->second);
            m_sockets.erase(it);
            return;
        }
    }
}

void request_client::retireIdleSockets(steady_time now)
{
    for (auto it = m_sockets.begin(); it != m_sockets.end();) {
        if (now - it->second->lastUsedAt > idleTimeout) {
            m_retiredSockets.push_back(it->second);
            it = m_sockets.erase(it);
        } else {
            ++it;
        }
    }
}

void request_client::runSocketCleanup()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_stopRequested.wait_for(lock, cleanupInterval, [this] { return m_isStopping; });
        if (m_isStopping) {
            return;
        }
        retireIdleSockets(std::chrono::steady_clock::now());
        std::vector<std::shared_ptr<peer_socket>> closableSockets;
        const auto firstClosable = std::partition(
            m_retiredSockets.begin(), m_retiredSockets.end(),
            [](const auto &socket) { return socket->outstandingExchanges.load() > 0; });
        closableSockets.assign(firstClosable, m_retiredSockets.end());
        m_retiredSockets.erase(firstClosable, m_retiredSockets.end());
        lock.unlock();
        closableSockets.clear();
        lock.lock();
    }
}

} // namespace persimmonrail
