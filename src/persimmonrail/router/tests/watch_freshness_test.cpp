#include "persimmonrail/router/watch_freshness.h"

#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using doubt = watch_freshness::doubt;

constexpr boot_time start = 1h;

} // namespace

// Guards against a daemon that takes a lost response for a store in which nothing changes, and
// against calls to the store while nothing was lost.
TEST_CASE("what is known is doubted when neither the store nor a relay confirms it", "[router]")
{
    struct row
    {
        std::string name;
        std::function<void(watch_freshness &)> events;
        // Time since the start.
        milliseconds at;
        doubt expected;
    };
    const row row = GENERATE(values<struct row>({
        {"the store has just responded", [](watch_freshness &) {}, 0ms, doubt::None},
        {"the watch of a daemon alone waits", [](watch_freshness &) {}, 1900ms, doubt::None},
        {"a daemon alone hears nothing", [](watch_freshness &) {}, 2000ms, doubt::Silence},
        {"a later response",
         [](watch_freshness &freshness) { freshness.onResponse(10, start + 1500ms); }, 3400ms,
         doubt::None},
        {"a relay knows nothing newer",
         [](watch_freshness &freshness) { freshness.onNotice(10, start + 1s, start + 1s); }, 5400ms,
         doubt::None},
        {"the relay has no response either",
         [](watch_freshness &freshness) { freshness.onNotice(10, start + 1s, start + 5s); }, 5500ms,
         doubt::Silence},
        {"the relay is lost",
         [](watch_freshness &freshness) {
             freshness.onNotice(10, start + 1s, start + 1s);
             freshness.onNoticesEnded();
         },
         2000ms, doubt::Silence},
        {"a relay knows a newer change, whose response may be on its way",
         [](watch_freshness &freshness) { freshness.onNotice(11, start + 1s, start + 1s); }, 1200ms,
         doubt::None},
        {"a relay knows a newer change",
         [](watch_freshness &freshness) { freshness.onNotice(11, start + 1s, start + 1s); }, 1250ms,
         doubt::NewerNotice},
        {"a repeated notice does not begin the grace anew",
         [](watch_freshness &freshness) {
             freshness.onNotice(11, start + 1s, start + 1s);
             freshness.onNotice(12, start + 1200ms, start + 1200ms);
         },
         1250ms, doubt::NewerNotice},
        {"the change arrived in time",
         [](watch_freshness &freshness) {
             freshness.onNotice(11, start + 1s, start + 1s);
             freshness.onResponse(11, start + 1100ms);
         },
         2s, doubt::None},
        {"the store has not changed",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({9, 10, {10}}, start + 1500ms);
         },
         3400ms, doubt::None},
        {"the store has changed other objects only",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({9, 13, {10, 11, 12, 13}}, start + 1500ms);
             freshness.onStoreProgress({13, 14, {14}}, start + 3s);
         },
         4900ms, doubt::None},
        {"the store has changed more than the other objects",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({10, 13, {11, 13}}, start + 1500ms);
         },
         2s, doubt::Silence},
        {"two changes have one version",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({10, 12, {12, 12}}, start + 1500ms);
         },
         2s, doubt::Silence},
        // The removal was of revision 9, and revision 11 is a change whose response was lost.
        {"a removal has the revision of its response",
         [](watch_freshness &freshness) {
             const object_list changes{11, {{"fleet/member.a", 11, true, ""}}};
             freshness.onStoreProgress(progressOf(8, changes), start + 1500ms);
         },
         2s, doubt::Silence},
        {"changes before the other watch are not known",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({12, 13, {13}}, start + 1500ms);
         },
         2s, doubt::Silence},
        {"the other watch is of a restored store",
         [](watch_freshness &freshness) {
             freshness.onStoreProgress({makeVersion(1, 9), makeVersion(1, 10), {}}, start + 1500ms);
         },
         2s, doubt::Silence},
        {"the store has no such change",
         [](watch_freshness &freshness) {
             freshness.onNotice(99, start + 1s, start + 1s);
             freshness.onNoticeAnswered(99);
             freshness.onNotice(99, start + 2s, start + 2s);
         },
         4s, doubt::None},
        {"a notice of an older epoch",
         [](watch_freshness &freshness) {
             freshness.onResponse(uint64_t{1} << 41, start);
             freshness.onNotice(99, start + 1s, start + 1s);
         },
         4s, doubt::None},
    }));
    CAPTURE(row.name);
    watch_freshness freshness;
    freshness.onResponse(10, start);
    row.events(freshness);
    CHECK(toString(freshness.evaluate(start + row.at)) == toString(row.expected));
}

// Load pattern: thousands of daemons watch the same objects, and each wait that ends is a call.
TEST_CASE("a watch waits long only while something else confirms what is known", "[router]")
{
    watch_freshness freshness;
    freshness.onResponse(10, start);
    CHECK(freshness.watchWait(start) == 1500ms);
    freshness.onNotice(10, start + 1s, start + 3s);
    CHECK(freshness.watchWait(start + 3s) == 20s);
    CHECK(freshness.watchWait(start + 5500ms) == 1500ms);
    freshness.onNotice(10, start + 6s, start + 6s);
    freshness.onNoticesEnded();
    CHECK(freshness.watchWait(start + 6s) == 1500ms);
    freshness.onStoreProgress({10, 10, {}}, start + 7s);
    CHECK(freshness.watchWait(start + 8s) == 20s);
    CHECK(freshness.watchWait(start + 9s) == 1500ms);
    watch_freshness brief({300ms});
    CHECK(brief.watchWait(start) == 300ms);
}

TEST_CASE("the age counts from the last confirmation", "[router]")
{
    watch_freshness freshness;
    freshness.onResponse(10, start);
    CHECK(freshness.age(start + 2s) == 2s);
    freshness.onNotice(9, start + 1s, start + 2s);
    CHECK(freshness.age(start + 2s) == 1s);
    // A relay that knows more confirms nothing of what is known.
    freshness.onNotice(11, start + 2s, start + 2s);
    CHECK(freshness.age(start + 2s) == 2s);
}
