#include "persimmonrail/proxy/body_budget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start{100s};

// Budgets of a host with 160 MB and a link of 10 Mbit/s.
body_budget_options smallHost()
{
    return {true, 20'000'000, 4'000'000, 1'250'000};
}

body_demand uploadOver(std::optional<link_direction> link, uint64_t bytes = 60'000)
{
    body_demand demand;
    demand.bytes = bytes;
    demand.usesDaemon = demand.usesUpstream = true;
    demand.link = link;
    demand.objectiveEnd = start + 2500ms;
    return demand;
}

bool isAdmitted(const std::variant<body_reservation, body_rejection> &decision)
{
    return std::holds_alternative<body_reservation>(decision);
}

} // namespace

// Load: uploads arrive at three times the rate that the link carries. Guards against bodies that
// are read although they can't end within their objective, and against an idle link.
TEST_CASE("a link gets as many bodies as it carries within their objective", "[relay]")
{
    body_budget budget(smallHost());
    std::vector<body_reservation> admitted;
    constexpr int offered = 600;
    for (int i = 0; i < offered; ++i) {
        const steady_time now = start + i * 16ms;
        body_demand demand = uploadOver(link_direction::Inbound);
        demand.usesDaemon = demand.usesUpstream = false;
        demand.serviceTime = 260ms;
        demand.objectiveEnd = now + 2500ms;
        auto decision = budget.admit(demand, now);
        if (isAdmitted(decision)) {
            admitted.push_back(std::move(std::get<body_reservation>(decision)));
            const double ahead =
                static_cast<double>(budget.usedBytes(body_limit::InboundLink, now));
            CHECK(ahead / 1'250'000 <= 2.24);
        } else {
            const auto rejection = std::get<body_rejection>(decision);
            CHECK(rejection.limit == body_limit::InboundLink);
            CHECK(rejection.retryAfter > 0ms);
            CHECK(rejection.retryAfter <= 100ms);
        }
    }
    // 9.6 s of 20.8 bodies a second, and the queue of 2.24 s.
    CHECK(admitted.size() >= 240);
    CHECK(admitted.size() <= 248);
}

// Guards against an upstream or a daemon that gets more bytes than it can hold.
TEST_CASE("bytes in flight stay within the budgets until requests end", "[relay]")
{
    const auto [daemonBytes, upstreamBytes, expected] = GENERATE(
        table<uint64_t, uint64_t, body_limit>({{300'000, 4'000'000, body_limit::Daemon},
                                               {20'000'000, 300'000, body_limit::Upstream}}));
    body_budget budget({true, daemonBytes, upstreamBytes, 1'250'000});
    std::vector<body_reservation> admitted;
    auto decision = budget.admit(uploadOver(std::nullopt), start);
    while (isAdmitted(decision)) {
        admitted.push_back(std::move(std::get<body_reservation>(decision)));
        decision = budget.admit(uploadOver(std::nullopt), start);
    }
    CHECK(admitted.size() == 5);
    CHECK(std::get<body_rejection>(decision).limit == expected);
    // The link carries the 60,000 bytes that exceed the budget in this time.
    CHECK(std::get<body_rejection>(decision).retryAfter == 48ms);
    admitted.pop_back();
    CHECK(isAdmitted(budget.admit(uploadOver(std::nullopt), start)));
    CHECK(budget.usedBytes(expected, start) == 240'000);
}

// Guards against a body that no daemon would ever admit, and against sums that overflow.
TEST_CASE("a body larger than a budget is admitted alone", "[relay]")
{
    const uint64_t bytes = GENERATE(uint64_t{30'000'000}, ~uint64_t{0});
    body_budget budget(smallHost());
    {
        const auto alone = budget.admit(uploadOver(link_direction::Outbound, bytes), start);
        CHECK(isAdmitted(alone));
        const auto second = budget.admit(uploadOver(std::nullopt), start);
        REQUIRE_FALSE(isAdmitted(second));
    }
    CHECK(budget.usedBytes(body_limit::Daemon, start) == 0);
    const auto other = budget.admit(uploadOver(std::nullopt), start);
    CHECK(isAdmitted(other));
    CHECK_FALSE(isAdmitted(budget.admit(uploadOver(std::nullopt, bytes), start)));
}

// Failure: a connection is lost, or a peer rejects a body, before it was sent. Guards against a
// link that counts as busy with bytes that it never carries.
TEST_CASE("unsent bytes give their time back to the link", "[relay]")
{
    body_budget budget(smallHost());
    auto decision = budget.admit(uploadOver(link_direction::Outbound, 1'250'000), start);
    auto lost = std::move(std::get<body_reservation>(decision));
    CHECK(budget.usedBytes(body_limit::OutboundLink, start) == 1'250'000);
    CHECK(budget.usedBytes(body_limit::InboundLink, start) == 0);
    // A quarter of the time has passed, so that only the rest can be given back.
    lost.returnLinkTime(1'250'000, start + 250ms);
    CHECK(budget.usedBytes(body_limit::OutboundLink, start + 250ms) == 0);
    const auto next = budget.admit(uploadOver(link_direction::Outbound, 125'000), start + 250ms);
    CHECK(isAdmitted(next));
    CHECK(budget.usedBytes(body_limit::OutboundLink, start + 250ms) == 125'000);
}

// Guards against memory that readers which never read take in addition to the budget.
TEST_CASE("unread responses leave less room for bodies", "[relay]")
{
    body_budget budget({true, 100'000, 0, 0});
    const auto first = budget.admit(uploadOver(std::nullopt, 10'000), start);
    budget.addResponseBytes(64'000);
    CHECK_FALSE(isAdmitted(budget.admit(uploadOver(std::nullopt), start)));
    budget.removeResponseBytes(64'000);
    CHECK(isAdmitted(budget.admit(uploadOver(std::nullopt), start)));
}

TEST_CASE("budgets that are unknown or switched off set no limit", "[relay]")
{
    const auto options = GENERATE(body_budget_options{true, 0, 0, 0}, body_budget_options{});
    body_budget budget(options);
    std::vector<std::variant<body_reservation, body_rejection>> decisions;
    for (int i = 0; i < 100; ++i) {
        decisions.push_back(budget.admit(uploadOver(link_direction::Inbound, 9'000'000), start));
        CHECK(isAdmitted(decisions.back()));
    }
}
