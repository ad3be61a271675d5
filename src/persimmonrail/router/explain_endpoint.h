#pragma once

#include "persimmonrail/router/explanation_json.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace persimmonrail {

// Path on which a daemon's metrics address explains requests.
inline constexpr char explainPath[] = "/v1/explain";

// Parses the query of a request for an explanation: method, host, path, key, bytes and timeout (in
// milliseconds), percent-encoded; host and path are required. Errors: InvalidArgument.
absl::StatusOr<explained_request> parseExplainQuery(std::string_view query);

// Access to the state of the daemon. All functions must be thread safe.
struct explain_hooks
{
    std::function<bool()> isStopping;
    std::function<request_explanation(const explained_request &request)> explain;
    std::function<explanation_ages()> ages;
};

struct explain_response
{
    int status = 200;
    // JSON; {"error": WORD, "message": TEXT} unless the status is 200.
    std::string body;
};

// Serves requests for explanations, a bounded number at the same time. Thread safe.
class explain_endpoint
{
public:
    explicit explain_endpoint(explain_hooks hooks);

    // Returns whether the URI is one of this endpoint.
    static bool isExplainUri(std::string_view uri);
    explain_response serve(const std::string &method, std::string_view uri);

private:
    explain_response explain(const explained_request &request) const;

    const explain_hooks m_hooks;
    std::atomic<int> m_running{0};
};

} // namespace persimmonrail
