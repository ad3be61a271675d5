#pragma once

#include "persimmonrail/cli/cli_session.h"

#include <string>

namespace persimmonrail {

// Validates a document file by the coordinator's rules, except those that compare the document with
// the accepted one. Returns Failed if the document is invalid or the file cannot be read.
cli_exit validateFile(const cli_session &session, const std::string &file);
// Prints the stored document of a service with its version, the accepted version and the status.
// Returns Failed if neither a document nor a status is stored.
cli_exit showService(const cli_session &session, const std::string &service);
// Prints the status of one service, or of all services if `service` is empty.
cli_exit showStatus(const cli_session &session, const std::string &service);
// Prints how the daemon at `adminAddress` ("ip:port") would route a key.
cli_exit explainKey(const cli_session &session, const std::string &adminAddress,
                    const std::string &service, const std::string &key);
// Prints one line per member of the fleet. Members whose record cannot be parsed are reported as
// errors and make the command return Failed.
cli_exit listMembers(const cli_session &session);

} // namespace persimmonrail
