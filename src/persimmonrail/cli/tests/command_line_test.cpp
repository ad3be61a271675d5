#include "persimmonrail/cli/command_line.h"
#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/objects/http_object_api.h"
#include "standins/json_server.h"
#include "standins/platform_standin.h"

#include <catch2/catch.hpp>

#include <future>
#include <sstream>

using namespace persimmonrail;

namespace {

constexpr milliseconds timeout{60'000};

std::string documentText(const std::string &name, const std::string &rank = "crew")
{
    return R"({"service":")" + name
        + R"(","ranks":[{"name":"crew","target_ms":5}],"operations":[{"name":"a","method":"*",
        "path_prefix":"/","rank":")"
        + rank + R"(","timeout_ms":5,"repeatable":true}]})";
}

const std::string validText = documentText("ledger");
const std::string changedText = documentText("ledger") + "\n";

struct command_result
{
    cli_exit code;
    std::string out;
    std::string err;
};

// A platform stand-in and hooks whose files are kept in memory and whose clock advances only in
// sleepFor().
class cli_fixture
{
public:
    cli_fixture()
        : api(makeHttpObjectApi(standin.address(), timeout))
    {
        hooks = makeCliHooks();
        hooks.makeObjectApi = [this](const std::string &) { return api; };
        hooks.readFile = [this](const std::string &path) -> absl::StatusOr<std::string> {
            const auto found = files.find(path);
            if (found == files.end()) {
                return absl::NotFoundError("cannot read " + path);
            }
            return found->second;
        };
        hooks.now = [this] { return now; };
        hooks.sleepFor = [this](milliseconds duration) { now += duration; };
    }

    command_result run(std::vector<std::string> arguments)
    {
        const bool usesPlatform = arguments[0] != "validate" && arguments[0] != "explain";
        if (usesPlatform) {
            arguments.push_back("--platform-address=" + standin.address());
        }
        std::ostringstream out;
        std::ostringstream err;
        const auto code = runCommandLine(arguments, {}, hooks, out, err);
        return {code, out.str(), err.str()};
    }

    // Waits for a document that is stored after `revision`, decides on the document as the
    // coordinator does and stores the status.
    std::future<void> runCoordinator(uint64_t revision)
    {
        return std::async(std::launch::async, [this, revision] {
            const auto changes = api.watch("config/ledger", revision, timeout);
            const auto decision =
                decideAcceptance(changes->objects.back(), std::nullopt, std::nullopt, {});
            const auto current = api.get("status/ledger");
            api.put("status/ledger", current.ok() ? current->version : 0,
                    encodeStatus(*decision.status))
                .IgnoreError();
        });
    }

    standins::platform_standin standin;
    object_api api;
    cli_hooks hooks;
    std::map<std::string, std::string> files = {{"valid", validText},
                                                {"changed", changedText},
                                                {"invalid", documentText("ledger", "nobody")}};
    steady_time now{};
};

void checkContains(const std::string &text, const std::string &part)
{
    CAPTURE(text, part);
    CHECK(text.find(part) != std::string::npos);
}

} // namespace

TEST_CASE("validate reports all errors of a file", "[cli]")
{
    cli_fixture f;
    CHECK(f.run({"validate", "valid"}).code == cli_exit::Ok);
    const auto rejected = f.run({"validate", "invalid"});
    CHECK(rejected.code == cli_exit::Failed);
    checkContains(rejected.err, "operations[0].rank: no rank is named 'nobody'");
    CHECK(f.run({"validate", "missing"}).code == cli_exit::Failed);
    CHECK(f.standin.calls().reads == 0);
}

TEST_CASE("apply stores a document and prints that it was accepted", "[cli]")
{
    cli_fixture f;
    auto coordinator = f.runCoordinator(0);
    const auto applied = f.run({"apply", "valid"});
    coordinator.get();
    CHECK(applied.code == cli_exit::Ok);
    checkContains(applied.out, "accepted: version 1");
    CHECK(f.api.get("config/ledger")->value == validText);
    // Applying the same text again changes nothing.
    const auto again = f.run({"apply", "valid"});
    CHECK(again.code == cli_exit::Ok);
    checkContains(again.out, "unchanged: config/ledger version 1");
}

TEST_CASE("apply prints why a document was rejected", "[cli]")
{
    cli_fixture f;
    auto coordinator = std::async(std::launch::async, [&] {
        const auto changes = f.api.watch("config/ledger", 0, timeout);
        const document_status status{changes->objects.back().version,
                                     document_state::Rejected,
                                     {},
                                     {{"key", "cannot change"}}};
        return f.api.put("status/ledger", 0, encodeStatus(status)).ok();
    });
    const auto applied = f.run({"apply", "valid"});
    CHECK(coordinator.get());
    CHECK(applied.code == cli_exit::Failed);
    checkContains(applied.out, "rejected: version 1\nkey: cannot change");
}

TEST_CASE("an invalid document is not written", "[cli]")
{
    cli_fixture f;
    CHECK(f.run({"apply", "invalid"}).code == cli_exit::Failed);
    CHECK(f.standin.calls().writes == 0);
}

// Guards against one operator overwriting the change of another operator unnoticed: both read the
// same version, and the second write replaces the first.
TEST_CASE("a document that another operator changed or deleted is not overwritten", "[cli]")
{
    cli_fixture f;
    REQUIRE(f.api.put("config/ledger", 0, validText).ok());
    const std::string other = validText + "  ";
    SECTION("the other operator writes between the read and the write")
    {
        auto racing = f.api;
        racing.put = [&f, &other](const std::string &key, uint64_t version,
                                  const std::string &value) {
            f.api.put(key, version, other).IgnoreError();
            return f.api.put(key, version, value);
        };
        f.hooks.makeObjectApi = [&](const std::string &) { return racing; };
        const auto applied = f.run({"apply", "changed"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err, "config/ledger is at version 2, expected version 1");
    }
    SECTION("the other operator writes before the command, which expects a version")
    {
        REQUIRE(f.api.put("config/ledger", 1, other).ok());
        const auto applied = f.run({"apply", "changed", "--expect-version", "1"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err, "config/ledger is at version 2, expected version 1");
    }
    SECTION("the document was deleted")
    {
        REQUIRE(f.api.remove("config/ledger", 1).ok());
        const auto applied = f.run({"apply", "changed", "--expect-version=1"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err, "config/ledger does not exist");
        CHECK(absl::IsNotFound(f.api.get("config/ledger").status()));
        return;
    }
    CHECK(f.api.get("config/ledger")->value == other);
}

// Guards against reporting a failure for a document that takes effect, and against storing the
// document twice, when the response to the write is lost.
TEST_CASE("apply reads the document back when the response to its write is lost", "[cli]")
{
    cli_fixture f;
    REQUIRE(f.api.put("config/ledger", 0, validText).ok());
    SECTION("the write took effect")
    {
        f.standin.dropResponses(1);
        auto coordinator = f.runCoordinator(1);
        const auto applied = f.run({"apply", "changed"});
        coordinator.get();
        CHECK(applied.code == cli_exit::Ok);
        checkContains(applied.out, "version 2 (confirmed by reading back)");
    }
    SECTION("the write is lost or takes effect after the read")
    {
        const bool takesEffectLate = GENERATE(true, false);
        int attempts = 0;
        auto lossy = f.api;
        lossy.put = [&](const std::string &key, uint64_t version,
                        const std::string &value) -> absl::StatusOr<uint64_t> {
            if (++attempts == 1) {
                return absl::UnknownError("no response");
            }
            if (takesEffectLate) {
                f.api.put(key, version, value).IgnoreError();
            }
            return f.api.put(key, version, value);
        };
        f.hooks.makeObjectApi = [&](const std::string &) { return lossy; };
        auto coordinator = f.runCoordinator(1);
        const auto applied = f.run({"apply", "changed"});
        coordinator.get();
        CHECK(applied.code == cli_exit::Ok);
        CHECK(attempts == 2);
    }
    CHECK(f.api.get("config/ledger")->version == 2);
    CHECK(f.api.get("config/ledger")->value == changedText);
}

TEST_CASE("apply gives up after its time limit", "[cli]")
{
    cli_fixture f;
    SECTION("no coordinator")
    {
        const auto applied = f.run({"apply", "valid", "--wait-ms=0"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err,
                      "version 1 is stored, but has been neither accepted nor rejected yet");
    }
    SECTION("the platform is down")
    {
        f.standin.setOutage(true);
        CHECK(f.run({"apply", "valid", "--wait-ms=1000"}).code == cli_exit::Failed);
        CHECK(f.now >= steady_time{milliseconds(1000)});
    }
    SECTION("the platform goes down after the write")
    {
        auto failing = f.api;
        failing.put = [&](const std::string &key, uint64_t version, const std::string &value) {
            f.standin.dropResponses(1);
            auto written = f.api.put(key, version, value);
            f.standin.setOutage(true);
            return written;
        };
        f.hooks.makeObjectApi = [&](const std::string &) { return failing; };
        const auto applied = f.run({"apply", "valid", "--wait-ms=1000"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err, "may have been stored");
    }
    SECTION("the coordinator decided on a later version")
    {
        const document_status later{9, document_state::Accepted, {}, {}};
        REQUIRE(f.api.put("status/ledger", 0, encodeStatus(later)).ok());
        const auto applied = f.run({"apply", "valid"});
        CHECK(applied.code == cli_exit::Failed);
        checkContains(applied.err, "was replaced by version 9");
    }
}

TEST_CASE("show and status print the stored document and status", "[cli]")
{
    cli_fixture f;
    CHECK(f.run({"show", "ledger"}).code == cli_exit::Failed);
    CHECK(f.run({"status", "ledger"}).code == cli_exit::Failed);
    REQUIRE(f.api.put("config/ledger", 0, validText).ok());
    REQUIRE(f.api.put("accepted/ledger", 0, encodeAccepted({1, validText})).ok());
    const document_status status{
        1, document_state::Accepted, wall_time{milliseconds(1'700'000'000'000)}, {}};
    REQUIRE(f.api.put("status/ledger", 0, encodeStatus(status)).ok());
    REQUIRE(f.api.put("config/ledger-2", 0, documentText("ledger-2")).ok());
    const auto shown = f.run({"show", "ledger"});
    CHECK(shown.out
          == validText
              + "\nversion: 1\naccepted: version 1\nledger: version 1 accepted "
                "2023-11-14T22:13:20Z\n");
    const auto all = f.run({"status"});
    CHECK(all.out
          == "ledger: version 1 accepted 2023-11-14T22:13:20Z\n"
             "ledger-2: version 4 is neither accepted nor rejected yet\n");
    CHECK(f.run({"status", "ledger"}).out == "ledger: version 1 accepted 2023-11-14T22:13:20Z\n");
    f.standin.setOutage(true);
    CHECK(f.run({"status"}).code == cli_exit::Failed);
    CHECK(f.run({"show", "ledger"}).code == cli_exit::Failed);
}

TEST_CASE("members are printed one per line", "[cli]")
{
    cli_fixture f;
    REQUIRE(f.api.put("member/ledger-0", 0, R"({"slots":20,"region":"bav\u001b"})").ok());
    REQUIRE(f.api.put("member/ledger-1", 0, "damaged").ok());
    const auto members = f.run({"members"});
    CHECK(members.out == "ledger-0 region=bav\\x1b slots=20\n");
    checkContains(members.err, "ledger-1: not valid JSON");
    CHECK(members.code == cli_exit::Failed);
}

TEST_CASE("explain prints one line per field of the daemon's response", "[cli]")
{
    standins::json_server daemon("127.0.0.1:0", 1, [](const standins::json_call &call) {
        standins::json_response response{call.path == "/v1/explain" ? 200 : 404};
        response.body->set("key", call.text("service") + "/" + call.text("key"));
        Poco::JSON::Object owner;
        owner.set("name", "ledger-1");
        response.body->set("owner", owner);
        return response;
    });
    cli_fixture f;
    const auto explained = f.run({"explain", "--daemon", daemon.address(), "ledger", "a&b=c"});
    CHECK(explained.code == cli_exit::Ok);
    CHECK(explained.out == "key: ledger/a&b=c\nowner.name: ledger-1\n");
}

namespace {

// The explanation of a request that a hot owner may reject, as a router daemon states it.
const std::string explanationText =
    R"({"request":{"method":"GET","host":"h","path":"/k/x","bytes":0,"key":5},"zone":"nord",)"
    R"("local_upstream":{"upstream":"i-b/1","service":"keyed","state":"none","queue":{"running":1,)"
    R"("waiting":0,"limit":9,"mean_service_ms":90},"cold":true,"cold_remaining_ms":700,)"
    R"("cold_permitted_per_s":14,"recent_starts":3},)"
    R"("desired_state":{"version":7,"age_ms":12},"directory":{"epoch":1,"revision":44,"age_ms":8},)"
    R"("evacuations":{},"route":{"name":"k\u001b","host":"h","path_prefix":"/k/","rank":1,)"
    R"("objective_ms":500,"timeout_ms":2000,"max_attempts":2,"repeatable":true,)"
    R"("estimated_retry_age_ms":0},"services":[{"service":"keyed","share":1,"keyed":true,)"
    R"("owner":{"upstream":"i-a/1","serving":true,"fence":9,"first_key":0,"last_key":99,)"
    R"("takeover_delay_ms":0,"placement_epoch":1,"placement_revision":40},"upstreams":[)"
    R"({"upstream":"i-a/1","zone":"sued","daemon":"127.0.0.1:1","local":false,"chance":1,)"
    R"("expected_ms":230,"service_ms":100,"outstanding":9,"limit":9,"in_flight":1,)"
    R"("zone_factor":1.15,"report":{"running":8,"waiting":0,"limit":9,"mean_service_ms":100,)"
    R"("age_ms":40},"failures":2,"penalty_ms":250,"draining":true,"zone_evacuated":true,)"
    R"("daemon_silent":true}],"upstreams_left_out":0,"rejections":[{"reason":"overload-expected",)"
    R"("by":"caller-daemon","chance":0.25,"status":503,"retry_after_ms":80,"tried_again":false}]}]})";

} // namespace

TEST_CASE("explain --router prints the explanation as text or as JSON", "[cli]")
{
    cli_fixture f;
    std::string asked;
    f.hooks.httpExchange = [&asked](const std::string &address, const std::string &target) {
        asked = address + target;
        return http_response{200, explanationText};
    };
    std::vector<std::string> arguments = {"explain",  "--router=127.0.0.1:7",
                                          "--host=h", "--path=/k/x?a=1&b",
                                          "--key=5",  "--timeout-ms=900"};
    const auto text = f.run(arguments);
    CHECK(text.code == cli_exit::Ok);
    CHECK(asked == "127.0.0.1:7/v1/explain?host=h&path=%2Fk%2Fx%3Fa%3D1%26b&key=5&timeout=900");
    for (const char *part :
         {"request: GET h/k/x, key 5, 0 bytes\n", "desired state: version 7, received 12 ms ago\n",
          "upstream beside it: i-b/1, service keyed\n  queue: 1 running",
          "  cold for 700 ms: 3 of 14 permitted starts used in the last second\n",
          "route: k\\x1b (h/k/), rank 1, objective 500 ms", "owner: i-a/1, keys 0-99, fence 9",
          "expected 230 ms: service 100 ms x (1 + (outstanding 9 / limit 9)^2) x zone factor 1.15",
          "reported 40 ms ago: 8 running, 0 waiting, limit 9", "penalty for another 250 ms after 2",
          "its zone is evacuated\n", "its daemon has not responded lately\n",
          "rejected with probability 0.25: overload-expected, by the daemon asked, status 503",
          ", Retry-After 80 ms\n"}) {
        checkContains(text.out, part);
    }
    arguments.push_back("--json");
    CHECK(f.run(arguments).out == explanationText + "\n");
}

// Guards against scripts that can't tell why there is no explanation.
TEST_CASE("explain --router has an exit code for each reason against an explanation", "[cli]")
{
    struct row
    {
        absl::StatusOr<http_response> response;
        cli_exit code;
        const char *message;
    };
    const std::vector<row> rows = {
        {http_response{404, R"({"error":"no-route","message":"none"})"}, cli_exit::NoRoute,
         "status 404, no-route: none"},
        {http_response{400, R"({"error":"missing-key","message":"m"})"}, cli_exit::MissingKey,
         "missing-key: m"},
        {http_response{503, R"({"error":"no-desired-state","message":"m"})"},
         cli_exit::NoDesiredState, "no-desired-state"},
        {absl::UnavailableError("connection refused"), cli_exit::DaemonUnreachable,
         "no response from the daemon at 127.0.0.1:7: connection refused"},
        {absl::UnknownError("timeout"), cli_exit::DaemonUnreachable, "timeout"},
        {http_response{503, R"({"error":"busy","message":"ask again"})"}, cli_exit::Failed,
         "busy: ask again"},
        {http_response{503, "gone"}, cli_exit::Failed, "status 503\n"},
        {http_response{200, "persimmonrail_ready 1\n"}, cli_exit::Failed, "earlier release"},
        {http_response{200, "{}"}, cli_exit::Failed, "does not explain requests"}};
    cli_fixture f;
    for (const row &expected : rows) {
        f.hooks.httpExchange = [&expected](const std::string &, const std::string &) {
            return expected.response;
        };
        const auto result =
            f.run({"explain", "--router=127.0.0.1:7", "--host=h", "--path=/", "--json"});
        CAPTURE(expected.message);
        CHECK(result.code == expected.code);
        CHECK(result.out.empty());
        checkContains(result.err, expected.message);
    }
    CHECK(static_cast<int>(cli_exit::NoRoute) == 3);
    CHECK(static_cast<int>(cli_exit::DaemonUnreachable) == 6);
    // A daemon that really is not there.
    f.hooks.httpExchange = makeCliHooks().httpExchange;
    CHECK(f.run({"explain", "--router=127.0.0.1:1", "--host=h", "--path=/"}).code
          == cli_exit::DaemonUnreachable);
}

TEST_CASE("a usage error returns exit code 2 and sends no request", "[cli]")
{
    cli_fixture f;
    const auto arguments = GENERATE(values<std::vector<std::string>>({
        {"frobnicate"},
        {"apply"},
        {"apply", "valid", "extra"},
        {"apply", "valid", "--expect-version=-1"},
        {"apply", "valid", "--wait-ms=soon"},
        {"apply", "valid", "--daemon=127.0.0.1:1"},
        {"show", "Ledger"},
        {"status", "--shiny"},
        {"explain", "ledger", "7"},
        {"explain", "ledger", "7", "--daemon=host:1"},
        {"explain", "ledger", "7", "--daemon=127.0.0.1:1", "--host=h"},
        {"explain", "--router=host:1", "--host=h", "--path=/"},
        {"explain", "--router=127.0.0.1:1", "--path=/"},
        {"explain", "--router=127.0.0.1:1", "--host=h"},
        {"explain", "--router=127.0.0.1:1", "--host=h", "--path=/", "extra"},
        {"explain", "--router=127.0.0.1:1", "--daemon=127.0.0.1:1", "--host=h", "--path=/"},
        {"explain", "--router=127.0.0.1:1", "--host=h", "--path=/", "--key=65536"},
        {"explain", "--router=127.0.0.1:1", "--host=h", "--path=/", "--bytes=-1"},
        {"explain", "--router=127.0.0.1:1", "--host=h", "--path=/", "--timeout-ms=2s"},
        {"members", "--expect-version=1"},
    }));
    const auto rejected = f.run(arguments);
    CHECK(rejected.code == cli_exit::Usage);
    CHECK(!rejected.err.empty());
    CHECK(f.standin.calls().reads + f.standin.calls().writes == 0);
    std::ostringstream out;
    CHECK(runCommandLine({"members"}, {}, f.hooks, out, out) == cli_exit::Usage);
    CHECK(runCommandLine({"members"}, {{"PERSIMMONRAIL_PLATFORM_ADDRESS", "127.0.0.1:1"}}, f.hooks,
                         out, out)
          == cli_exit::Ok);
}
