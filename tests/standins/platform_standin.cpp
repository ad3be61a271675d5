#include "standins/platform_standin.h"

#include "standins/json_server.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace standins {
namespace {

using namespace std::chrono;
using persimmonrail::stored_object;
using Poco::JSON::Array;
using Poco::JSON::Object;

// The platform stores values of up to one megabyte.
constexpr size_t maxValueBytes = 1'000'000;
constexpr milliseconds maxWatchWait{60'000};

constexpr char objectsPath[] = "/v1/objects";
constexpr char watchPath[] = "/v1/watch";
constexpr char controlPath[] = "/control/";

json_response errorResponse(int status, const std::string &message)
{
    json_response result{status};
    result.body->set("error", message);
    return result;
}

// Returns whether `text` is valid UTF-8. Values are returned inside JSON, which holds only UTF-8.
bool isUtf8(const std::string &text)
{
    const auto *position = reinterpret_cast<const unsigned char *>(text.data());
    const auto *end = position + text.size();
    while (position < end) {
        const int length = *position < 0x80 ? 1 : *position < 0xe0 ? 2 : *position < 0xf0 ? 3 : 4;
        if (end - position < length || !Poco::UTF8Encoding::isLegal(position, length)) {
            return false;
        }
        position += length;
    }
    return true;
}

Array::Ptr encodeObjects(const std::vector<stored_object> &objects)
{
    Array::Ptr array = new Array;
    for (const auto &object : objects) {
        Object::Ptr entry = new Object;
        entry->set("key", object.key);
        entry->set("version", object.version);
        entry->set("deleted", object.deleted);
        entry->set("value", object.value);
        array->add(entry);
    }
    return array;
}

json_response makeWriteResponse(const object_store::write_result &result)
{
    json_response response{result.isApplied ? 200 : 409};
    response.body->set("version", result.version);
    return response;
}

} // namespace

class platform_standin::implementation
{
public:
    // State that the methods of platform_standin and the control paths change.
    struct state
    {
        bool isOutage = false;
        milliseconds delay{0};
        int dropResponses = 0;
        platform_budget budget;
        object_store store = {};
    };

    implementation(const std::string &address, platform_budget budget);
    ~implementation();

    std::string address() const { return m_server.address(); }
    platform_calls calls() const;
    // Applies `action` with the mutex held and wakes waiting requests.
    void updateState(const std::function<void(state &)> &action);
    void awaitWaitingWatches(uint64_t count);

private:
    std::optional<json_response> handle(const json_call &call);
    json_response serveControl(const json_call &call);
    std::optional<json_response> serveObjectApi(const json_call &call);
    // The functions below require m_mutex to be held.
    // admitRead() and admitWrite() count the request and return whether the rate budget admits the
    // request.
    bool admitRead();
    bool admitWrite();
    json_response readObject(const std::string &key) const;
    std::optional<json_response> writeObject(const json_call &call, const std::string &key);
    json_response listObjects(const std::string &prefix) const;
    // Waits for changes; `lock` holds m_mutex.
    json_response serveWatch(const json_call &call, std::unique_lock<std::mutex> &lock);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    state m_state;
    platform_calls m_calls;
    rate_window m_reads;
    rate_window m_writes;
    json_server m_server;
};

platform_standin::implementation::implementation(const std::string &address, platform_budget budget)
    : m_state{.budget = budget}
    , m_server(address, maxValueBytes, [this](const json_call &call) { return handle(call); })
{ }

platform_standin::implementation::~implementation()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    // Wakes requests that wait, because the server's destructor waits until all requests end.
    m_changed.notify_all();
}

platform_calls platform_standin::implementation::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

void platform_standin::implementation::updateState(const std::function<void(state &)> &action)
{
    {
        const std::lock_guard lock(m_mutex);
        action(m_state);
    }
    m_changed.notify_all();
}

void platform_standin::implementation::awaitWaitingWatches(uint64_t count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_calls.waitingWatches >= count; });
}

std::optional<json_response> platform_standin::implementation::handle(const json_call &call)
{
    return call.path.starts_with(controlPath) ? serveControl(call) : serveObjectApi(call);
}

bool platform_standin::implementation::admitRead()
{
    ++m_calls.reads;
    const bool isAdmitted =
        m_reads.admit(steady_clock::now(), m_state.budget.readsPerSecond, m_calls.waitingWatches);
    m_calls.refused += isAdmitted ? 0 : 1;
    return isAdmitted;
}

bool platform_standin::implementation::admitWrite()
{
    ++m_calls.writes;
    const bool isAdmitted = m_writes.admit(steady_clock::now(), m_state.budget.writesPerSecond, 0);
    m_calls.refused += isAdmitted ? 0 : 1;
    return isAdmitted;
}

std::optional<json_response> platform_standin::implementation::serveObjectApi(const json_call &call)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, steady_clock::now() + m_state.delay,
                         [this] { return m_isStopping; });
    if (!(call.method == "GET" ? admitRead() : admitWrite())) {
        return errorResponse(429, "rate limit exceeded");
    }
    if (m_state.isOutage) {
        return errorResponse(503, "platform outage");
    }
    if (call.path == watchPath && call.method == "GET") {
        return serveWatch(call, lock);
    }
    if (call.path == objectsPath && call.method == "GET") {
        return listObjects(call.text("prefix"));
    }
    const std::string objectPathPrefix = std::string(objectsPath) + "/";
    if (!call.path.starts_with(objectPathPrefix) || call.path.size() == objectPathPrefix.size()) {
        return errorResponse(404, "path does not exist");
    }
    const std::string key = call.path.substr(objectPathPrefix.size());
    if (call.method == "GET") {
        return readObject(key);
    }
    return writeObject(call, key);
}

json_response platform_standin::implementation::readObject(const std::string &key) const
{
    const auto *object = m_state.store.find(key);
    if (object == nullptr) {
        return errorResponse(404, "object does not exist");
    }
    json_response response;
    response.body->set("key", key);
    response.body->set("version", object->version);
    response.body->set("value", object->value);
    return response;
}

std::optional<json_response> platform_standin::implementation::writeObject(const json_call &call,
                                                                           const std::string &key)
{
    const auto version = call.number("version");
    if (!version) {
        return errorResponse(400, "query parameter version is missing or not a number");
    }
    if (call.body.size() > maxValueBytes) {
        return errorResponse(413, "value exceeds 1000000 bytes");
    }
    if (!isUtf8(call.body)) {
        return errorResponse(400, "value is not UTF-8");
    }
    if (call.method != "PUT" && call.method != "DELETE") {
        return errorResponse(405, "method is not allowed for this path");
    }
    const auto result = call.method == "PUT" ? m_state.store.put(key, *version, call.body)
                                             : m_state.store.remove(key, *version);
    m_changed.notify_all();
    if (result.isApplied && m_state.dropResponses > 0) {
        --m_state.dropResponses;
        return std::nullopt;
    }
    return makeWriteResponse(result);
}

json_response platform_standin::implementation::listObjects(const std::string &prefix) const
{
    json_response response;
    response.body->set("revision", m_state.store.revision());
    response.body->set("objects", encodeObjects(m_state.store.list(prefix)));
    return response;
}

json_response platform_standin::implementation::serveWatch(const json_call &call,
                                                           std::unique_lock<std::mutex> &lock)
{
    const auto since = call.number("since");
    const auto wait = call.number("wait_ms");
    if (!since || !wait) {
        return errorResponse(400, "query parameter since or wait_ms is missing or not a number");
    }
    const std::string prefix = call.text("prefix");
    const auto waitTime = std::min(maxWatchWait, milliseconds(*wait));
    const auto hasResult = [&] {
        const auto changes = m_state.store.changes(prefix, *since);
        return m_isStopping || m_state.isOutage || !changes || !changes->empty();
    };
    ++m_calls.waitingWatches;
    m_changed.notify_all();
    m_changed.wait_until(lock, steady_clock::now() + waitTime, hasResult);
    --m_calls.waitingWatches;
    if (m_state.isOutage || m_isStopping) {
        return errorResponse(503, "platform outage");
    }
    const auto changes = m_state.store.changes(prefix, *since);
    if (!changes) {
        return errorResponse(410, "changes after this revision have been compacted");
    }
    json_response response;
    response.body->set("revision", m_state.store.revision());
    response.body->set("events", encodeObjects(*changes));
    return response;
}

json_response platform_standin::implementation::serveControl(const json_call &call)
{
    const std::string command = call.path.substr(sizeof controlPath - 1);
    if (command == "calls" && call.method == "GET") {
        const auto counts = calls();
        json_response response;
        response.body->set("reads", counts.reads);
        response.body->set("writes", counts.writes);
        response.body->set("waiting_watches", counts.waitingWatches);
        response.body->set("refused", counts.refused);
        return response;
    }
    if (call.method != "POST") {
        return errorResponse(405, "method is not allowed for this path");
    }
    const auto outageState = call.text("state");
    const auto delayMs = call.number("ms");
    const auto count = call.number("count");
    const auto reads = call.number("reads");
    const auto writes = call.number("writes");
    if (command == "outage" && (outageState == "on" || outageState == "off")) {
        updateState([&](implementation::state &state) { state.isOutage = outageState == "on"; });
    } else if (command == "delay" && delayMs) {
        updateState([&](implementation::state &state) { state.delay = milliseconds(*delayMs); });
    } else if (command == "drop-answers" && count) {
        updateState(
            [&](implementation::state &state) { state.dropResponses = static_cast<int>(*count); });
    } else if (command == "compact") {
        updateState([](implementation::state &state) { state.store.compact(); });
    } else if (command == "budget" && reads && writes) {
        updateState([&](implementation::state &state) { state.budget = {*reads, *writes}; });
    } else {
        return errorResponse(400, "unknown control command, or a parameter is missing or invalid");
    }
    return {};
}

platform_standin::platform_standin(const std::string &address, platform_budget budget)
    : m_implementation(std::make_unique<implementation>(address, budget))
{ }

platform_standin::~platform_standin() = default;

std::string platform_standin::address() const
{
    return m_implementation->address();
}

platform_calls platform_standin::calls() const
{
    return m_implementation->calls();
}

void platform_standin::setOutage(bool enabled)
{
    m_implementation->updateState([=](implementation::state &state) { state.isOutage = enabled; });
}

void platform_standin::setDelay(milliseconds delay)
{
    m_implementation->updateState([=](implementation::state &state) { state.delay = delay; });
}

void platform_standin::dropResponses(int count)
{
    m_implementation->updateState(
        [=](implementation::state &state) { state.dropResponses = count; });
}

void platform_standin::compact()
{
    m_implementation->updateState([](implementation::state &state) { state.store.compact(); });
}

void platform_standin::setBudget(platform_budget budget)
{
    m_implementation->updateState([=](implementation::state &state) { state.budget = budget; });
}

void platform_standin::awaitWaitingWatches(uint64_t count)
{
    m_implementation->awaitWaitingWatches(count);
}

} // namespace standins
