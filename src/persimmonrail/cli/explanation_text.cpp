#include "persimmonrail/cli/explanation_text.h"

#include "persimmonrail/cli/json_flattening.h"

#include <absl/strings/str_cat.h>

#include <map>

namespace persimmonrail {
namespace {

// Upstreams of a service that are printed; they are in order of their chance.
constexpr size_t maxUpstreams = 20;

// Reads the members of one object by their paths in the flattened JSON.
class object_reader
{
public:
    object_reader(const std::map<std::string, std::string> &fields, std::string path)
        : m_fields(fields)
        , m_path(std::move(path))
    { }

    bool has(const std::string &name) const { return m_fields.contains(pathOf(name)); }
    bool isTrue(const std::string &name) const { return text(name) == "true"; }
    // Returns "?" if there is no such member.
    std::string text(const std::string &name) const
    {
        const auto found = m_fields.find(pathOf(name));
        return found == m_fields.end() ? "?" : found->second;
    }
    object_reader object(const std::string &name) const { return {m_fields, pathOf(name)}; }
    object_reader element(const std::string &name, size_t index) const
    {
        return {m_fields, absl::StrCat(pathOf(name), "[", index, "]")};
    }
    // Returns the members of an object as "<name> <value>, ...".
    std::string list(const std::string &name) const
    {
        const std::string prefix = pathOf(name) + ".";
        std::string result;
        for (auto field = m_fields.lower_bound(prefix);
             field != m_fields.end() && field->first.starts_with(prefix); ++field) {
            absl::StrAppend(&result, result.empty() ? "" : ", ", field->first.substr(prefix.size()),
                            " ", field->second);
        }
        return result;
    }

private:
    std::string pathOf(const std::string &name) const
    {
        return m_path.empty() ? name : absl::StrCat(m_path, ".", name);
    }

    const std::map<std::string, std::string> &m_fields;
    const std::string m_path;
};

std::string ageText(const object_reader &reader, const std::string &what)
{
    return reader.has("age_ms") ? absl::StrCat(", ", what, " ", reader.text("age_ms"), " ms ago")
                                : "";
}

std::string queueText(const object_reader &queue)
{
    return absl::StrCat(queue.text("running"), " running, ", queue.text("waiting"),
                        " waiting, limit ", queue.text("limit"), ", mean service time ",
                        queue.text("mean_service_ms"), " ms");
}

std::string localUpstreamText(const object_reader &local)
{
    if (local.text("upstream").empty()) {
        return "upstream beside it: none has reported yet\n";
    }
    std::string text =
        absl::StrCat("upstream beside it: ", local.text("upstream"), ", service ",
                     local.text("service"), "\n  queue: ", queueText(local.object("queue")), "\n");
    if (local.isTrue("cold")) {
        absl::StrAppend(
            &text, "  cold for ",
            local.has("cold_remaining_ms") ? absl::StrCat(local.text("cold_remaining_ms"), " ms")
                                           : "an unknown time",
            ": ", local.text("recent_starts"), " of ", local.text("cold_permitted_per_s"),
            " permitted starts used in the last second\n");
    }
    return text;
}

std::string headText(const object_reader &root)
{
    const object_reader request = root.object("request");
    const object_reader route = root.object("route");
    const object_reader state = root.object("desired_state");
    const object_reader directory = root.object("directory");
    std::string text = absl::StrCat(
        "request: ", request.text("method"), " ", request.text("host"), request.text("path"),
        request.has("key") ? absl::StrCat(", key ", request.text("key")) : "", ", ",
        request.text("bytes"), " bytes",
        request.has("timeout_ms") ? absl::StrCat(", timeout ", request.text("timeout_ms"), " ms")
                                  : "",
        "\ndesired state: version ", state.text("version"), ageText(state, "received"),
        "\nmembers and placements: epoch ", directory.text("epoch"), ", revision ",
        directory.text("revision"), ageText(directory, "confirmed"), "\n");
    const object_reader evacuations = root.object("evacuations");
    if (evacuations.has("age_ms")) {
        absl::StrAppend(&text, "evacuated zones: known", ageText(evacuations, "received"), "\n");
    }
    absl::StrAppend(&text, "zone of the daemon asked: ", root.text("zone"), "\n",
                    localUpstreamText(root.object("local_upstream")), "route: ", route.text("name"),
                    " (", route.text("host"), route.text("path_prefix"), "), rank ",
                    route.text("rank"), ", objective ", route.text("objective_ms"), " ms, timeout ",
                    route.text("timeout_ms"), " ms, at most ", route.text("max_attempts"),
                    " attempts",
                    route.isTrue("repeatable") ? ", repeatable" : ", runs at most once", "\n");
    if (route.text("estimated_retry_age_ms") != "0") {
        absl::StrAppend(&text, "counts as a caller's retry: first sent ",
                        route.text("estimated_retry_age_ms"), " ms before\n");
    }
    return text;
}

std::string ownerText(const object_reader &owner)
{
    return absl::StrCat(
        "  owner: ", owner.text("upstream"), ", keys ", owner.text("first_key"), "-",
        owner.text("last_key"), ", fence ", owner.text("fence"), ", placement epoch ",
        owner.text("placement_epoch"), ", revision ", owner.text("placement_revision"),
        owner.isTrue("serving") ? "" : "; not serving the key yet, or its member entry is missing",
        "\n");
}

std::string memberText(const object_reader &member)
{
    std::string text =
        absl::StrCat("  upstream ", member.text("upstream"), ": chance ", member.text("chance"),
                     ", zone ", member.text("zone"), ", daemon ", member.text("daemon"),
                     member.isTrue("local") ? " (the daemon asked)" : "", "\n    expected ",
                     member.text("expected_ms"), " ms: service ", member.text("service_ms"),
                     " ms x (1 + (outstanding ", member.text("outstanding"), " / limit ",
                     member.text("limit"), ")^2) x zone factor ", member.text("zone_factor"), "; ",
                     member.text("in_flight"), " in flight from here\n");
    const object_reader report = member.object("report");
    if (report.has("age_ms")) {
        absl::StrAppend(&text, "    reported ", report.text("age_ms"),
                        " ms ago: ", queueText(report), "\n");
    } else {
        absl::StrAppend(&text, "    no report of its queue has arrived here\n");
    }
    if (member.text("penalty_ms") != "0") {
        absl::StrAppend(&text, "    penalty for another ", member.text("penalty_ms"), " ms after ",
                        member.text("failures"), " failures\n");
    }
    if (member.isTrue("draining")) {
        absl::StrAppend(&text,
                        member.isTrue("zone_evacuated") ? "    its zone is evacuated\n"
                                                        : "    draining\n");
    }
    if (member.isTrue("daemon_silent")) {
        absl::StrAppend(&text, "    its daemon has not responded lately\n");
    }
    return text;
}

std::string localText(const object_reader &local)
{
    std::string text = absl::StrCat(
        "  beside the daemon asked: ",
        local.text("state") == "none" ? "the upstream takes requests"
                                      : absl::StrCat("the upstream is ", local.text("state")),
        local.has("key_state") ? absl::StrCat(", key ", local.text("key_state")) : "",
        "\n    expected wait ", local.text("expected_wait_ms"), " ms (slot ",
        local.text("wait_for_slot_ms"), " ms, cold limit ", local.text("wait_for_cold_limit_ms"),
        " ms), service ", local.text("service_ms"), " ms; must end within ",
        local.text("must_end_within_ms"), " ms\n");
    if (local.text("quarantine") != "accepted") {
        absl::StrAppend(&text, "    quarantine of requests that crash upstreams: ",
                        local.text("quarantine"), "\n");
    }
    return text;
}

std::string rejectionText(const object_reader &rejection)
{
    return absl::StrCat(
        "  rejected with probability ", rejection.text("chance"), ": ", rejection.text("reason"),
        ", by the ",
        rejection.text("by") == "caller-daemon" ? "daemon asked"
                                                : "daemon asked, beside the upstream",
        ", status ", rejection.text("status"),
        rejection.has("retry_after_ms")
            ? absl::StrCat(", Retry-After ", rejection.text("retry_after_ms"), " ms")
            : "",
        rejection.isTrue("tried_again") ? "; the daemon tries again before it responds" : "", "\n");
}

std::string serviceText(const object_reader &service)
{
    std::string text = absl::StrCat(
        "service ", service.text("service"), service.isTrue("keyed") ? ", keyed" : ", without keys",
        service.text("share") == "1" ? "" : absl::StrCat(", share ", service.text("share")), "\n");
    if (service.object("owner").has("fence")) {
        absl::StrAppend(&text, ownerText(service.object("owner")));
    }
    size_t count = 0;
    while (service.element("upstreams", count).has("chance")) {
        if (count < maxUpstreams) {
            absl::StrAppend(&text, memberText(service.element("upstreams", count)));
        }
        ++count;
    }
    if (count > maxUpstreams || service.text("upstreams_left_out") != "0") {
        absl::StrAppend(&text, "  ", count > maxUpstreams ? count - maxUpstreams : 0,
                        " further upstreams with --json, ", service.text("upstreams_left_out"),
                        " left out\n");
    }
    const object_reader share = service.object("zone_share");
    if (share.has("leaving")) {
        const std::string to = share.list("to");
        absl::StrAppend(&text, "  zone decision: ", share.text("leaving"), " leaves the zone, ",
                        share.text("reason"), to.empty() ? "" : absl::StrCat(", to ", to),
                        ", oldest report ", share.text("oldest_report_ms"), " ms\n");
    }
    if (service.object("local").has("state")) {
        absl::StrAppend(&text, localText(service.object("local")));
    }
    size_t rejections = 0;
    while (service.element("rejections", rejections).has("reason")) {
        absl::StrAppend(&text, rejectionText(service.element("rejections", rejections++)));
    }
    if (rejections == 0) {
        absl::StrAppend(&text, "  not rejected, as far as the daemon asked knows\n");
    }
    return text;
}

} // namespace

absl::StatusOr<std::string> renderExplanationText(std::string_view json)
{
    const auto flattened = flattenJson(json);
    if (!flattened.ok()) {
        return flattened.status();
    }
    const std::map<std::string, std::string> fields(flattened->begin(), flattened->end());
    const object_reader root(fields, "");
    if (!root.object("request").has("path")) {
        return absl::InvalidArgumentError("not an explanation");
    }
    std::string text = headText(root);
    if (root.object("rejected").has("reason")) {
        absl::StrAppend(&text, rejectionText(root.object("rejected")));
    }
    for (size_t i = 0; root.element("services", i).has("service"); ++i) {
        absl::StrAppend(&text, serviceText(root.element("services", i)));
    }
    return text;
}

} // namespace persimmonrail
