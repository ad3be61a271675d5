#include "persimmonrail/router/store_proxy.h"

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

#include <map>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// An in-memory store. Every call fails with `error`, unless `error` is OK.
struct memory_store
{
    std::map<std::string, stored_object> objects;
    uint64_t revision = 0;
    absl::Status error;
    int calls = 0;

    object_api makeApi()
    {
        object_api api;
        api.get = [this](const std::string &key) -> absl::StatusOr<stored_object> {
            ++calls;
            if (!error.ok()) {
                return error;
            }
            const auto found = objects.find(key);
            return found == objects.end() ? absl::NotFoundError(key)
                                          : absl::StatusOr<stored_object>(found->second);
        };
        api.put = [this](const std::string &key, uint64_t version,
                         const std::string &value) -> absl::StatusOr<uint64_t> {
            ++calls;
            if (!error.ok()) {
                return error;
            }
            if (objects[key].version != version) {
                return absl::AbortedError("version differs");
            }
            objects[key] = {key, ++revision, false, value};
            return revision;
        };
        // Ignores the prefix: the tests use one only.
        api.list = [this](const std::string &) -> absl::StatusOr<object_list> {
            ++calls;
            if (!error.ok()) {
                return error;
            }
            object_list list{revision, {}};
            for (const auto &[key, object] : objects) {
                list.objects.push_back(object);
            }
            return list;
        };
        return api;
    }
};

struct store_proxy_fixture
{
    memory_store peerStore;
    memory_store directStore;
    std::unique_ptr<http_server> peer;
    std::vector<bool> pathChanges;
    steady_time now = steady_time(1000s);
    object_api proxied;

    store_proxy_fixture()
    {
        peer = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            std::string body;
            exchange.readAll(body, 1 << 20, std::chrono::steady_clock::now() + 5s);
            exchange.respond(200, serveStoreProxy(peerStore.makeApi(), body), "application/json");
        }));
        proxied =
            makeProxiedStore(directStore.makeApi(),
                             {[this] {
                                  // The first peer is unreachable.
                                  return std::vector<std::string>{"127.0.0.1:1", peer->address()};
                              },
                              [this](bool isDirectPathUp, const absl::Status &) {
                                  pathChanges.push_back(isDirectPathUp);
                              },
                              [this] { return now; }});
    }
};

} // namespace

// Guards against an owner that loses its keys, or cannot move them, although other daemons still
// reach the store.
TEST_CASE("calls go through a peer while the direct path fails", "[router]")
{
    store_proxy_fixture site;
    site.directStore.error =
        GENERATE(absl::UnavailableError("cut"), absl::ResourceExhaustedError("429"));
    CHECK(*site.proxied.put("fleet/x", 0, R"({"a":"b"})") == 1);
    CHECK(site.proxied.get("fleet/x")->value == R"({"a":"b"})");
    CHECK(site.proxied.list("fleet/")->objects.size() == 1);
    CHECK(absl::IsAborted(site.proxied.put("fleet/x", 7, "{}").status()));
    CHECK(absl::IsNotFound(site.proxied.get("fleet/y").status()));
    // The direct path was tried by the first call only.
    CHECK(site.directStore.calls == 1);
    site.directStore.error = absl::OkStatus();
    site.now += 1s;
    CHECK(absl::IsNotFound(site.proxied.get("fleet/x").status()));
    CHECK(site.directStore.calls == 2);
    CHECK(site.pathChanges == std::vector<bool>{false, true});
}

// Guards against a write that takes effect twice, or that is wrongly reported as having had no
// effect.
TEST_CASE("a write with an unknown outcome is not sent by another path", "[router]")
{
    store_proxy_fixture site;
    site.directStore.error = absl::UnknownError("no response");
    CHECK(absl::IsUnknown(site.proxied.put("fleet/x", 0, "{}").status()));
    CHECK(site.peerStore.calls == 0);
}

// Guards against versions that are rounded on their way through a peer.
TEST_CASE("versions of any epoch pass through a peer unchanged", "[router]")
{
    store_proxy_fixture site;
    site.directStore.error = absl::UnavailableError("cut");
    const uint64_t version = makeVersion(maxEpoch, (uint64_t{1} << revisionBits) - 2);
    site.peerStore.revision = version - 1;
    REQUIRE(*site.proxied.put("fleet/x", 0, "{}") == version);
    CHECK(site.proxied.get("fleet/x")->version == version);
    CHECK(site.proxied.list("fleet/")->revision == version);
    CHECK(site.proxied.list("fleet/")->objects.at(0).version == version);
    CHECK(*site.proxied.put("fleet/x", version, "{}") == version + 1);
}

TEST_CASE("without any path the direct error is returned", "[router]")
{
    store_proxy_fixture site;
    site.directStore.error = absl::UnavailableError("cut");
    site.peerStore.error = absl::UnavailableError("down");
    CHECK(absl::IsUnavailable(site.proxied.get("fleet/x").status()));
    CHECK(absl::IsUnavailable(site.proxied.list("fleet/").status()));
}

TEST_CASE("malformed calls of a peer return an error", "[router]")
{
    memory_store store;
    const std::string body =
        GENERATE("", "[]", "{}", R"({"operation":"drop","key":"a","version":0,"value":""})",
                 R"({"operation":"put","key":"a","version":"x","value":""})");
    const std::string response = serveStoreProxy(store.makeApi(), body);
    CHECK(response.find("\"code\":3") != std::string::npos);
    CHECK(store.calls == 0);
}
