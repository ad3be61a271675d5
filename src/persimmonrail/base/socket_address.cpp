#include "persimmonrail/base/socket_address.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

absl::Status malformedAddress(std::string_view text)
{
    return absl::InvalidArgumentError(
        absl::StrCat("'", std::string(text), "' is not an address of the form ip:port"));
}

} // namespace

absl::StatusOr<Poco::Net::SocketAddress> parseSocketAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformedAddress(text);
    }
    std::string host(text.substr(0, colon));
    const std::string portText(text.substr(colon + 1));
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    Poco::Net::IPAddress ip;
    int port = 0;
    const bool isDecimal = portText.find_first_not_of("0123456789") == std::string::npos;
    if (!Poco::Net::IPAddress::tryParse(host, ip) || !isDecimal
        || !absl::SimpleAtoi(portText, &port) || port < 1 || port > 65535
        || isBracketed != (ip.family() == Poco::Net::IPAddress::IPv6)) {
        return malformedAddress(text);
    }
    return Poco::Net::SocketAddress(ip, static_cast<Poco::UInt16>(port));
}

} // namespace persimmonrail
