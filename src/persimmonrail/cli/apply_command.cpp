#include "persimmonrail/cli/apply_command.h"

#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/objects/http_object_api.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Delay between attempts while the platform is unavailable or rejects calls by its rate limit.
constexpr milliseconds retryDelay{200};
// Shorter than the time limit that intermediaries commonly set for one call.
constexpr milliseconds maxWatchWait{10'000};

// Writes one document and retries until the outcome is known or the deadline has passed.
class document_writer
{
public:
    document_writer(const cli_session &session, std::string key, std::string text,
                    steady_time deadline)
        : m_session(session)
        , m_key(std::move(key))
        , m_text(std::move(text))
        , m_deadline(deadline)
    { }

    // Returns the version under which the document is stored. Errors: Aborted if the stored
    // document is not at the expected version; Unknown if the document may have been stored; those
    // of object_api.
    absl::StatusOr<uint64_t> write(std::optional<uint64_t> expectedVersion)
    {
        for (;;) {
            auto result = tryWrite(expectedVersion);
            const bool isRetryable = absl::IsUnavailable(result.status())
                || absl::IsUnknown(result.status()) || absl::IsResourceExhausted(result.status());
            if (!isRetryable) {
                return result;
            }
            if (m_session.hooks.now() >= m_deadline) {
                return m_isOutcomeUnknown ? absl::UnknownError(
                           absl::StrCat("the document may have been stored; check with 'show': ",
                                        std::string(result.status().message())))
                                          : result;
            }
            m_session.hooks.sleepFor(retryDelay);
        }
    }

private:
    // Makes one attempt. Sets `expectedVersion` to the current version if it is unset.
    absl::StatusOr<uint64_t> tryWrite(std::optional<uint64_t> &expectedVersion)
    {
        if (!expectedVersion) {
            const auto current = getOptional(m_session.platform, m_key);
            if (!current.ok()) {
                return current.status();
            }
            if (current->has_value() && (*current)->value == m_text) {
                m_session.out << "unchanged: " << m_key << " version " << (*current)->version
                              << "\n";
                return (*current)->version;
            }
            // Later attempts expect the same version, so that they do not overwrite a document
            // that another operator stores in between.
            expectedVersion = current->has_value() ? (*current)->version : 0;
        }
        if (m_isOutcomeUnknown) {
            return resolveUnknownWrite(*expectedVersion);
        }
        const auto written = m_session.platform.put(m_key, *expectedVersion, m_text);
        if (written.ok()) {
            m_session.out << "stored: " << m_key << " version " << *written << "\n";
        }
        if (absl::IsUnknown(written.status())) {
            m_isOutcomeUnknown = true;
            return resolveUnknownWrite(*expectedVersion);
        }
        return absl::IsAborted(written.status()) ? resolveConflict(*expectedVersion) : written;
    }

    // Reads the document back after a write without a response. Returns the stored version, or
    // Unknown if the write has to be retried.
    absl::StatusOr<uint64_t> resolveUnknownWrite(uint64_t expectedVersion)
    {
        const auto result = readBack(m_session.platform, m_key, expectedVersion, m_text);
        if (!result.ok()) {
            return result.status();
        }
        switch (result->state) {
        case read_back_state::Written:
            m_session.out << "stored: " << m_key << " version " << result->version
                          << " (confirmed by reading back)\n";
            return result->version;
        case read_back_state::NotWritten:
            // The next attempt expects the same version, so the document is stored only once even
            // if the first write takes effect later.
            m_isOutcomeUnknown = false;
            return absl::UnknownError(
                "the write received no response and has not taken effect so far");
        case read_back_state::Replaced:
            break;
        }
        return conflictError(expectedVersion, result->version);
    }

    // Determines the result of a write that the platform aborted because of its expected version.
    absl::StatusOr<uint64_t> resolveConflict(uint64_t expectedVersion)
    {
        const auto current = getOptional(m_session.platform, m_key);
        if (!current.ok()) {
            return absl::AbortedError(absl::StrCat("conflict: ", m_key, " is no longer at version ",
                                                   expectedVersion, "; nothing was overwritten"));
        }
        if (!current->has_value()) {
            return conflictError(expectedVersion, 0);
        }
        // An earlier attempt may have taken effect after the document was read back.
        if ((*current)->value == m_text && (*current)->version > expectedVersion) {
            m_session.out << "stored: " << m_key << " version " << (*current)->version << "\n";
            return (*current)->version;
        }
        return conflictError(expectedVersion, (*current)->version);
    }

    // Returns an Aborted error for a document that is stored at `version`; 0 if none is stored.
    absl::Status conflictError(uint64_t expectedVersion, uint64_t version) const
    {
        return absl::AbortedError(absl::StrCat(
            "conflict: ", m_key,
            version == 0 ? " does not exist" : absl::StrCat(" is at version ", version),
            ", expected version ", expectedVersion, "; nothing was overwritten"));
    }

    const cli_session &m_session;
    const std::string m_key;
    const std::string m_text;
    const steady_time m_deadline;
    bool m_isOutcomeUnknown = false;
};

struct status_read
{
    // Unset if the coordinator has not decided on the version or a later one.
    std::optional<document_status> status;
    // The read covers every write up to this store revision.
    uint64_t revision = 0;
};

// Reads the status object `key`, if the status refers to `version` or a later version of the
// document. Errors: those of object_api::list; InvalidArgument if the status cannot be decoded.
absl::StatusOr<status_read> readStatus(const object_api &platform, const std::string &key,
                                       uint64_t version)
{
    const auto list = platform.list(key);
    if (!list.ok()) {
        return list.status();
    }
    status_read read;
    read.revision = list->revision;
    for (const auto &object : list->objects) {
        // The listing also contains services whose names start with this one.
        if (object.key != key) {
            continue;
        }
        auto status = decodeStatus(object.value);
        if (!status.ok()) {
            return status.status();
        }
        if (status->sourceVersion >= version) {
            read.status = *std::move(status);
        }
    }
    return read;
}

// Prints the coordinator's decision and returns Ok if `version` was accepted.
cli_exit printDecision(const cli_session &session, const document_status &status, uint64_t version)
{
    if (status.sourceVersion > version) {
        return session.fail(absl::StrCat("version ", version, " was replaced by version ",
                                         status.sourceVersion, ", which is ",
                                         std::string(toString(status.state))));
    }
    session.out << toString(status.state) << ": version " << version << "\n"
                << renderErrors(status.errors);
    return status.state == document_state::Accepted ? cli_exit::Ok : cli_exit::Failed;
}

// Waits for the coordinator's decision on `version` and prints the decision.
cli_exit awaitDecision(const cli_session &session, const std::string &service, uint64_t version,
                       steady_time deadline)
{
    const std::string key = statusKey(service);
    std::string lastError;
    for (;;) {
        const auto read = readStatus(session.platform, key, version);
        if (read.ok() && read->status) {
            return printDecision(session, *read->status, version);
        }
        lastError = read.ok() ? "" : absl::StrCat(": ", std::string(read.status().message()));
        const auto now = session.hooks.now();
        if (now >= deadline) {
            break;
        }
        const auto remaining = std::chrono::ceil<milliseconds>(deadline - now);
        // The next listing reads the status, so the changes that the watch returns are not used. A
        // listing also succeeds if the store has already discarded the changes after the revision.
        if (!read.ok()
            || !session.platform.watch(key, read->revision, std::min(remaining, maxWatchWait))
                    .ok()) {
            session.hooks.sleepFor(std::min(remaining, retryDelay));
        }
    }
    return session.fail(absl::StrCat("version ", version,
                                     " is stored, but has been neither accepted nor rejected yet",
                                     lastError));
}

} // namespace

cli_exit applyDocument(const cli_session &session, const apply_arguments &arguments)
{
    const auto text = session.hooks.readFile(arguments.file);
    if (!text.ok()) {
        return session.fail(text.status());
    }
    const auto parsed = parseServiceDocument(*text);
    if (!parsed.document) {
        session.err << renderErrors(parsed.errors);
        return session.fail(absl::StrCat(arguments.file, " is not valid; nothing was written"));
    }
    const std::string &service = parsed.document->service;
    const auto deadline = session.hooks.now() + arguments.timeout;
    document_writer writer(session, configKey(service), *text, deadline);
    const auto version = writer.write(arguments.expectedVersion);
    if (!version.ok()) {
        return session.fail(version.status());
    }
    return awaitDecision(session, service, *version, deadline);
}

} // namespace persimmonrail
