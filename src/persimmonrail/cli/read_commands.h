#pragma once

#include "persimmonrail/cli/cli_session.h"

#include <string>

namespace persimmonrail {

// Checks a document file as the coordinator would, apart from the rules that depend on the accepted
// document.
cli_exit validateFile(const cli_session &session, const std::string &file);
// Prints the stored document of a service with its version, the accepted version and the status.
cli_exit showService(const cli_session &session, const std::string &service);
// Prints the status of one service, or of all if `service` is empty.
cli_exit showStatus(const cli_session &session, const std::string &service);
// Prints how the daemon with the given admin address would route a key.
cli_exit explainKey(const cli_session &session, const std::string &daemon,
                    const std::string &service, const std::string &key);
// Prints one line per member.
cli_exit listMembers(const cli_session &session);

} // namespace persimmonrail
