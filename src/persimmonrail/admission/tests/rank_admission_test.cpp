#include "persimmonrail/admission/rank_admission.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds longTimeLeft{60000};

std::shared_ptr<const service_document> makeDocument(size_t ranks)
{
    auto document = std::make_shared<service_document>();
    document->ranks.resize(ranks);
    return document;
}

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

std::unique_ptr<admission_ticket> admit(rank_admission &admission, size_t rank,
                                        milliseconds timeLeft = longTimeLeft)
{
    auto result = admission.admit({"haulbook", rank, "", currentTime() + timeLeft}, currentTime());
    auto *const ticket = std::get_if<std::unique_ptr<admission_ticket>>(&result);
    return ticket == nullptr ? nullptr : std::move(*ticket);
}

} // namespace

// Guards against more running requests than the upstream has slots, against slots that are not
// released, and against waiting threads that are never woken.
TEST_CASE("the number of running requests never exceeds the slots", "[admission]")
{
    rank_admission admission({}, [] { return admission_source{3, "boot", makeDocument(2)}; });
    std::atomic<int> running = 0;
    std::atomic<int> maxRunning = 0;
    std::atomic<int> admitted = 0;
    std::vector<std::thread> threads;
    for (size_t i = 0; i < 10; ++i) {
        threads.emplace_back([&, i] {
            for (int n = 0; n < 200; ++n) {
                const auto ticket = admit(admission, i % 2);
                if (ticket == nullptr) {
                    continue;
                }
                const int now = ++running;
                int seen = maxRunning;
                while (now > seen && !maxRunning.compare_exchange_weak(seen, now)) { }
                ++admitted;
                std::this_thread::yield();
                --running;
                // Every other ticket is destroyed without finish().
                if (n % 2 == 0) {
                    ticket->finish(request_outcome::Run, "answered", 5ms, currentTime());
                }
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(maxRunning <= 3);
    CHECK(admitted == 2000);
    CHECK(admission.running() == 0);
}

// Guards against a thread that waits beyond its deadline, and against the request of such a
// thread staying in the queue.
TEST_CASE("a request stops waiting at its deadline", "[admission]")
{
    rank_admission admission({}, [] { return admission_source{1, "boot", nullptr}; });
    auto slotHolder = admit(admission, 0);
    REQUIRE(slotHolder != nullptr);
    CHECK(admit(admission, 0, 50ms) == nullptr);
    slotHolder.reset();
    CHECK(admission.running() == 0);
    CHECK(admit(admission, 0) != nullptr);
}

// Guards against a limit that ignores a change of the upstream or of the document.
TEST_CASE("admission applies changes of the upstream and of the document", "[admission]")
{
    admission_source source{0, "", nullptr};
    auto admission = std::make_unique<rank_admission>(admission_options(), [&] { return source; });
    const auto rejected =
        admission->admit({"haulbook", 0, "", currentTime() + longTimeLeft}, currentTime());
    REQUIRE(std::holds_alternative<admission_rejection>(rejected));
    CHECK(std::get<admission_rejection>(rejected).reason == "upstream-down");
    source = {8, "first", makeDocument(3)};
    CHECK(admit(*admission, 2) != nullptr);
    CHECK(admission->limit() == 8);
    source.slots = 4;
    source.document = makeDocument(1);
    CHECK(admit(*admission, 2) != nullptr);
    CHECK(admission->limit() == 4);
    source.bootId = "second";
    auto lastTicket = admit(*admission, 0);
    CHECK(admission->limit() == 1);
    // A ticket may be destroyed after the rank_admission object.
    admission.reset();
    lastTicket.reset();
}
