#include "persimmonrail/router/store_proxy.h"

#include "persimmonrail/http/http_server.h"

#include <catch2/catch.hpp>

#include <map>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A store of one process; `fault` is what each call ends with while it is not ok.
struct memory_store
{
    std::map<std::string, stored_object> objects;
    uint64_t revision = 0;
    absl::Status fault;
    int calls = 0;

    object_api api()
    {
        object_api made;
        made.get = [this](const std::string &key) -> absl::StatusOr<stored_object> {
            ++calls;
            if (!fault.ok()) {
                return fault;
            }
            const auto found = objects.find(key);
            return found == objects.end() ? absl::NotFoundError(key)
                                          : absl::StatusOr<stored_object>(found->second);
        };
        made.put = [this](const std::string &key, uint64_t version,
                          const std::string &value) -> absl::StatusOr<uint64_t> {
            ++calls;
            if (!fault.ok()) {
                return fault;
            }
            if (objects[key].version != version) {
                return absl::AbortedError("version differs");
            }
            objects[key] = {key, ++revision, false, value};
            return revision;
        };
        made.list = [this](const std::string &) -> absl::StatusOr<object_list> {
            ++calls;
            if (!fault.ok()) {
                return fault;
            }
            object_list list{revision, {}};
            for (const auto &[key, object] : objects) {
                list.objects.push_back(object);
            }
            return list;
        };
        return made;
    }
};

struct proxy_site
{
    memory_store store;
    memory_store own;
    std::unique_ptr<http_server> peer;
    std::vector<bool> changes;
    steady_time now = steady_time(1000s);
    object_api proxied;

    proxy_site()
    {
        peer = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            std::string body;
            exchange.readAll(body, 1 << 20, std::chrono::steady_clock::now() + 5s);
            exchange.respond(200, serveStoreProxy(store.api(), body), "application/json");
        }));
        proxied = makeProxiedStore(
            own.api(),
            {[this] {
                 return std::vector<std::string>{"127.0.0.1:1", peer->address()};
             },
             [this](bool isDirect, const absl::Status &) { changes.push_back(isDirect); },
             [this] { return now; }});
    }
};

} // namespace

// Guards against an owner that loses its keys, or can't give them away, because only its own way
// to the store is cut.
TEST_CASE("calls go through a peer while the direct way fails", "[router]")
{
    proxy_site site;
    site.own.fault = GENERATE(absl::UnavailableError("cut"), absl::ResourceExhaustedError("429"));
    CHECK(*site.proxied.put("fleet/x", 0, R"({"a":"b"})") == 1);
    CHECK(site.proxied.get("fleet/x")->value == R"({"a":"b"})");
    CHECK(site.proxied.list("fleet/")->objects.size() == 1);
    CHECK(absl::IsAborted(site.proxied.put("fleet/x", 7, "{}").status()));
    CHECK(absl::IsNotFound(site.proxied.get("fleet/y").status()));
    // The direct way is not tried at each call.
    CHECK(site.own.calls == 1);
    site.own.fault = absl::OkStatus();
    site.now += 1s;
    CHECK(absl::IsNotFound(site.proxied.get("fleet/x").status()));
    CHECK(site.own.calls == 2);
    CHECK(site.changes == std::vector<bool>{false, true});
}

// Guards against a write that takes effect twice, or that is taken for one without effect.
TEST_CASE("a write whose fate is unknown is not sent another way", "[router]")
{
    proxy_site site;
    site.own.fault = absl::UnknownError("no answer");
    CHECK(absl::IsUnknown(site.proxied.put("fleet/x", 0, "{}").status()));
    CHECK(site.store.calls == 0);
}

TEST_CASE("without any way the direct failure is told", "[router]")
{
    proxy_site site;
    site.own.fault = absl::UnavailableError("cut");
    site.store.fault = absl::UnavailableError("down");
    CHECK(absl::IsUnavailable(site.proxied.get("fleet/x").status()));
    CHECK(absl::IsUnavailable(site.proxied.list("fleet/").status()));
}

TEST_CASE("malformed calls of a peer are answered with an error", "[router]")
{
    memory_store store;
    const std::string body =
        GENERATE("", "[]", "{}", R"({"operation":"drop","key":"a","version":0,"value":""})",
                 R"({"operation":"put","key":"a","version":"x","value":""})");
    const std::string response = serveStoreProxy(store.api(), body);
    CHECK(response.find("\"code\":3") != std::string::npos);
    CHECK(store.calls == 0);
}
