#include "persimmonrail/proxy/caller_attempt.h"

#include <array>
#include <utility>

namespace persimmonrail {
namespace {

constexpr std::array<std::pair<caller_attempt, std::string_view>, 3> texts{{
    {caller_attempt::First, "first"},
    {caller_attempt::EarlyRetry, "early"},
    {caller_attempt::DueRetry, "due"},
}};

} // namespace

std::string_view toString(caller_attempt attempt)
{
    for (const auto &[value, text] : texts) {
        if (value == attempt) {
            return text;
        }
    }
    return {};
}

caller_attempt parseCallerAttempt(std::string_view text)
{
    for (const auto &[value, known] : texts) {
        if (known == text) {
            return value;
        }
    }
    return caller_attempt::Unknown;
}

} // namespace persimmonrail
