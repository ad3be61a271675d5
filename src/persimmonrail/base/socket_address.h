#pragma once

#include <Poco/Net/SocketAddress.h>

#include <absl/status/statusor.h>

#include <string_view>

namespace persimmonrail {

// Parses "ipv4:port" or "[ipv6]:port" with a port from 1 to 65535. Host names are rejected, because
// name resolution would make a process depend on another system. Errors: InvalidArgument.
absl::StatusOr<Poco::Net::SocketAddress> parseSocketAddress(std::string_view text);

} // namespace persimmonrail
