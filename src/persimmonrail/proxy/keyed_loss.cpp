#include "persimmonrail/proxy/keyed_loss.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace persimmonrail {
namespace {

constexpr size_t maxSummaries = 12;
// Losses with a longer pause between them belong to two series.
constexpr milliseconds maxPauseInSeries{1500};

} // namespace

std::string_view toString(loss_cause cause)
{
    switch (cause) {
    case loss_cause::NoOwner:
        return "no-owner";
    case loss_cause::KeyMoving:
        return "key-moving";
    case loss_cause::NotGranted:
        return "not-granted";
    case loss_cause::DirectoriesDiffer:
        return "directories-differ";
    case loss_cause::OwnerLeaving:
        return "owner-leaving";
    case loss_cause::OwnerFull:
        return "owner-full";
    case loss_cause::OwnerExpectedFull:
        return "owner-expected-full";
    case loss_cause::UpstreamSlow:
        return "upstream-slow";
    case loss_cause::UpstreamFailed:
        return "upstream-failed";
    case loss_cause::OwnerDaemonSlow:
        return "owner-daemon-slow";
    case loss_cause::PathSlow:
        return "path-slow";
    case loss_cause::PeerUnreachable:
        return "peer-unreachable";
    case loss_cause::PeerSilent:
        return "peer-silent";
    case loss_cause::Other:
        return "other";
    }
    return "other";
}

std::string encodeTimeSpent(const time_spent &spent)
{
    return absl::StrCat(spent.inQueue.count(), ",", spent.atUpstream.count(), ",",
                        spent.inTotal.count());
}

std::optional<time_spent> parseTimeSpent(std::string_view text)
{
    const std::vector<std::string> fields = absl::StrSplit(toAbsl(text), ',');
    int64_t inQueue = 0;
    int64_t atUpstream = 0;
    int64_t inTotal = 0;
    if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &inQueue)
        || !absl::SimpleAtoi(fields[1], &atUpstream) || !absl::SimpleAtoi(fields[2], &inTotal)
        || inQueue < 0 || atUpstream < 0 || inTotal < 0) {
        return std::nullopt;
    }
    return time_spent{std::chrono::microseconds(inQueue), std::chrono::microseconds(atUpstream),
                      std::chrono::microseconds(inTotal)};
}

loss_cause causeOfFailure(proxy_reason reason, std::optional<key_state> state)
{
    switch (reason) {
    case proxy_reason::NoUpstream:
        return loss_cause::NoOwner;
    case proxy_reason::NotOwner:
        if (state == key_state::Moving) {
            return loss_cause::KeyMoving;
        }
        return state == key_state::NotGranted ? loss_cause::NotGranted
                                              : loss_cause::DirectoriesDiffer;
    case proxy_reason::OtherUpstream:
        return loss_cause::DirectoriesDiffer;
    case proxy_reason::KeyNotHeld:
        return loss_cause::NotGranted;
    case proxy_reason::Draining:
    case proxy_reason::Evacuated:
    case proxy_reason::Stopping:
        return loss_cause::OwnerLeaving;
    case proxy_reason::Overload:
    case proxy_reason::LinkBusy:
    case proxy_reason::BodyBudget:
    case proxy_reason::DeadlineUnreachable:
        return loss_cause::OwnerFull;
    case proxy_reason::OverloadExpected:
        return loss_cause::OwnerExpectedFull;
    case proxy_reason::TooManyConnections:
        return loss_cause::OwnerDaemonSlow;
    case proxy_reason::PeerUnreachable:
        return loss_cause::PeerUnreachable;
    case proxy_reason::PeerSilent:
    case proxy_reason::SilentConnection:
        return loss_cause::PeerSilent;
    case proxy_reason::UpstreamUnreachable:
    case proxy_reason::UpstreamRefused:
    case proxy_reason::BrokenResponse:
    case proxy_reason::InvalidResponse:
    case proxy_reason::MismatchedResponse:
    case proxy_reason::NoResponse:
        return loss_cause::UpstreamFailed;
    default:
        return loss_cause::Other;
    }
}

loss_cause causeOfDelay(const served_times &times)
{
    struct part
    {
        loss_cause cause;
        std::chrono::nanoseconds time;
    };
    std::vector<part> parts{{times.earlierCause, times.beforeLastAttempt}};
    if (times.spent) {
        const time_spent &spent = *times.spent;
        parts.push_back({loss_cause::OwnerFull, spent.inQueue});
        parts.push_back({loss_cause::UpstreamSlow, spent.atUpstream});
        parts.push_back(
            {loss_cause::OwnerDaemonSlow, spent.inTotal - spent.inQueue - spent.atUpstream});
        parts.push_back({loss_cause::PathSlow, times.lastAttempt - spent.inTotal});
    } else {
        parts.push_back({loss_cause::PathSlow, times.lastAttempt});
    }
    return std::max_element(parts.begin(), parts.end(),
                            [](const part &a, const part &b) { return a.time < b.time; })
        ->cause;
}

void keyed_loss_ledger::record(const loss &lost, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto [found, isNew] =
        m_series.try_emplace(series_key(lost.service, lost.cause, lost.owner));
    series &entry = found->second;
    if (isNew || now - entry.latest > maxPauseInSeries) {
        entry.began = now;
    }
    entry.latest = now;
    loss_summary &sum = entry.sum;
    sum.notServed += lost.wasServed ? 0 : 1;
    sum.late += lost.wasServed ? 1 : 0;
    sum.firstKey = std::min(sum.firstKey, lost.key);
    sum.lastKeySeen = std::max(sum.lastKeySeen, lost.key);
}

std::vector<loss_summary> keyed_loss_ledger::takeSummaries(steady_time now)
{
    std::vector<loss_summary> summaries;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[key, entry] : m_series) {
            if (entry.sum.notServed + entry.sum.late == 0) {
                continue;
            }
            loss_summary sum = entry.sum;
            std::tie(sum.service, sum.cause, sum.owner) = key;
            sum.duration = std::chrono::duration_cast<milliseconds>(entry.latest - entry.began);
            summaries.push_back(std::move(sum));
            entry.sum = {};
        }
        std::erase_if(m_series, [now](const auto &item) {
            return now - item.second.latest > maxPauseInSeries;
        });
    }
    std::sort(summaries.begin(), summaries.end(), [](const auto &a, const auto &b) {
        return a.notServed + a.late > b.notServed + b.late;
    });
    if (summaries.size() > maxSummaries) {
        summaries.resize(maxSummaries);
    }
    return summaries;
}

} // namespace persimmonrail
