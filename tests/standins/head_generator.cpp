#include "standins/head_generator.h"

#include "persimmonrail/http/guarded_fields.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace persimmonrail {
namespace {

// Breaks of a line: after the name, and within the value.
constexpr std::array<std::string_view, 3> nameBreaks = {" ", "\t", "\r"};
constexpr std::array<std::string_view, 6> valueBreaks = {
    "\r\n ", "\r\n\t", "\r", "\n", std::string_view("\0", 1), "\x7f"};

std::string render(const std::vector<field_line> &lines)
{
    std::string text;
    for (const field_line &line : lines) {
        absl::StrAppend(&text, line.name, ": ", line.value, "\r\n");
    }
    return text;
}

} // namespace

std::string generated_message::text() const
{
    std::string text = absl::StrCat(startLine, "\r\n", render(fields));
    if (isChunked) {
        absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n\r\n");
        if (!body.empty()) {
            absl::StrAppend(&text, absl::Hex(body.size()), "\r\n", body, "\r\n");
        }
        absl::StrAppend(&text, "0\r\n", render(trailers), "\r\n");
    } else {
        absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
    }
    text.resize(text.size() - std::min(cutBytes, text.size()));
    return text;
}

std::vector<field_line> generated_message::linesOf(const std::string &name) const
{
    std::vector<field_line> lines;
    std::copy_if(fields.begin(), fields.end(), std::back_inserter(lines),
                 [&name](const field_line &line) { return isSameField(line.name, name); });
    return lines;
}

head_generator::head_generator(uint64_t seed, std::vector<std::string> names)
    : m_names(std::move(names))
    , m_engine(seed)
{ }

size_t head_generator::below(size_t limit)
{
    return static_cast<size_t>(m_engine() % limit);
}

generated_message head_generator::change(generated_message message)
{
    const size_t count = 1 + below(3);
    for (size_t i = 0; i < count; ++i) {
        changeOnce(message);
    }
    return message;
}

void head_generator::changeOnce(generated_message &message)
{
    const size_t position = below(message.fields.size());
    field_line &line = message.fields[position];
    switch (below(9)) {
    case 0:
        insertLine(message, line);
        break;
    case 1:
        insertLine(message, otherLine());
        break;
    case 2: {
        field_line added = otherLine();
        added.name = respell(added.name);
        insertLine(message, added);
        break;
    }
    case 3:
        line.name = respell(line.name);
        break;
    case 4:
    case 5:
        listInConnection(message);
        break;
    case 6:
        breakLine(line);
        break;
    case 7:
        moveToTrailer(message, position);
        break;
    default:
        message.cutBytes = below(4) == 0 ? 1 + below(message.text().size()) : 0;
        break;
    }
}

field_line head_generator::otherLine()
{
    return {m_names[below(m_names.size())], std::to_string(below(100'000))};
}

std::string head_generator::respell(std::string name)
{
    for (char &c : name) {
        if (c == '-') {
            c = below(4) == 0 ? '_' : c;
        } else if (below(2) == 0) {
            c = static_cast<char>(std::isupper(static_cast<unsigned char>(c)) != 0
                                      ? std::tolower(static_cast<unsigned char>(c))
                                      : std::toupper(static_cast<unsigned char>(c)));
        }
    }
    return name;
}

void head_generator::insertLine(generated_message &message, field_line line)
{
    const auto position = static_cast<std::ptrdiff_t>(below(message.fields.size() + 1));
    message.fields.insert(message.fields.begin() + position, std::move(line));
}

void head_generator::listInConnection(generated_message &message)
{
    const size_t count = 1 + below(2);
    std::string options = below(2) == 0 ? "keep-alive" : "X-Unknown";
    for (size_t i = 0; i < count; ++i) {
        const std::string &name = m_names[below(m_names.size())];
        absl::StrAppend(&options, below(2) == 0 ? "," : " , ",
                        below(2) == 0 ? name : respell(name));
    }
    insertLine(message, {respell("Connection"), options});
}

void head_generator::breakLine(field_line &line)
{
    if (below(3) == 0) {
        absl::StrAppend(&line.name, std::string(nameBreaks[below(nameBreaks.size())]));
    } else {
        const std::string_view breaking = valueBreaks[below(valueBreaks.size())];
        line.value.insert(below(line.value.size() + 1), breaking);
    }
}

void head_generator::moveToTrailer(generated_message &message, size_t position)
{
    message.isChunked = true;
    message.trailers.push_back(message.fields[position]);
    if (below(2) == 0 && message.fields.size() > 1) {
        message.fields.erase(message.fields.begin() + static_cast<std::ptrdiff_t>(position));
    }
}

} // namespace persimmonrail
