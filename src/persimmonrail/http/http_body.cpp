#include "persimmonrail/http/http_stream.h"

#include "persimmonrail/http/guarded_fields.h"

#include <Poco/String.h>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace persimmonrail {
namespace {

constexpr size_t maxChunkLineBytes = 1024;
constexpr size_t maxTrailerBytes = 8 * 1024;

// Sets `framing` according to Content-Length or Transfer-Encoding, and leaves it unchanged without
// these fields. Returns Malformed for messages with both fields, repeated fields or unknown
// codings, because two hops could interpret such messages differently and disagree about the end of
// the body.
io_status parseFramingFields(const Poco::Net::HTTPMessage &message, body_framing &framing)
{
    int lengthCount = 0;
    int codingCount = 0;
    std::string length;
    std::string coding;
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0) {
            ++lengthCount;
            length = value;
        } else if (Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0) {
            ++codingCount;
            coding = value;
        }
    }
    if (lengthCount + codingCount > 1) {
        return io_status::Malformed;
    }
    if (codingCount == 1) {
        if (Poco::icompare(coding, "chunked") != 0) {
            return io_status::Malformed;
        }
        framing = {body_framing::kind::Chunked, 0};
    } else if (lengthCount == 1) {
        uint64_t value = 0;
        const char *const end = length.data() + length.size();
        const auto parsed = std::from_chars(length.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            return io_status::Malformed;
        }
        framing = {body_framing::kind::Length, value};
    }
    return io_status::Ok;
}

bool hasControlCharacter(absl::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
    });
}

// Returns whether the text is a token (RFC 9110, section 5.6.2), as the names of fields are.
bool isToken(absl::string_view text)
{
    constexpr absl::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [symbols](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || absl::StrContains(symbols, c);
    });
}

// Splits a head into its first line and its fields. Returns false if the head is malformed. Poco's
// own parser is not used, because Poco decodes encoded words (RFC 2047) in field values, so that a
// value can inject line endings and further fields. Poco also accepts control characters that other
// servers interpret differently.
bool splitHead(const std::string &head, std::string &firstLine, Poco::Net::HTTPMessage &message)
{
    bool isFirstLine = true;
    bool hasEnded = false;
    for (absl::string_view line : absl::StrSplit(head, '\n')) {
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (hasControlCharacter(line)) {
            return false;
        }
        if (isFirstLine) {
            firstLine = std::string(line);
            isFirstLine = false;
            continue;
        }
        if (line.empty()) {
            hasEnded = true;
            continue;
        }
        const size_t colon = line.find(':');
        if (hasEnded || colon == absl::string_view::npos || !isToken(line.substr(0, colon))) {
            return false;
        }
        message.add(std::string(line.substr(0, colon)),
                    std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    }
    return true;
}

// Returns whether the value of a Host field is empty or a name or address with an optional port.
bool isHost(absl::string_view text)
{
    const size_t bracket = text.find(']');
    const size_t colon = text.find(':', bracket == absl::string_view::npos ? 0 : bracket);
    const absl::string_view name = text.substr(0, colon);
    const absl::string_view port =
        colon == absl::string_view::npos ? absl::string_view() : text.substr(colon + 1);
    const bool isAddress = absl::StartsWith(name, "[") && absl::EndsWith(name, "]");
    const absl::string_view symbols = isAddress ? "[]:." : "-._~";
    return std::all_of(name.begin(), name.end(),
                       [symbols](char c) {
                           return absl::ascii_isalnum(static_cast<unsigned char>(c))
                               || absl::StrContains(symbols, c);
                       })
        && std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Replaces a target in absolute form (RFC 9112, section 3.2.2) by its path and query. Returns false
// unless its host is that of the Host field, since the upstream may read either.
bool convertAbsoluteForm(const Poco::Net::HTTPRequest &request, std::string &target)
{
    constexpr absl::string_view scheme = "http://";
    if (!absl::StartsWithIgnoreCase(target, scheme)) {
        return false;
    }
    const size_t end = std::min(target.find_first_of("/?", scheme.size()), target.size());
    const std::string host = target.substr(scheme.size(), end - scheme.size());
    if (host.empty()
        || !absl::EqualsIgnoreCase(host, request.get(Poco::Net::HTTPRequest::HOST, ""))) {
        return false;
    }
    const std::string path = target.substr(end);
    target = absl::StartsWith(path, "/") ? path : absl::StrCat("/", path);
    return true;
}

bool isPrintable(const std::string &text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

} // namespace

body_reader::body_reader(http_stream &stream, body_framing framing)
    : m_stream(stream)
    , m_framing(framing)
    , m_remaining(framing.type == body_framing::kind::Length ? framing.length : 0)
    , m_isComplete(framing.type == body_framing::kind::None
                   || (framing.type == body_framing::kind::Length && framing.length == 0))
{ }

io_status body_reader::read(std::string &piece, steady_time until)
{
    piece.clear();
    if (m_isComplete) {
        return io_status::Ok;
    }
    if (m_framing.type == body_framing::kind::Chunked && m_remaining == 0) {
        const io_status status = readChunkHeader(until);
        if (status != io_status::Ok || m_isComplete) {
            return status;
        }
    }
    const bool isBounded = m_framing.type != body_framing::kind::UntilClose;
    const size_t capacity = isBounded
        ? static_cast<size_t>(std::min<uint64_t>(m_remaining, maxBodyPieceBytes))
        : maxBodyPieceBytes;
    piece.resize(capacity);
    size_t count = 0;
    const io_status status = m_stream.readSome(piece.data(), capacity, count, until);
    piece.resize(count);
    if (status == io_status::Closed && !isBounded && m_stream.wasClosedGracefully()) {
        m_isComplete = true;
        return io_status::Ok;
    }
    if (status == io_status::Ok && isBounded) {
        m_remaining -= count;
        m_isComplete = m_remaining == 0 && m_framing.type == body_framing::kind::Length;
    }
    return status;
}

io_status body_reader::readChunkHeader(steady_time until)
{
    std::string line;
    if (m_isInChunk) {
        // Reads the line ending after the previous chunk.
        const io_status status = m_stream.readLine(line, maxChunkLineBytes, until);
        if (status != io_status::Ok) {
            return status;
        }
        if (!line.empty()) {
            return io_status::Malformed;
        }
        m_isInChunk = false;
    }
    if (const io_status status = m_stream.readLine(line, maxChunkLineBytes, until);
        status != io_status::Ok) {
        return status;
    }
    uint64_t size = 0;
    const char *const end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, size, 16);
    const bool isDelimited =
        parsed.ptr == end || *parsed.ptr == ';' || *parsed.ptr == ' ' || *parsed.ptr == '\t';
    if (parsed.ec != std::errc() || !isDelimited) {
        return io_status::Malformed;
    }
    if (size == 0) {
        return readTrailers(until);
    }
    m_remaining = size;
    m_isInChunk = true;
    return io_status::Ok;
}

io_status body_reader::readTrailers(steady_time until)
{
    std::string line;
    size_t total = 0;
    do {
        const io_status status = m_stream.readLine(line, maxChunkLineBytes, until);
        if (status != io_status::Ok) {
            return status;
        }
        total += line.size();
        if (total > maxTrailerBytes) {
            return io_status::Malformed;
        }
    } while (!line.empty());
    m_isComplete = true;
    return io_status::Ok;
}

std::string frameChunk(std::string_view piece)
{
    std::string framed = absl::StrCat(absl::Hex(piece.size()), "\r\n");
    framed.append(piece);
    framed.append("\r\n");
    return framed;
}

io_status parseRequest(const std::string &head, Poco::Net::HTTPRequest &request)
{
    std::string line;
    request.clear();
    if (!splitHead(head, line, request)) {
        return io_status::Malformed;
    }
    std::vector<std::string> parts = absl::StrSplit(line, ' ');
    if (parts.size() != 3 || !isPrintable(parts[0]) || !isPrintable(parts[1])
        || absl::StrContains(parts[1], '#')) {
        return io_status::Malformed;
    }
    if (parts[1].front() != '/' && !convertAbsoluteForm(request, parts[1])) {
        return io_status::Malformed;
    }
    if (parts[2] != Poco::Net::HTTPMessage::HTTP_1_1
        && parts[2] != Poco::Net::HTTPMessage::HTTP_1_0) {
        return io_status::Malformed;
    }
    request.setMethod(parts[0]);
    request.setURI(parts[1]);
    request.setVersion(parts[2]);
    return io_status::Ok;
}

bool isResponseStatus(int status)
{
    // The client asks for no other protocol, so 101 answers no request. Other interim statuses are
    // not registered; a sender that uses one may never send a final response.
    return status == 100 || status == 102 || status == 103 || (status >= 200 && status <= 599);
}

io_status parseResponse(const std::string &head, Poco::Net::HTTPResponse &response)
{
    std::string line;
    response.clear();
    if (!splitHead(head, line, response)) {
        return io_status::Malformed;
    }
    const std::vector<std::string> parts = absl::StrSplit(line, absl::MaxSplits(' ', 2));
    int status = 0;
    if (parts.size() < 2
        || (parts[0] != Poco::Net::HTTPMessage::HTTP_1_1
            && parts[0] != Poco::Net::HTTPMessage::HTTP_1_0)
        || parts[1].size() != 3 || !absl::SimpleAtoi(parts[1], &status)
        || !isResponseStatus(status)) {
        return io_status::Malformed;
    }
    response.setVersion(parts[0]);
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(parts.size() > 2 ? parts[2] : "");
    return io_status::Ok;
}

io_status requestFraming(const Poco::Net::HTTPRequest &request, body_framing &framing)
{
    framing = {};
    static const guarded_fields fields{
        {Poco::Net::HTTPRequest::HOST, Poco::Net::HTTPMessage::CONTENT_LENGTH}, {}, "", false};
    return request.has(Poco::Net::HTTPRequest::HOST) && isHost(request.getHost())
            && checkGuardedFields(request, fields).ok()
        ? parseFramingFields(request, framing)
        : io_status::Malformed;
}

io_status responseFraming(const Poco::Net::HTTPResponse &response, const std::string &method,
                          body_framing &framing)
{
    const int status = response.getStatus();
    framing = {};
    if (status < 200) {
        // The bytes of a body would be read as the final response.
        const bool hasBody = response.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING)
            || response.get(Poco::Net::HTTPMessage::CONTENT_LENGTH, "0") != "0";
        return hasBody ? io_status::Malformed : io_status::Ok;
    }
    if (status == 204 || status == 304 || method == "HEAD") {
        return io_status::Ok;
    }
    framing = {body_framing::kind::UntilClose, 0};
    return parseFramingFields(response, framing);
}

void setFraming(Poco::Net::HTTPMessage &message, const body_framing &framing)
{
    message.erase(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
    message.erase(Poco::Net::HTTPMessage::CONTENT_LENGTH);
    if (framing.type == body_framing::kind::Length) {
        message.set(Poco::Net::HTTPMessage::CONTENT_LENGTH, absl::StrCat(framing.length));
    } else if (framing.type == body_framing::kind::Chunked) {
        message.set(Poco::Net::HTTPMessage::TRANSFER_ENCODING, "chunked");
    }
}

bool keepsConnectionOpen(const Poco::Net::HTTPMessage &message)
{
    bool isOpen = message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name, Poco::Net::HTTPMessage::CONNECTION) != 0) {
            continue;
        }
        for (absl::string_view option : absl::StrSplit(value, ',')) {
            option = absl::StripAsciiWhitespace(option);
            if (absl::EqualsIgnoreCase(option, "close")) {
                return false;
            }
            isOpen = isOpen || absl::EqualsIgnoreCase(option, "keep-alive");
        }
    }
    return isOpen;
}

void removeConnectionFields(Poco::Net::HTTPMessage &message)
{
    std::vector<std::string> names = {
        "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Expect"};
    for (const auto &[name, value] : message) {
        if (Poco::icompare(name, "Connection") == 0) {
            for (const absl::string_view listed : absl::StrSplit(value, ',')) {
                names.emplace_back(absl::StripAsciiWhitespace(listed));
            }
        }
    }
    for (const std::string &name : names) {
        message.erase(name);
    }
}

} // namespace persimmonrail
