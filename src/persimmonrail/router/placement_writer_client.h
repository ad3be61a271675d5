#pragma once

#include "persimmonrail/http/http_client.h"
#include "persimmonrail/keyspace/placement_batch.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

struct placement_writer_client_options
{
    // Longest time for the ticket and the response together. The released keys are unserved
    // meanwhile.
    milliseconds timeout{300};
    // Number of times that a change is passed to a writer before the owner writes it itself. If
    // many owners write themselves, their writes conflict with each other and with those of the
    // writer, which then declines further changes.
    int maxAttempts = 3;
    // Time for which a daemon that did not respond, or issued no ticket, is not asked again.
    milliseconds avoidanceTime{2000};
};

// Result of placement_writer_client::submit().
struct change_submission
{
    // Whether the change was sent, so that the writer may know it.
    bool isSent = false;
    change_response response{change_outcome::NotApplied, 0};

    // Whether the change may still be written by the writer, unless the record shows that it has
    // no effect any more.
    bool isOpen() const { return isSent && response.outcome != change_outcome::NotApplied; }
};

// Hooks of placement_writer_client. All must be thread safe.
struct placement_writer_client_hooks
{
    // Sends a request to placementChangesPath of a daemon's peer port. Errors: those of
    // simpleRequest().
    std::function<absl::StatusOr<simple_response>(const std::string &address,
                                                  const std::string &method,
                                                  const std::string &body, steady_time deadline)>
        call;
    std::function<steady_time()> now;
};

// Passes changes of the placement record to the daemon that writes them together. Thread safe.
class placement_writer_client
{
public:
    explicit placement_writer_client(placement_writer_client_hooks hooks,
                                     placement_writer_client_options options = {});

    // Passes the change to the first of the daemons, given by their peer addresses, that is not
    // avoided, and again if the daemon certainly does not write it. Blocks for `maxAttempts` times
    // `timeout` at most. A daemon without a placement writer, such as one of an earlier release, is
    // never sent the change, since it issues no ticket.
    change_submission submit(const std::string &service, const owner_change &change,
                             const std::vector<std::string> &writers);

private:
    change_submission submitTo(const std::string &address, const std::string &service,
                               const owner_change &change);
    std::string chooseWriter(const std::vector<std::string> &writers);
    void avoid(const std::string &address);

    const placement_writer_client_hooks m_hooks;
    const placement_writer_client_options m_options;
    std::mutex m_mutex;
    // Until when each address is avoided.
    std::map<std::string, steady_time> m_avoided;
};

} // namespace persimmonrail
