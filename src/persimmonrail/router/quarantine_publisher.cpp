#include "persimmonrail/router/quarantine_publisher.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace persimmonrail {
namespace {

// Several requests lose their connections at a crash, within some milliseconds.
constexpr milliseconds writeInterval{250};
constexpr milliseconds initialRetryDelay{100};
constexpr milliseconds maxRetryDelay{1000};

} // namespace

quarantine_publisher::quarantine_publisher(
    std::string service, crash_quarantine &quarantine, object_api store, control_loop &loop,
    decision_log &log, std::function<void(const stored_object &object)> onObject)
    : m_service(std::move(service))
    , m_quarantine(quarantine)
    , m_store(std::move(store))
    , m_loop(loop)
    , m_log(log)
    , m_onObject(std::move(onObject))
{ }

void quarantine_publisher::onDirectory(const fleet_directory &directory, steady_time now,
                                       wall_time wallNow)
{
    const auto *known = directory.findQuarantine(m_service);
    if (known != nullptr && known->version != m_mergedVersion) {
        m_mergedVersion = known->version;
        m_quarantine.merge(toEntries(known->record, wallNow), now);
    }
}

void quarantine_publisher::tick(const fleet_directory &directory, steady_time now,
                                wall_time wallNow)
{
    if (m_isWritePending || now < m_nextWriteAt) {
        return;
    }
    const auto evidence = m_quarantine.entries(maxQuarantineRecordItems, now);
    const auto *known = directory.findQuarantine(m_service);
    if (lacksEvidence(known == nullptr ? quarantine_record() : known->record, evidence, wallNow)) {
        write(encodeQuarantineRecord(toRecord(evidence, wallNow)),
              known == nullptr ? 0 : known->version);
    }
}

void quarantine_publisher::write(const std::string &value, uint64_t version)
{
    m_isWritePending = true;
    m_worker.enqueue([this, value, version] {
        const std::string key = quarantineKey(m_service);
        const auto written = m_store.put(key, version, value);
        std::optional<stored_object> object;
        if (written.ok()) {
            object = stored_object{key, *written, false, value};
        } else if (const auto read = m_store.get(key); read.ok()) {
            object = *read;
        }
        m_loop.post([this, object, status = written.status()](steady_time now) {
            m_isWritePending = false;
            m_retryDelay =
                status.ok() ? initialRetryDelay : std::min(m_retryDelay * 2, maxRetryDelay);
            m_nextWriteAt = now + (status.ok() ? writeInterval : m_retryDelay);
            m_log.write(status.ok() ? log_level::Info : log_level::Warn,
                        absl::StrCat("quarantine service=", m_service,
                                     " outcome=", status.ok() ? "written" : status.ToString()));
            if (object) {
                m_onObject(*object);
            }
        });
    });
}

} // namespace persimmonrail
