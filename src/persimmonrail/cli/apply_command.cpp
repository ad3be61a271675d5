#include "persimmonrail/cli/apply_command.h"

#include "persimmonrail/document/document_acceptance.h"
#include "persimmonrail/objects/http_object_api.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Between attempts while the platform is unavailable or its rate is exceeded.
constexpr milliseconds retryPause{200};
// Shorter than what intermediaries commonly allow for one call.
constexpr milliseconds maxWatch{10'000};

// One write of one document, repeated until its result is certain or the time is over.
class document_writer
{
public:
    document_writer(const cli_session &session, std::string key, std::string text, steady_time end)
        : m_session(session)
        , m_key(std::move(key))
        , m_text(std::move(text))
        , m_end(end)
    { }

    // Returns the version that holds the document. Errors: Aborted on a conflict; those of
    // object_api.
    absl::StatusOr<uint64_t> write(std::optional<uint64_t> expectedVersion)
    {
        for (;;) {
            auto result = attempt(expectedVersion);
            const bool isRetried = absl::IsUnavailable(result.status())
                || absl::IsUnknown(result.status()) || absl::IsResourceExhausted(result.status());
            if (!isRetried) {
                return result;
            }
            if (m_session.hooks.now() >= m_end) {
                return m_isInDoubt ? absl::UnknownError(
                           absl::StrCat("the document may have been stored; check with 'show': ",
                                        std::string(result.status().message())))
                                   : result;
            }
            m_session.hooks.pause(retryPause);
        }
    }

private:
    absl::StatusOr<uint64_t> attempt(std::optional<uint64_t> &expectedVersion)
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
            // Kept for later attempts, which must not replace what was written in between.
            expectedVersion = current->has_value() ? (*current)->version : 0;
        }
        if (m_isInDoubt) {
            return resolve(*expectedVersion);
        }
        const auto written = m_session.platform.put(m_key, *expectedVersion, m_text);
        if (written.ok()) {
            m_session.out << "stored: " << m_key << " version " << *written << "\n";
        }
        if (absl::IsUnknown(written.status())) {
            m_isInDoubt = true;
            return resolve(*expectedVersion);
        }
        return absl::IsAborted(written.status()) ? conflict(*expectedVersion) : written;
    }

    // Reads back after a write whose answer was lost.
    absl::StatusOr<uint64_t> resolve(uint64_t expectedVersion)
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
            // The next attempt writes under the same version, so the document is stored once even
            // if the first write takes effect later.
            m_isInDoubt = false;
            return absl::UnknownError("the write had no answer and has not taken effect so far");
        case read_back_state::Replaced:
            break;
        }
        return describeConflict(expectedVersion, result->version);
    }

    absl::StatusOr<uint64_t> conflict(uint64_t expectedVersion)
    {
        const auto current = getOptional(m_session.platform, m_key);
        if (!current.ok()) {
            return absl::AbortedError(absl::StrCat("conflict: ", m_key, " is no longer at version ",
                                                   expectedVersion, "; nothing was overwritten"));
        }
        if (!current->has_value()) {
            return describeConflict(expectedVersion, 0);
        }
        // An earlier attempt may have taken effect after it was read back.
        if ((*current)->value == m_text && (*current)->version > expectedVersion) {
            m_session.out << "stored: " << m_key << " version " << (*current)->version << "\n";
            return (*current)->version;
        }
        return describeConflict(expectedVersion, (*current)->version);
    }

    absl::Status describeConflict(uint64_t expectedVersion, uint64_t version) const
    {
        return absl::AbortedError(absl::StrCat(
            "conflict: ", m_key,
            version == 0 ? " does not exist" : absl::StrCat(" is at version ", version),
            ", expected version ", expectedVersion, "; nothing was overwritten"));
    }

    const cli_session &m_session;
    const std::string m_key;
    const std::string m_text;
    const steady_time m_end;
    bool m_isInDoubt = false;
};

// Returns the newest verdict on `version` or a later one, together with the revision of the read.
struct verdict_read
{
    std::optional<document_status> status;
    uint64_t revision = 0;
};

absl::StatusOr<verdict_read> readVerdict(const object_api &platform, const std::string &key,
                                         uint64_t version)
{
    const auto list = platform.list(key);
    if (!list.ok()) {
        return list.status();
    }
    verdict_read read;
    read.revision = list->revision;
    for (const auto &object : list->objects) {
        // The prefix also covers services whose names continue this one.
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

cli_exit report(const cli_session &session, const document_status &status, uint64_t version)
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

cli_exit awaitVerdict(const cli_session &session, const std::string &service, uint64_t version,
                      steady_time end)
{
    const std::string key = statusKey(service);
    std::string lastError;
    for (;;) {
        const auto read = readVerdict(session.platform, key, version);
        if (read.ok() && read->status) {
            return report(session, *read->status, version);
        }
        lastError = read.ok() ? "" : absl::StrCat(": ", std::string(read.status().message()));
        const auto now = session.hooks.now();
        if (now >= end) {
            break;
        }
        const auto remaining = std::chrono::ceil<milliseconds>(end - now);
        // The result is read by the next list, which also covers a compacted revision.
        if (!read.ok()
            || !session.platform.watch(key, read->revision, std::min(remaining, maxWatch)).ok()) {
            session.hooks.pause(std::min(remaining, retryPause));
        }
    }
    return session.fail(
        absl::StrCat("version ", version, " is stored, but there is no verdict yet", lastError));
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
    const auto end = session.hooks.now() + arguments.wait;
    document_writer writer(session, configKey(service), *text, end);
    const auto version = writer.write(arguments.expectedVersion);
    if (!version.ok()) {
        return session.fail(version.status());
    }
    return awaitVerdict(session, service, *version, end);
}

} // namespace persimmonrail
