#include "persimmonrail/proxy/releasing_sink.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

slot_request anyRequest()
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

// Guards against response bodies that hold slots while a slow link takes half a second to send each
// of them. There are more bodies than slots, and calls on which running requests wait need the same
// slots.
TEST_CASE("a response in transmission holds no slot", "[relay]")
{
    blocking_slot_queue slotQueue;
    slotQueue.setSlots(2);
    std::vector<std::unique_ptr<counting_sink>> receivers;
    std::vector<std::unique_ptr<releasing_sink>> sending;
    for (int i = 0; i < 6; ++i) {
        slot_result acquired = slotQueue.acquire(anyRequest(), start);
        REQUIRE(std::holds_alternative<std::unique_ptr<slot_permit>>(acquired));
        CHECK(slotQueue.report().running == 1);
        receivers.push_back(std::make_unique<counting_sink>());
        sending.push_back(std::make_unique<releasing_sink>(
            std::move(std::get<std::unique_ptr<slot_permit>>(acquired)), *receivers.back()));
        CHECK(sending.back()->begin({}, {body_framing::kind::Length, 90'000}, "first", false));
        CHECK(slotQueue.report().running == 0);
    }
    CHECK(sending[0]->write("more"));
    CHECK(sending[0]->finish());
    CHECK(receivers[0]->bytes == 9);
    receivers[1]->isOpen = false;
    CHECK_FALSE(sending[1]->write("more"));
}

TEST_CASE("a request without a response holds its slot until it ends", "[relay]")
{
    blocking_slot_queue slotQueue;
    slotQueue.setSlots(1);
    counting_sink receiver;
    {
        slot_result acquired = slotQueue.acquire(anyRequest(), start);
        const releasing_sink sink(std::move(std::get<std::unique_ptr<slot_permit>>(acquired)),
                                  receiver);
        CHECK(slotQueue.report().running == 1);
    }
    CHECK(slotQueue.report().running == 0);
}
