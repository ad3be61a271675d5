// Stand-ins and processes for the scripts of the second review: the platform's store, instances,
// clients, and the sidecars as separate processes. Plain sockets, loopback addresses, real clock.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace site {

using clock_type = std::chrono::steady_clock;
using moment = clock_type::time_point;
using std::chrono::milliseconds;

inline const moment start = clock_type::now();

inline double secondsAt(moment at)
{
    return std::chrono::duration<double>(at - start).count();
}

// The record of one run: one line for each event, with its time in seconds. Thread safe.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(path)
    { }
    void write(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", secondsAt(clock_type::now()));
        m_file << time << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void sleepFor(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline bool waitUntil(const std::function<bool()> &condition, int ms)
{
    const moment end = clock_type::now() + milliseconds(ms);
    while (!condition()) {
        if (clock_type::now() >= end) {
            return false;
        }
        sleepFor(5);
    }
    return true;
}

// A loopback address of this process alone, so that fixed ports are free.
inline std::string hostAddress(int host)
{
    const int id = getpid() % 60000;
    return "127." + std::to_string(16 + host) + "." + std::to_string(1 + id / 250) + "."
        + std::to_string(1 + id % 250);
}

inline sockaddr_in socketAddress(const std::string &address)
{
    sockaddr_in result{};
    const size_t colon = address.find(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

struct message
{
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        std::string lower;
        for (const char c : name) {
            lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const auto found = fields.find(lower);
        return found == fields.end() ? "" : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const { return first.size() > 12 ? std::atoi(first.substr(9, 3).c_str()) : 0; }
};

// One connection. Reads messages with a length, in chunks, or up to the end.
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
        , m_number(++lastNumber())
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    ~connection() { ::close(m_descriptor); }

    // A number that no other connection of this process has.
    uint64_t number() const { return m_number; }

    // Returns false if the connection ends or nothing arrives before `until`.
    bool read(message &result, moment until, bool isResponse = false)
    {
        result = {};
        size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, result.first);
        while (std::getline(head, line)) {
            const size_t colon = line.find(':');
            std::string name;
            for (const char c : line.substr(0, colon)) {
                name += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            result.fields[name] = value;
        }
        if (!result.first.empty() && result.first.back() == '\r') {
            result.first.pop_back();
        }
        if (result.field("Transfer-Encoding") == "chunked") {
            return readChunks(result.body, until);
        }
        const std::string length = result.field("Content-Length");
        if (length.empty()) {
            return !isResponse || result.status() == 204;
        }
        return readBytes(std::strtoull(length.c_str(), nullptr, 10), result.body, until);
    }
    bool write(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n =
                ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<size_t>(n);
        }
        return true;
    }
    // Whether the peer has closed the connection.
    bool isClosed() const
    {
        pollfd polled{m_descriptor, POLLRDHUP, 0};
        return ::poll(&polled, 1, 0) > 0 && polled.revents != 0;
    }
    void shutdown() { ::shutdown(m_descriptor, SHUT_RDWR); }

private:
    bool fill(moment until)
    {
        for (;;) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
            if (left <= 0) {
                return false;
            }
            pollfd polled{m_descriptor, POLLIN, 0};
            if (::poll(&polled, 1, static_cast<int>(std::min<int64_t>(left, 200))) > 0) {
                break;
            }
        }
        char bytes[16384];
        const ssize_t n = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<size_t>(n));
        return true;
    }
    bool readBytes(size_t count, std::string &body, moment until)
    {
        while (m_buffer.size() < count) {
            if (!fill(until)) {
                return false;
            }
        }
        body += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }
    bool readChunks(std::string &body, moment until)
    {
        for (;;) {
            size_t end = std::string::npos;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const size_t size = std::strtoull(m_buffer.substr(0, end).c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string lineEnd;
            if (!readBytes(size, body, until) || !readBytes(2, lineEnd, until)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    static std::atomic<uint64_t> &lastNumber()
    {
        static std::atomic<uint64_t> last{0};
        return last;
    }

    const int m_descriptor;
    const uint64_t m_number;
    std::string m_buffer;
};

// Serves connections, each on a thread of its own. The handler serves one request and returns
// whether the connection stays open.
class server
{
public:
    using handler = std::function<bool(connection &, const message &)>;

    server(std::string address, handler handle)
        : m_address(std::move(address))
        , m_handle(std::move(handle))
    {
        open();
    }
    ~server() { close(); }
    const std::string &address() const { return m_address; }

    void open()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socketAddress(m_address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_listener, 512) != 0) {
            std::cerr << "cannot listen on " << m_address << "\n";
            std::exit(2);
        }
        m_isOpen = true;
        m_thread = std::thread([this] { accept(); });
    }
    // Closes the port and all connections, as the end of a process does.
    void close()
    {
        if (!m_isOpen.exchange(false)) {
            return;
        }
        m_thread.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (connection *open : m_connections) {
                open->shutdown();
            }
        }
        waitUntil([this] {
            const std::lock_guard lock(m_mutex);
            return m_connections.empty();
        }, 20000);
    }
    bool isOpen() const { return m_isOpen; }

private:
    void accept()
    {
        while (m_isOpen) {
            pollfd polled{m_listener, POLLIN, 0};
            if (::poll(&polled, 1, 20) <= 0) {
                continue;
            }
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0) {
                auto *accepted = new connection(descriptor);
                {
                    const std::lock_guard lock(m_mutex);
                    m_connections.insert(accepted);
                }
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }
    }
    void serve(connection *served)
    {
        message request;
        while (m_isOpen && served->read(request, clock_type::now() + milliseconds(60000))
               && m_handle(*served, request)) { }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(served);
        delete served;
    }

    const std::string m_address;
    const handler m_handle;
    std::atomic<bool> m_isOpen{false};
    int m_listener = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<connection *> m_connections;
};

inline std::unique_ptr<connection> connectTo(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

// Sends one request on a new connection. The status of the result is 0 without a whole response.
inline message call(const std::string &address, const std::string &head, const std::string &body,
                    int timeoutMs)
{
    message response;
    const auto opened = connectTo(address);
    if (opened == nullptr
        || !opened->write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                          + body)
        || !opened->read(response, clock_type::now() + milliseconds(timeoutMs), true)) {
        return {};
    }
    return response;
}

inline std::string responseText(int status, const std::string &fields, const std::string &body)
{
    static const std::map<int, std::string> reasons = {
        {200, "OK"},       {404, "Not Found"}, {409, "Conflict"}, {421, "Misdirected Request"},
        {410, "Gone"},     {503, "Service Unavailable"}};
    const auto reason = reasons.find(status);
    return "HTTP/1.1 " + std::to_string(status) + " "
        + (reason == reasons.end() ? "Status" : reason->second) + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the raw text of a member of a JSON object; empty if there is none.
inline std::string rawMember(const std::string &json, const std::string &name)
{
    size_t i = json.find('{');
    const auto skipValue = [&](size_t at) {
        int depth = 0;
        bool isText = false;
        for (; at < json.size(); ++at) {
            const char c = json[at];
            if (isText) {
                at += c == '\\' ? 1 : 0;
                isText = c != '"';
                if (!isText && depth == 0) {
                    return at + 1;
                }
                continue;
            }
            if (c == '"') {
                isText = true;
            } else if (c == '{' || c == '[') {
                ++depth;
            } else if (c == '}' || c == ']') {
                if (depth == 0) {
                    return at;
                }
                if (--depth == 0) {
                    return at + 1;
                }
            } else if (c == ',' && depth == 0) {
                return at;
            }
        }
        return at;
    };
    while (i != std::string::npos && i < json.size()) {
        const size_t nameBegin = json.find('"', i);
        if (nameBegin == std::string::npos) {
            return "";
        }
        const size_t nameEnd = json.find('"', nameBegin + 1);
        size_t value = json.find(':', nameEnd) + 1;
        while (json[value] == ' ') {
            ++value;
        }
        const size_t end = skipValue(value);
        if (json.substr(nameBegin + 1, nameEnd - nameBegin - 1) == name) {
            return json.substr(value, end - value);
        }
        i = json.find(',', end);
    }
    return "";
}

inline std::string textMember(const std::string &json, const std::string &name)
{
    const std::string raw = rawMember(json, name);
    return raw.size() >= 2 && raw.front() == '"' ? raw.substr(1, raw.size() - 2) : raw;
}

inline int64_t numberMember(const std::string &json, const std::string &name)
{
    const std::string raw = rawMember(json, name);
    return raw.empty() ? 0 : std::stoll(raw);
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

// The platform's store: objects by kind and name, one revision, conditional writes, watches.
class store
{
public:
    explicit store(const std::string &address)
        : m_server(address, [this](connection &from, const message &request) {
            return serve(from, request);
        })
    { }
    ~store()
    {
        m_isStopping = true;
        m_changed.notify_all();
        m_server.close();
    }
    const std::string &address() const { return m_server.address(); }

    void write(const std::string &kind, const std::string &name, const std::string &specification)
    {
        const std::lock_guard lock(m_mutex);
        put(kind, name, specification);
    }
    std::string read(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind][name].specification;
    }

private:
    struct entry
    {
        int64_t revision = 0;
        std::string specification;
    };
    struct event
    {
        int64_t revision;
        std::string kind;
        std::string name;
        std::string specification;
    };

    void put(const std::string &kind, const std::string &name, const std::string &specification)
    {
        m_objects[kind][name] = {++m_revision, specification};
        m_events.push_back({m_revision, kind, name, specification});
        m_changed.notify_all();
    }
    static std::string render(const std::string &name, const entry &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":"
            + std::to_string(object.revision)
            + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"specification\":"
            + object.specification + ",\"status\":null}";
    }
    bool serve(connection &from, const message &request)
    {
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        path = path.substr(std::string("/objects/").size());
        const size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const std::string type = "Content-Type: application/json\r\n";
        int status = 200;
        std::string body;
        std::unique_lock lock(m_mutex);
        auto &objects = m_objects[kind];
        if (request.method() == "GET" && !name.empty()) {
            const auto found = objects.find(name);
            status = found == objects.end() ? 404 : 200;
            body = found == objects.end() ? "{}" : render(name, found->second);
        } else if (request.method() == "GET" && target.find("watch=") == std::string::npos) {
            for (const auto &[each, object] : objects) {
                body += (body.empty() ? "" : ",") + render(each, object);
            }
            body = "{\"items\":[" + body + "],\"more\":false,\"storeRevision\":"
                + std::to_string(m_revision) + "}";
        } else if (request.method() == "GET") {
            const int64_t since = std::stoll(queryValue(target, "watch"));
            const int wait = std::stoi(queryValue(target, "waitMs"));
            m_changed.wait_for(lock, milliseconds(wait), [&] {
                body.clear();
                for (const event &each : m_events) {
                    if (each.revision > since && each.kind == kind) {
                        body += (body.empty() ? "" : ",") + std::string("{\"removed\":false,")
                            + "\"object\":" + render(each.name, {each.revision, each.specification})
                            + "}";
                    }
                }
                return !body.empty() || m_isStopping;
            });
            body = "{\"events\":[" + body + "],\"storeRevision\":" + std::to_string(m_revision)
                + "}";
        } else {
            const bool isCreation = request.method() == "POST";
            const std::string metadata = rawMember(request.body, "metadata");
            const std::string object = isCreation ? textMember(metadata, "name") : name;
            const auto found = objects.find(object);
            const int64_t revision = found == objects.end() ? 0 : found->second.revision;
            const std::string expected = rawMember(metadata, "revision");
            const bool hasConflict = isCreation
                ? revision != 0
                : !expected.empty() && std::stoll(expected) != revision;
            if (!isCreation && revision == 0) {
                status = 404;
                body = "{}";
            } else {
                status = hasConflict ? 409 : 200;
                if (!hasConflict) {
                    put(kind, object, rawMember(request.body, "specification"));
                }
                body = render(object, objects[object]);
            }
        }
        lock.unlock();
        return from.write(responseText(status, type, body));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, entry>> m_objects;
    std::vector<event> m_events;
    int64_t m_revision = 1;
    std::atomic<bool> m_isStopping{false};
    server m_server;
};

struct host_options
{
    int number = 1;
    std::string service;
    std::string storeAddress;
    std::string folder;
    // Bounds of the settings by the names of the users' pages, as in the site file.
    std::map<std::string, std::string> values;
};

// A machine: its addresses, its settings file, and the sidecar as a child process.
class machine
{
public:
    explicit machine(host_options options)
        : m_options(std::move(options))
        , m_ip(hostAddress(m_options.number))
        , m_file(m_options.folder + "/node-" + std::to_string(m_options.number))
    {
        std::map<std::string, std::string> values = {
            {"nodeName", "sidecar-" + std::to_string(m_options.number)},
            {"zone", "z1"},
            {"service", m_options.service},
            {"listenAddresses.outbound", callerAddress()},
            {"listenAddresses.inbound", m_ip + ":8300"},
            {"listenAddresses.ready", m_ip + ":8302"},
            {"listenAddresses.control", controlAddress()},
            {"ipAddress", m_ip},
            {"internalPortRange.0", "7620"},
            {"platform.address", m_options.storeAddress},
            {"applicationAddress", applicationAddress()}};
        for (const auto &[name, value] : m_options.values) {
            values[name] = value;
        }
        std::ifstream input("deploy/settings.template");
        std::string line;
        std::string text;
        while (std::getline(input, line)) {
            std::string rendered = line;
            for (size_t at = rendered.find("{{"); at != std::string::npos;
                 at = rendered.find("{{")) {
                const size_t stop = rendered.find("}}", at);
                const std::string name = rendered.substr(at + 2, stop - at - 2);
                rendered.replace(at, stop + 2 - at, values.contains(name) ? values[name] : "");
            }
            text += rendered + "\n";
        }
        std::ofstream(m_file) << text;
    }
    ~machine() { kill(); }

    std::string callerAddress() const { return m_ip + ":8304"; }
    std::string readyAddress() const { return m_ip + ":8302"; }
    std::string controlAddress() const { return m_ip + ":8306"; }
    std::string applicationAddress() const { return m_ip + ":8301"; }

    void startDaemon()
    {
        const std::string log = m_file + ".log";
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        std::string variable = "PERSIMMONRAIL_NODE_FILE=" + m_file;
        char program[] = "target/persimmonrail-sidecar";
        char *arguments[] = {program, nullptr};
        char *environment[] = {variable.data(), nullptr};
        m_process = ::fork();
        if (m_process == 0) {
            // The sidecar never outlives the script.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
        ::close(output);
    }
    void signal(int number) const
    {
        if (m_process > 0) {
            ::kill(m_process, number);
        }
    }
    // Waits for the end of the process. Returns its status, or -1 if it goes on.
    int awaitEnd(int ms)
    {
        int status = 0;
        const bool hasEnded = waitUntil(
            [&] { return ::waitpid(m_process, &status, WNOHANG) == m_process; }, ms);
        if (hasEnded) {
            m_process = 0;
        }
        return hasEnded ? status : -1;
    }
    bool hasEnded()
    {
        int status = 0;
        if (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == m_process) {
            m_process = 0;
        }
        return m_process == 0;
    }
    void kill()
    {
        if (m_process > 0) {
            ::kill(m_process, SIGKILL);
            awaitEnd(5000);
        }
    }
    bool isReady() const
    {
        return call(readyAddress(), "GET /readiness HTTP/1.1\r\nHost: ready\r\n", "", 1000).status()
            == 200;
    }

private:
    const host_options m_options;
    const std::string m_ip;
    const std::string m_file;
    pid_t m_process = 0;
};

// One request that an instance has begun to run.
struct run
{
    std::string id;
    moment begunAt;
};

// What all instances of a service do with keys, as only an observer of all of them sees it. Thread
// safe.
class key_observer
{
public:
    // A request that runs, and until when the instance's grant of its key was in force.
    struct work
    {
        std::string instance;
        std::string id;
        int key;
        moment holdEnd;
    };

    explicit key_observer(record &log)
        : m_log(log)
    { }
    void begin(const work &begun)
    {
        const std::lock_guard lock(m_mutex);
        m_running.push_back(begun);
    }
    void end(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_running, [&](const work &each) { return each.id == id; });
    }
    // Whether the instance works on a key from `from` to `to`.
    bool isAtWork(const std::string &instance, int from, int to)
    {
        const std::lock_guard lock(m_mutex);
        for (const work &each : m_running) {
            if (each.instance == instance && from <= each.key && each.key <= to) {
                return true;
            }
        }
        return false;
    }
    // Records that an instance takes keys by a grant, and counts the requests at which another one
    // is at work then, on one of the keys, before that one's hold would have run out.
    void take(const std::string &instance, int from, int to, int64_t fence)
    {
        const std::lock_guard lock(m_mutex);
        const moment now = clock_type::now();
        for (const work &each : m_running) {
            if (each.instance != instance && from <= each.key && each.key <= to
                && now < each.holdEnd && m_seen.insert(instance + " " + each.id).second) {
                ++m_broken;
                m_log.write("BROKEN: " + instance + " is given keys " + std::to_string(from) + "-"
                            + std::to_string(to) + " with fence " + std::to_string(fence)
                            + " while " + each.instance + " is at work on key "
                            + std::to_string(each.key) + " (request " + each.id
                            + "); its hold would have run out in "
                            + std::to_string(std::chrono::duration_cast<milliseconds>(each.holdEnd
                                                                                      - now)
                                                 .count())
                            + " ms");
            }
        }
    }
    int broken()
    {
        const std::lock_guard lock(m_mutex);
        return m_broken;
    }

private:
    record &m_log;
    std::mutex m_mutex;
    std::vector<work> m_running;
    // Instances that were given keys, each with the request that was at work: each pair counts once.
    std::set<std::string> m_seen;
    int m_broken = 0;
};

struct instance_options
{
    std::string name;
    std::string service;
    std::string address;
    std::string controlAddress;
    int slots = 9;
    bool isKeyed = false;
    int workMs = 30;
    // Set for a service that is divided by key.
    key_observer *keys = nullptr;
};

// An instance: heartbeats, grants, requests. Thread safe.
class instance
{
public:
    // What the instance does with an order (a grant or a release): answer it, or leave it without
    // an answer and carry it out late: 2 to 12 s later, the stated time after the next grant of
    // its keys.
    using order_rule = std::function<std::optional<milliseconds>(bool isRelease)>;

    instance(instance_options options, record &log)
        : m_options(std::move(options))
        , m_log(log)
        , m_born(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
        , m_server(m_options.address, [this](connection &from, const message &request) {
            return serve(from, request);
        })
    { }
    ~instance()
    {
        stopHeartbeats();
        m_server.close();
        const std::lock_guard lock(m_mutex);
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }
    const std::string &name() const { return m_options.name; }
    int64_t born() const { return m_born; }

    std::string reportBody(const std::string &state)
    {
        return "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.slots)
            + ",\"state\":\"" + state + "\",\"coldRemaining\":\"0ms\",\"sequence\":"
            + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + "}";
    }
    // Sends a call to the daemon beside the instance. Returns the status of the response, 0 without.
    int tell(const std::string &operation, const std::string &body) const
    {
        return call(m_options.controlAddress,
                    "POST /rpc?call=instances." + operation + "&of=" + m_options.name
                        + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n",
                    body, 1000)
            .status();
    }
    void startHeartbeats(int intervalMs)
    {
        m_isBeating = true;
        m_beats = std::thread([this, intervalMs] {
            while (m_isBeating) {
                tell("heartbeat", reportBody("ready"));
                waitUntil([this] { return !m_isBeating; }, intervalMs);
            }
        });
    }
    void stopHeartbeats()
    {
        m_isBeating = false;
        if (m_beats.joinable()) {
            m_beats.join();
        }
    }
    // The process ends: its port and its connections close.
    void end() { m_server.close(); }

    void setOrderRule(order_rule rule)
    {
        const std::lock_guard lock(m_mutex);
        m_orderRule = std::move(rule);
    }
    // Which rejections for a key that is not held are answered a second time, late: where the next
    // response on their connection is expected. Gets the time since the last grant arrived.
    using repeat_rule = std::function<bool(milliseconds sinceGrant)>;
    void setRepeatRule(repeat_rule rule)
    {
        const std::lock_guard lock(m_mutex);
        m_repeatRule = std::move(rule);
    }

    // From now on the instance may spoil one answer in a while: at most the share `x` of those that it
    // has given since.
    void beginFault(double x)
    {
        const std::lock_guard lock(m_mutex);
        m_faultShare = x;
        m_answersInFault = m_spoilt = 0;
    }
    // How many answers were given since then, and how many of them were spoilt.
    std::pair<int, int> fault()
    {
        const std::lock_guard lock(m_mutex);
        return {m_answersInFault, m_spoilt};
    }
    // Whether the answer to a release is sent a second time, late: where the next response on its
    // connection is expected.
    void setReleaseRepeated(bool isRepeated)
    {
        const std::lock_guard lock(m_mutex);
        m_isReleaseRepeated = isRepeated;
    }

    // Whether spoilt responses have a body that goes on until the caller closes the connection.
    void setEndless(bool isEndless)
    {
        const std::lock_guard lock(m_mutex);
        m_isEndless = isEndless;
    }

    std::vector<run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    int rejections() const { return m_rejections; }
    int responses() const { return m_responses; }
    int repeated() const { return m_repeated; }
    bool holds(int key)
    {
        const std::lock_guard lock(m_mutex);
        return holdsKey(key);
    }
    // The intervals of keys of which a grant is in force now.
    std::vector<std::pair<int, int>> holdings()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::pair<int, int>> result;
        for (const held &each : m_held) {
            if (clock_type::now() < each.end) {
                result.emplace_back(each.from, each.to);
            }
        }
        return result;
    }
    int orders() const { return m_orders; }
    int lateOrders() const { return m_lateOrders; }

private:
    struct held
    {
        int from;
        int to;
        moment end;
        moment grantedAt;
    };

    bool holdsKey(int key) const
    {
        const moment now = clock_type::now();
        for (const held &each : m_held) {
            if (each.from <= key && key <= each.to && now < each.end) {
                return true;
            }
        }
        return false;
    }
    // Must be called with the mutex held.
    bool maySpoil()
    {
        const bool isWithin = m_spoilt + 1 <= m_faultShare * m_answersInFault;
        m_spoilt += isWithin ? 1 : 0;
        return isWithin;
    }
    moment holdEnd(int key) const
    {
        moment end{};
        for (const held &each : m_held) {
            end = each.from <= key && key <= each.to ? std::max(end, each.end) : end;
        }
        return end;
    }
    moment lastGrant(int key) const
    {
        moment last{};
        for (const held &each : m_held) {
            last = each.from <= key && key <= each.to ? std::max(last, each.grantedAt) : last;
        }
        return last;
    }
    void drop(int from, int to)
    {
        std::vector<held> rest;
        for (const held &each : m_held) {
            if (each.to < from || to < each.from) {
                rest.push_back(each);
                continue;
            }
            if (each.from < from) {
                rest.push_back({each.from, from - 1, each.end, each.grantedAt});
            }
            if (to < each.to) {
                rest.push_back({to + 1, each.to, each.end, each.grantedAt});
            }
        }
        m_held = std::move(rest);
    }
    // Carries an order out. Returns the status of its answer.
    int carryOut(const std::string &body, bool isRelease, moment arrivedAt)
    {
        const int from = static_cast<int>(numberMember(body, "from"));
        const int to = static_cast<int>(numberMember(body, "to"));
        const int64_t fence = numberMember(body, "fence");
        const std::lock_guard lock(m_mutex);
        if (isRelease) {
            drop(from, to);
            return 200;
        }
        for (int key = from; key <= to; ++key) {
            if (m_fences[static_cast<size_t>(key)] > fence) {
                return 409;
            }
        }
        for (int key = from; key <= to; ++key) {
            m_fences[static_cast<size_t>(key)] = fence;
        }
        drop(from, to);
        m_lastGrantAt = arrivedAt;
        const double hold = std::stod(textMember(body, "hold_time"));
        m_held.push_back(
            {from, to, arrivedAt + milliseconds(static_cast<int64_t>(hold)), arrivedAt});
        if (m_options.keys != nullptr) {
            m_options.keys->take(m_options.name, from, to, fence);
        }
        return 200;
    }
    // Waits until the work on the keys of a release has ended.
    void awaitWork(const std::string &body)
    {
        const int from = static_cast<int>(numberMember(body, "from"));
        const int to = static_cast<int>(numberMember(body, "to"));
        waitUntil([&] {
            return m_options.keys == nullptr || !m_options.keys->isAtWork(m_options.name, from, to);
        }, 30000);
    }
    bool serveOrder(connection &from, const message &request, bool isRelease)
    {
        const moment arrivedAt = clock_type::now();
        ++m_orders;
        std::optional<milliseconds> delay;
        {
            const std::lock_guard lock(m_mutex);
            delay = m_orderRule ? m_orderRule(isRelease) : std::nullopt;
        }
        if (!delay) {
            const int status = carryOut(request.body, isRelease, arrivedAt);
            if (isRelease) {
                awaitWork(request.body);
                m_log.write(m_options.name + " has released " + request.body);
            }
            const std::string answer =
                responseText(status, isRelease ? "Handover: h1\r\n" : "", "{}");
            const std::lock_guard lock(m_mutex);
            ++m_answersInFault;
            if (isRelease && m_isReleaseRepeated && maySpoil()) {
                m_pending[from.number()] = answer;
            }
            return from.write(answer);
        }
        ++m_lateOrders;
        m_log.write(m_options.name + " leaves an order without an answer: " + request.target() + " "
                    + request.body);
        {
            const std::lock_guard lock(m_mutex);
            m_threads.emplace_back([this, body = request.body, isRelease, arrivedAt, delay] {
                sleepFor(2000);
                waitUntil([&] {
                    const std::lock_guard guard(m_mutex);
                    const moment grantedAt =
                        lastGrant(static_cast<int>(numberMember(body, "from")));
                    return !m_server.isOpen()
                        || (grantedAt > arrivedAt + milliseconds(2000)
                            && clock_type::now() >= grantedAt + *delay);
                }, 9900);
                carryOut(body, isRelease, arrivedAt);
                m_log.write(m_options.name + " carries the late order out: " + body);
            });
        }
        // No answer, and nothing more on this connection.
        waitUntil([&] { return !m_server.isOpen() || from.isClosed(); }, 30000);
        return false;
    }
    bool sendWithoutEnd(connection &from, const std::string &id)
    {
        m_log.write(m_options.name + " sends a body without end for request " + id);
        const auto chunk = [](size_t bytes) {
            char length[16];
            std::snprintf(length, sizeof length, "%zx\r\n", bytes);
            return length + std::string(bytes, 'e') + "\r\n";
        };
        bool isOpen = from.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Signature: s-"
                                 + id + "-" + m_options.name
                                 + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (isOpen && m_server.isOpen() && !from.isClosed()) {
            isOpen = from.write(chunk(16384));
        }
        m_log.write(m_options.name + " sees the close of the connection of request " + id);
        return false;
    }
    bool serve(connection &from, const message &request)
    {
        const std::string target = request.target();
        std::string pending;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_pending.find(from.number());
            if (found != m_pending.end()) {
                pending = found->second;
                m_pending.erase(found);
            }
        }
        if (!pending.empty()) {
            ++m_repeated;
            m_log.write(m_options.name + " sends an extra response, late, before that to " + target
                        + " " + request.field("Request-Id") + request.body);
            from.write(pending);
        }
        if (target == "/grant" || target == "/release") {
            return serveOrder(from, request, target == "/release");
        }
        if (target == "/health") {
            return from.write(responseText(200, "Instance-Id: " + m_options.name + "\r\n", ""));
        }
        ++m_responses;
        {
            const std::lock_guard lock(m_mutex);
            ++m_answersInFault;
        }
        const std::string id = request.field("Request-Id");
        const std::string key = request.field("Shard-Key");
        bool isHeld = true;
        {
            const std::lock_guard lock(m_mutex);
            isHeld = request.field("Expected-Instance") == m_options.name
                && (!m_options.isKeyed || holdsKey(std::stoi(key)));
            if (isHeld) {
                m_runs.push_back({id, clock_type::now()});
                if (m_options.keys != nullptr) {
                    m_options.keys->begin(
                        {m_options.name, id, std::stoi(key), holdEnd(std::stoi(key))});
                }
            }
        }
        if (!isHeld) {
            ++m_rejections;
            const std::string rejection = responseText(
                421, "Request-Id: " + id + "\r\nInstance-Id: " + m_options.name
                    + "\r\nNot-Executed: 1\r\n", "");
            m_log.write(m_options.name + " rejects request " + id + " with 421");
            const std::lock_guard lock(m_mutex);
            const auto sinceGrant =
                std::chrono::duration_cast<milliseconds>(clock_type::now() - m_lastGrantAt);
            if (m_repeatRule && m_repeatRule(sinceGrant) && maySpoil()) {
                m_pending[from.number()] = rejection;
            }
            return from.write(rejection);
        }
        m_log.write(m_options.name + " runs request " + id);
        const bool hasEnded = waitUntil([&] { return !m_server.isOpen(); }, m_options.workMs);
        if (m_options.keys != nullptr) {
            m_options.keys->end(id);
        }
        if (hasEnded) {
            return false;
        }
        bool isEndless = false;
        {
            const std::lock_guard lock(m_mutex);
            isEndless = m_isEndless && maySpoil();
        }
        if (isEndless) {
            return sendWithoutEnd(from, id);
        }
        return from.write(responseText(200, "Request-Id: " + id + "\r\nServer-Signature: s-" + id
                                           + "-" + m_options.name + "\r\n", "done " + id));
    }

    const instance_options m_options;
    record &m_log;
    const int64_t m_born;
    std::mutex m_mutex;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isBeating{false};
    std::atomic<int> m_rejections{0};
    std::atomic<int> m_responses{0};
    std::atomic<int> m_repeated{0};
    std::atomic<int> m_orders{0};
    std::atomic<int> m_lateOrders{0};
    std::thread m_beats;
    order_rule m_orderRule;
    repeat_rule m_repeatRule;
    bool m_isReleaseRepeated = false;
    bool m_isEndless = false;
    double m_faultShare = 0;
    int m_answersInFault = 0;
    int m_spoilt = 0;
    moment m_lastGrantAt{};
    std::vector<run> m_runs;
    std::vector<held> m_held;
    std::vector<int64_t> m_fences = std::vector<int64_t>(65536, 0);
    std::map<uint64_t, std::string> m_pending;
    std::vector<std::thread> m_threads;
    server m_server;
};

// Sends one request of a client to the sidecar of its machine. The client leaves `extraMs` after its
// deadline.
inline message request(const std::string &address, const std::string &method,
                       const std::string &path, const std::string &id, std::optional<int> key,
                       int timeoutMs, const std::string &body, int extraMs = 1000)
{
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
        + "\r\nRequest-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (key) {
        head += "Shard-Key: " + std::to_string(*key) + "\r\n";
    }
    return call(address, head, body, timeoutMs + extraMs);
}

inline std::string route(const std::string &prefix, const std::string &kind,
                         const std::string &service, int timeoutMs)
{
    return "{\"name\":\"r" + prefix + "\",\"host\":\"shop.example\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + std::to_string(timeoutMs)
        + "ms\",\"targetLatency\":\"600ms\",\"priority\":1,\"service\":\"" + service
        + "\",\"maxAttempts\":2}";
}

inline std::string desiredState(const std::string &routes, const std::string &services)
{
    return "{\"version\":\"00000007\",\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
          "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

// A folder for settings and logs, removed at the end.
class folder
{
public:
    folder()
    {
        std::string path =
            (std::filesystem::temp_directory_path() / "persimmonrail-review-XXXXXX").string();
        if (::mkdtemp(path.data()) == nullptr) {
            std::exit(2);
        }
        m_path = path;
    }
    ~folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            for (int i = 1; i < 20; ++i) {
                const std::string file = m_path + "/node-" + std::to_string(i);
                ::unlink(file.c_str());
                ::unlink((file + ".log").c_str());
            }
            ::rmdir(m_path.c_str());
        } else {
            std::cerr << "logs: " << m_path << "\n";
        }
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace site
