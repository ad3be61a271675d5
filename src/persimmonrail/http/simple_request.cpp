#include "persimmonrail/http/http_client.h"

namespace persimmonrail {
namespace {

// Maximum size of a response body.
constexpr size_t maxSimpleResponseBytes = 1024 * 1024;

class memory_body : public body_source
{
public:
    explicit memory_body(const std::string &body)
        : m_body(body)
    { }
    body_framing framing() const override { return {body_framing::kind::Length, m_body.size()}; }
    io_status read(std::string &piece, steady_time) override
    {
        piece = m_wasRead ? std::string() : m_body;
        m_wasRead = true;
        return io_status::Ok;
    }
    bool rewind() override
    {
        m_wasRead = false;
        return true;
    }

private:
    const std::string &m_body;
    bool m_wasRead = false;
};

class memory_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool) override
    {
        m_body = first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        m_body += piece;
        return m_body.size() <= maxSimpleResponseBytes;
    }
    bool finish() override { return true; }
    std::string take() { return std::move(m_body); }

private:
    std::string m_body;
};

} // namespace

absl::StatusOr<simple_response> simpleRequest(http_client &client, const std::string &address,
                                              const std::string &method, const std::string &uri,
                                              const std::string &body, steady_time deadline)
{
    client_request request;
    request.address = address;
    request.message.setMethod(method);
    request.message.setURI(uri);
    request.deadline = deadline;
    request.repeatable = method == "GET";
    memory_body source(body);
    if (!body.empty()) {
        request.message.setContentType("application/json");
        request.body = &source;
    }
    memory_sink sink;
    const exchange_result result = client.exchange(request, sink);
    if (result.state == exchange_state::Complete) {
        return simple_response{result.head.getStatus(), sink.take()};
    }
    const std::string message = std::string(toString(result.state)) + ": " + result.detail;
    return result.state == exchange_state::NotSent ? absl::UnavailableError(message)
                                                   : absl::UnknownError(message);
}

} // namespace persimmonrail
