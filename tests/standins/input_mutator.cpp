#include "standins/input_mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmonrail {
namespace {

// Tokens that parsers handle in special branches: line ends, separators, numbers at the limits of
// their types and invalid encodings.
constexpr std::array<std::string_view, 16> specialTokens = {
    "\r\n",       "\r\n\r\n", "\n",   ":",   " ",        "\"",    "{", "[",
    "4294967296", "-1",       "null", "%00", "\xff\xfe", "1e999", "}", "18446744073709551616"};

} // namespace

input_mutator::input_mutator(uint64_t seed)
    : m_engine(seed)
{ }

size_t input_mutator::randomBelow(size_t limit)
{
    return limit == 0 ? 0 : static_cast<size_t>(m_engine() % limit);
}

std::string input_mutator::mutate(std::string text)
{
    const size_t mutationCount = 1 + randomBelow(8);
    for (size_t i = 0; i < mutationCount && !text.empty(); ++i) {
        const size_t position = randomBelow(text.size());
        const size_t length = 1 + randomBelow(std::min<size_t>(text.size() - position, 16));
        switch (randomBelow(6)) {
        case 0:
            text[position] = static_cast<char>(m_engine());
            break;
        case 1:
            text[position] = static_cast<char>(text[position] ^ (1 << randomBelow(8)));
            break;
        case 2:
            text.erase(position, length);
            break;
        case 3:
            text.insert(position, text.substr(position, length));
            break;
        case 4:
            text.insert(position, specialTokens[randomBelow(specialTokens.size())]);
            break;
        default:
            if (randomBelow(4) == 0) {
                text.resize(position);
            }
            break;
        }
    }
    return text;
}

std::string input_mutator::randomBytes(size_t maxBytes)
{
    std::string bytes(1 + randomBelow(maxBytes), '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(m_engine());
    }
    return bytes;
}

std::string input_mutator::next(const std::vector<std::string> &messages)
{
    return randomBelow(8) == 0 ? randomBytes(512) : mutate(messages[randomBelow(messages.size())]);
}

} // namespace persimmonrail
