#include "persimmonrail/proxy/releasing_sink.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

slot_request wanted()
{
    return {"photo", 1, 500ms, start + 500ms, start + 3s};
}

struct counting_sink : response_sink
{
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool) override
    {
        bytes += first.size();
        return true;
    }
    bool write(std::string_view piece) override
    {
        bytes += piece.size();
        return isOpen;
    }
    bool finish() override { return isOpen; }

    size_t bytes = 0;
    bool isOpen = true;
};

} // namespace

// Load pattern: bodies that a slow link takes half a second to carry, more of them than slots.
// Calls that running requests wait for need the same slots.
TEST_CASE("answers on their way hold no slots", "[relay]")
{
    slot_gate gate;
    gate.setSlots(2);
    std::vector<std::unique_ptr<counting_sink>> requesters;
    std::vector<std::unique_ptr<releasing_sink>> sending;
    for (int i = 0; i < 6; ++i) {
        slot_result entered = gate.enter(wanted(), start);
        REQUIRE(std::holds_alternative<std::unique_ptr<slot_ticket>>(entered));
        CHECK(gate.report().running == 1);
        requesters.push_back(std::make_unique<counting_sink>());
        sending.push_back(std::make_unique<releasing_sink>(
            std::move(std::get<std::unique_ptr<slot_ticket>>(entered)), *requesters.back()));
        CHECK(sending.back()->begin({}, {body_framing::kind::Length, 90'000}, "first", false));
        CHECK(gate.report().running == 0);
    }
    CHECK(sending[0]->write("more"));
    CHECK(sending[0]->finish());
    CHECK(requesters[0]->bytes == 9);
    requesters[1]->isOpen = false;
    CHECK_FALSE(sending[1]->write("more"));
}

TEST_CASE("a request without an answer keeps its slot until it ends", "[relay]")
{
    slot_gate gate;
    gate.setSlots(1);
    counting_sink requester;
    {
        slot_result entered = gate.enter(wanted(), start);
        const releasing_sink sink(std::move(std::get<std::unique_ptr<slot_ticket>>(entered)),
                                  requester);
        CHECK(gate.report().running == 1);
    }
    CHECK(gate.report().running == 0);
}
