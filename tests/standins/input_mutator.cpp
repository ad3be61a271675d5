#include "standins/input_mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace persimmonrail {
namespace {

// Pieces that parsers treat in a special way.
constexpr std::array<std::string_view, 16> pieces = {
    "\r\n",       "\r\n\r\n", "\n",   ":",   " ",        "\"",    "{", "[",
    "4294967296", "-1",       "null", "%00", "\xff\xfe", "1e999", "}", "18446744073709551616"};

} // namespace

input_mutator::input_mutator(uint64_t seed)
    : m_engine(seed)
{ }

size_t input_mutator::below(size_t limit)
{
    return limit == 0 ? 0 : static_cast<size_t>(m_engine() % limit);
}

std::string input_mutator::mutate(std::string text)
{
    const size_t faults = 1 + below(8);
    for (size_t i = 0; i < faults && !text.empty(); ++i) {
        const size_t at = below(text.size());
        const size_t length = 1 + below(std::min<size_t>(text.size() - at, 16));
        switch (below(6)) {
        case 0:
            text[at] = static_cast<char>(m_engine());
            break;
        case 1:
            text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            text.insert(at, pieces[below(pieces.size())]);
            break;
        default:
            if (below(4) == 0) {
                text.resize(at);
            }
            break;
        }
    }
    return text;
}

std::string input_mutator::randomBytes(size_t limit)
{
    std::string bytes(1 + below(limit), '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(m_engine());
    }
    return bytes;
}

std::string input_mutator::next(const std::vector<std::string> &messages)
{
    return below(8) == 0 ? randomBytes(512) : mutate(messages[below(messages.size())]);
}

} // namespace persimmonrail
