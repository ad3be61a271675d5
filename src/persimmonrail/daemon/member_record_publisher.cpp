#include "persimmonrail/daemon/member_record_publisher.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Delay after a failed call. Outages of the platform last much longer than this.
constexpr milliseconds retryDelay{1000};

} // namespace

member_record_publisher::member_record_publisher(member_record desiredRecord,
                                                 platform_worker &platform, decision_log &log)
    : m_desiredRecord(std::move(desiredRecord))
    , m_platform(platform)
    , m_log(log)
{ }

void member_record_publisher::setSlots(int slots)
{
    if (m_desiredRecord.slots != slots) {
        m_desiredRecord.slots = slots;
        m_isUpToDate = false;
    }
}

void member_record_publisher::deleteRecord()
{
    if (!m_shouldDelete) {
        m_shouldDelete = true;
        m_isUpToDate = false;
        m_nextAttemptAt = {};
    }
}

void member_record_publisher::writeIfChanged(steady_time now)
{
    if (!m_isUpToDate && !m_isCallPending && now >= m_nextAttemptAt) {
        m_isCallPending = true;
        readRecord(now);
    }
}

// Reads the record before each write, because an earlier attempt, or an earlier incarnation of this
// instance, may have changed the record in the meantime.
void member_record_publisher::readRecord(steady_time /*now*/)
{
    m_platform.get(
        memberKey(m_desiredRecord.id.name),
        [this](const absl::StatusOr<stored_object> &object, steady_time completedAt) {
            m_isCallPending = false;
            if (!object.ok() && object.status().code() != absl::StatusCode::kNotFound) {
                scheduleRetry(object.status(), completedAt);
                return;
            }
            const uint64_t version = object.ok() ? object->version : 0;
            const auto storedRecord = object.ok() ? decodeMember(object->value)
                                                  : absl::StatusOr<member_record>(object.status());
            const bool isOwnRecord = storedRecord.ok() && storedRecord->id == m_desiredRecord.id;
            if (m_shouldDelete ? !isOwnRecord
                               : (storedRecord.ok() && *storedRecord == m_desiredRecord)) {
                m_isUpToDate = true;
                return;
            }
            m_isCallPending = true;
            writeRecord(version);
        });
}

void member_record_publisher::writeRecord(uint64_t version)
{
    const auto done = [this, writtenRecord = m_desiredRecord](
                          const absl::StatusOr<uint64_t> &result, steady_time now) {
        m_isCallPending = false;
        if (!result.ok()) {
            scheduleRetry(result.status(), now);
            return;
        }
        m_isUpToDate = m_shouldDelete || writtenRecord == m_desiredRecord;
        m_log.write(log_level::Info,
                    absl::StrCat("member record of ", toString(m_desiredRecord.id),
                                 m_shouldDelete ? " deleted" : " written", ", slots ",
                                 writtenRecord.slots));
    };
    if (m_shouldDelete) {
        m_platform.remove(memberKey(m_desiredRecord.id.name), version, done);
    } else {
        m_platform.put(memberKey(m_desiredRecord.id.name), version, encodeMember(m_desiredRecord),
                       done);
    }
}

void member_record_publisher::scheduleRetry(const absl::Status &status, steady_time now)
{
    m_nextAttemptAt = now + retryDelay;
    m_log.write(log_level::Warn,
                absl::StrCat("member record not written: ", std::string(status.message())));
}

} // namespace persimmonrail
