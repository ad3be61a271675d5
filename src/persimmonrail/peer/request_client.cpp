#include "persimmonrail/peer/request_client.h"

#include "persimmonrail/peer/nng_message.h"

#include <absl/strings/str_cat.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Dialling pauses after a failed attempt; short, since a lease lasts 1 s.
constexpr nng_duration reconnectMinMs = 50;
constexpr nng_duration reconnectMaxMs = 400;
// Pulls go to random peers, so most connections are used once.
constexpr auto idleTimeout = std::chrono::seconds(30);
constexpr auto reapInterval = std::chrono::seconds(1);

} // namespace

class request_client::peer_socket
{
public:
    peer_socket() = default;
    peer_socket(const peer_socket &) = delete;
    peer_socket &operator=(const peer_socket &) = delete;
    ~peer_socket() { close(); }

    absl::Status dial(const std::string &address)
    {
        if (const int error = nng_req0_open(&m_socket); error != 0) {
            return nngStatus(error);
        }
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, maxControlMessageBytes);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, reconnectMinMs);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, reconnectMaxMs);
        const std::string url = absl::StrCat("tcp://", address);
        if (const int error = nng_dial(m_socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
            error != 0) {
            return nngStatus(error);
        }
        return absl::OkStatus();
    }

    void close() { nng_close(m_socket); }
    nng_socket handle() const { return m_socket; }

    // Time of the last request; guarded by the client's mutex.
    steady_time lastUse{};
    // Exchanges that have not completed.
    std::atomic<int> outstanding{0};

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

// One request and its reply. Frees itself after the completion has run.
struct request_client::exchange
{
    request_client *client = nullptr;
    std::shared_ptr<peer_socket> socket;
    nng_ctx context = NNG_CTX_INITIALIZER;
    nng_aio *aio = nullptr;
    bool sent = false;
    control_channel::completion done;

    static void onComplete(void *self) { static_cast<exchange *>(self)->complete(); }

    void complete()
    {
        const int error = nng_aio_result(aio);
        if (error != 0) {
            if (!sent) {
                nng_msg_free(nng_aio_get_msg(aio));
            }
            if (error == NNG_ETIMEDOUT) {
                client->retire(socket);
            }
            finish(nngStatus(error));
            return;
        }
        if (!sent) {
            sent = true;
            nng_ctx_recv(context, aio);
            return;
        }
        finish(takeReply(nng_message(nng_aio_get_msg(aio))));
    }

    absl::StatusOr<wire::Reply> takeReply(nng_message message) const
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

    void finish(absl::StatusOr<wire::Reply> reply)
    {
        done(std::move(reply));
        nng_ctx_close(context);
        nng_aio_reap(aio);
        const auto keepAlive = std::move(socket);
        delete this;
        --keepAlive->outstanding;
    }
};

request_client::request_client(control_traffic &traffic)
    : m_traffic(traffic)
    , m_reaper([this] { runReaper(); })
{ }

request_client::~request_client()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        for (auto &[address, socket] : m_sockets) {
            m_retired.push_back(socket);
        }
        m_sockets.clear();
    }
    m_wakeUp.notify_all();
    m_reaper.join();
    // Closing fails the outstanding exchanges, whose completions refer to this client.
    for (const auto &socket : m_retired) {
        socket->close();
    }
    for (const auto &socket : m_retired) {
        while (socket->outstanding.load() > 0) {
            std::this_thread::yield();
        }
    }
}

void request_client::send(const std::string &address, const wire::Request &request,
                          milliseconds timeout, control_channel::completion done)
{
    auto socket = socketFor(address);
    if (!socket.ok()) {
        done(socket.status());
        return;
    }
    nng_message message = serialize(request);
    auto pending = std::make_unique<exchange>();
    pending->client = this;
    pending->socket = *socket;
    pending->done = std::move(done);
    int error =
        message == nullptr ? NNG_ENOMEM : nng_ctx_open(&pending->context, (*socket)->handle());
    if (error == 0) {
        error = nng_aio_alloc(&pending->aio, &exchange::onComplete, pending.get());
    }
    if (error != 0) {
        --(*socket)->outstanding;
        pending->done(nngStatus(error));
        return;
    }
    // The request would otherwise be sent again by itself after a minute.
    nng_ctx_set_ms(pending->context, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    ++m_traffic.messagesSent;
    m_traffic.bytesSent += nng_msg_len(message.get());
    exchange *started = pending.release();
    nng_aio_set_timeout(started->aio, static_cast<nng_duration>(timeout.count()));
    nng_aio_set_msg(started->aio, message.release());
    nng_ctx_send(started->context, started->aio);
}

absl::StatusOr<std::shared_ptr<request_client::peer_socket>>
request_client::socketFor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
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
    socket->lastUse = std::chrono::steady_clock::now();
    ++socket->outstanding;
    return socket;
}

void request_client::retire(const std::shared_ptr<peer_socket> &socket)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_sockets.begin(); it != m_sockets.end(); ++it) {
        if (it->second == socket) {
            m_retired.push_back(it->second);
            m_sockets.erase(it);
            return;
        }
    }
}

void request_client::retireIdleSockets(steady_time now)
{
    for (auto it = m_sockets.begin(); it != m_sockets.end();) {
        if (now - it->second->lastUse > idleTimeout) {
            m_retired.push_back(it->second);
            it = m_sockets.erase(it);
        } else {
            ++it;
        }
    }
}

void request_client::runReaper()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait_for(lock, reapInterval, [this] { return m_stopping; });
        if (m_stopping) {
            return;
        }
        retireIdleSockets(std::chrono::steady_clock::now());
        std::vector<std::shared_ptr<peer_socket>> closable;
        const auto ended =
            std::partition(m_retired.begin(), m_retired.end(),
                           [](const auto &socket) { return socket->outstanding.load() > 0; });
        closable.assign(ended, m_retired.end());
        m_retired.erase(ended, m_retired.end());
        lock.unlock();
        closable.clear();
        lock.lock();
    }
}

} // namespace persimmonrail
