#include "process/site.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace process_tests {
namespace {

constexpr milliseconds pollInterval{20};
// Short, because a daemon rejects idempotency keys issued before the start of its tenure plus this
// allowance. All processes of a site share one clock.
constexpr char clockSkewAllowanceMs[] = "100";
constexpr std::array<const char *, 3> zones = {"bayern-nord", "bayern-mitte", "bayern-sued"};

void require(bool condition, const std::string &message)
{
    if (!condition) {
        throw std::runtime_error(message);
    }
}

Poco::Timespan toTimespan(milliseconds time)
{
    return Poco::Timespan(std::chrono::microseconds(time).count());
}

} // namespace

bool awaitTrue(const std::function<bool()> &condition, milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Poco::JSON::Object::Ptr parseJson(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return new Poco::JSON::Object;
    }
}

child_process::child_process(const std::string &program, std::vector<std::string> arguments,
                             std::string outputFile)
    : m_outputFile(std::move(outputFile))
{
    const std::string path = std::string(PROGRAM_DIR) + "/" + program;
    std::vector<char *> argv = {const_cast<char *>(path.c_str())};
    for (auto &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const int out = open(m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    // A signal to the new process must not run the test program's handlers in it.
    sigset_t allSignals;
    sigset_t previousMask;
    sigfillset(&allSignals);
    pthread_sigmask(SIG_SETMASK, &allSignals, &previousMask);
    m_pid = fork();
    if (m_pid == 0) {
        for (const int number : {SIGHUP, SIGINT, SIGTERM}) {
            std::signal(number, SIG_DFL);
        }
        pthread_sigmask(SIG_SETMASK, &previousMask, nullptr);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    pthread_sigmask(SIG_SETMASK, &previousMask, nullptr);
    close(out);
    require(m_pid > 0, "fork failed");
}

child_process::~child_process()
{
    killAndReap();
}

void child_process::signal(int number) const
{
    // The id of a reaped process may belong to another process.
    if (!m_exitCode) {
        kill(m_pid, number);
    }
}

void child_process::killAndReap()
{
    signal(SIGKILL);
    awaitExit();
}

std::optional<int> child_process::awaitExit(milliseconds timeout)
{
    awaitTrue(
        [this] {
            int status = 0;
            if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
            return m_exitCode.has_value();
        },
        timeout);
    return m_exitCode;
}

std::string child_process::output() const
{
    return readFile(m_outputFile);
}

client_response call(const std::string &method, const std::string &address, const std::string &path,
                     const std::string &body, const std::string &idempotencyKey,
                     milliseconds timeout)
{
    client_response response;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(toTimespan(timeout));
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        if (!idempotencyKey.empty()) {
            request.set("Idempotency-Key", idempotencyKey);
        }
        request.setContentLength64(static_cast<int64_t>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse head;
        std::string content;
        Poco::StreamCopier::copyToString(session.receiveResponse(head), content);
        if (head.hasContentLength()
            && head.getContentLength64() != static_cast<int64_t>(content.size())) {
            return response;
        }
        response = {head.getStatus(),
                    false,
                    head.get("Persimmonrail-Outcome", ""),
                    head.get("Persimmonrail-Reason", ""),
                    head.get("Persimmonrail-Request-Id", ""),
                    head.get("X-Checksum", ""),
                    content};
    } catch (const Poco::Net::ConnectionRefusedException &) {
        response.isConnectionRefused = true;
    } catch (const Poco::Exception &) {
        response.status = 0;
    }
    return response;
}

std::string generateIdempotencyKey()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const auto time = static_cast<unsigned long>(now.count());
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%08lx-%04lx-7%03lx-8%03lx-%012lx", time >> 16,
                  time & 0xffff, random() & 0xfff, random() & 0xfff, random() & 0xffffffffffff);
    return text.data();
}

site::site()
{
    static std::atomic<int> count = 0;
    const int number = ++count;
    m_folder =
        (std::filesystem::temp_directory_path()
         / ("persimmonrail-process-" + std::to_string(getpid()) + "-" + std::to_string(number)))
            .string();
    std::filesystem::create_directories(m_folder);
    m_platform = std::make_unique<child_process>("platform_standin", std::vector<std::string>{},
                                                 m_folder + "/platform.out");
    const std::string marker = "listening on ";
    require(awaitTrue([&] { return m_platform->output().find('\n') != std::string::npos; }),
            "the platform stand-in did not start");
    m_platformAddress = m_platform->output().substr(marker.size());
    m_platformAddress.pop_back();

    const std::string networkPrefix = "127." + std::to_string(20 + getpid() % 200) + "."
        + std::to_string((getpid() / 200 + number) % 250) + ".";
    for (int i = 0; i < 7; ++i) {
        auto created = std::make_unique<site_instance>();
        created->service = i < 4 ? "haulbook" : "ledger";
        created->name = created->service + "-" + std::to_string(i < 4 ? i : i - 4);
        created->zone = zones[(i < 4 ? i : i - 4) % 3];
        created->ip = networkPrefix + std::to_string(i + 1);
        m_instances.push_back(std::move(created));
    }
    for (auto &instance : m_instances) {
        startDaemon(*instance);
        startUpstream(*instance);
    }
    for (auto &instance : m_instances) {
        require(awaitTrue([&] { return isReady(*instance); }),
                instance->name + " did not become ready");
    }
    for (const char *service : {"haulbook", "ledger"}) {
        child_process apply("persimmonctl",
                            {"apply", std::string(EXAMPLE_DIR) + "/" + service + ".json",
                             "--platform-address", m_platformAddress},
                            m_folder + "/apply.out");
        require(apply.awaitExit(2 * defaultTimeout) == 0,
                "persimmonctl apply failed: " + apply.output());
    }
    require(awaitKeysServed(*m_instances.front(), probeKeys()), "the probe keys are not served");
}

site::~site()
{
    for (auto &instance : m_instances) {
        instance->daemon.reset();
        instance->upstream.reset();
    }
    m_platform.reset();
    // KEEP_PROCESS_LOGS keeps the logs for the analysis of a failure.
    if (std::getenv("KEEP_PROCESS_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    }
}

site_instance &site::instance(const std::string &name)
{
    for (auto &instance : m_instances) {
        if (instance->name == name) {
            return *instance;
        }
    }
    throw std::runtime_error("the site has no instance " + name);
}

void site::startDaemon(site_instance &instance) const
{
    std::string seeds;
    for (const auto &other : m_instances) {
        if (other->name != instance.name) {
            seeds += (seeds.empty() ? "" : ",") + other->ip + ":7103";
        }
    }
    instance.daemon = std::make_unique<child_process>(
        "persimmonraild",
        std::vector<std::string>{"--instance",
                                 instance.name,
                                 "--service",
                                 instance.service,
                                 "--region",
                                 "bayern",
                                 "--availability-zone",
                                 instance.zone,
                                 "--caller-address",
                                 instance.callers(),
                                 "--peer-address",
                                 instance.ip + ":7102",
                                 "--control-address",
                                 instance.ip + ":7103",
                                 "--admin-address",
                                 instance.admin(),
                                 "--platform-address",
                                 m_platformAddress,
                                 "--clock-skew-allowance-ms",
                                 clockSkewAllowanceMs,
                                 "--seeds",
                                 seeds,
                                 "--log-file",
                                 m_folder + "/" + instance.name + ".log"},
        m_folder + "/" + instance.name + ".out");
}

void site::startUpstream(site_instance &instance) const
{
    std::vector<std::string> arguments = {
        "--instance",     instance.name,
        "--service",      instance.service,
        "--address",      instance.ip + ":7100",
        "--admin",        instance.admin(),
        "--service-ms",   "1",
        "--journal-file", m_folder + "/" + instance.name + ".journal"};
    if (instance.service == "ledger") {
        arguments.emplace_back("--ignore-grants");
    }
    instance.upstream = std::make_unique<child_process>(
        "upstream_standin", arguments, m_folder + "/" + instance.name + ".upstream.out");
}

void site::lose(site_instance &instance)
{
    instance.daemon->signal(SIGKILL);
    instance.upstream->signal(SIGKILL);
    instance.daemon->killAndReap();
    instance.upstream->killAndReap();
    instance.killedAt = std::chrono::steady_clock::now();
}

void site::sendPlatformCommand(const std::string &command) const
{
    require(call("POST", m_platformAddress, "/control/" + command).status == 200,
            "the platform stand-in rejected the control command " + command);
}

std::string site::objectValue(const std::string &key) const
{
    const auto response = call("GET", m_platformAddress, "/v1/objects/" + key);
    return response.status == 200 ? parseJson(response.body)->getValue<std::string>("value") : "";
}

std::vector<persimmonrail::placement_record> site::placements(const std::string &service) const
{
    const auto response =
        call("GET", m_platformAddress, "/v1/objects?prefix=placement/" + service + "/");
    const auto objects = parseJson(response.body)->getArray("objects");
    std::vector<persimmonrail::placement_record> result;
    for (size_t i = 0; objects && i < objects->size(); ++i) {
        const auto value =
            objects->getObject(static_cast<unsigned>(i))->getValue<std::string>("value");
        const auto record = persimmonrail::decodeRecord(value);
        require(record.ok(), "unreadable placement record: " + value);
        result.push_back(*record);
    }
    return result;
}

Poco::JSON::Object::Ptr site::explain(const site_instance &through, const std::string &key)
{
    return parseJson(call("GET", through.admin(), "/v1/explain?service=haulbook&key=" + key).body);
}

std::string site::ownerOf(const site_instance &through, const std::string &key)
{
    const auto owner = explain(through, key)->optValue<std::string>("recorded_owner", "");
    return owner.substr(0, owner.find('/'));
}

std::vector<std::string> site::probeKeys()
{
    // 32 keys fall into nearly all of the 16 partitions.
    std::vector<std::string> keys(32);
    for (size_t i = 0; i < keys.size(); ++i) {
        keys[i] = "basin-" + std::to_string(i);
    }
    return keys;
}

bool site::awaitKeysServed(const site_instance &through, const std::vector<std::string> &keys)
{
    for (const auto &key : keys) {
        const auto put = [&] {
            return call("PUT", through.callers(), "/haulbook/hauls/" + key, "probe").ran();
        };
        if (!awaitTrue(put, 2 * defaultTimeout)) {
            return false;
        }
    }
    return true;
}

bool site::isReady(const site_instance &instance)
{
    return call("GET", instance.admin(), "/readyz").status == 200;
}

std::string site::dataFile(const std::string &name, const std::string &text) const
{
    std::string path = m_folder + "/" + name;
    std::ofstream(path, std::ios::binary) << text;
    return path;
}

} // namespace process_tests
