#include "persimmonrail/daemon/member_announcer.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Pause after a failed call; the platform's outages last much longer than this.
constexpr milliseconds retryDelay{1000};

} // namespace

member_announcer::member_announcer(member_record self, platform_worker &platform, decision_log &log)
    : m_self(std::move(self))
    , m_platform(platform)
    , m_log(log)
{ }

void member_announcer::setSlots(int slots)
{
    if (m_self.slots != slots) {
        m_self.slots = slots;
        m_settled = false;
    }
}

void member_announcer::withdraw()
{
    if (!m_withdrawing) {
        m_withdrawing = true;
        m_settled = false;
        m_nextAttempt = {};
    }
}

void member_announcer::tick(steady_time now)
{
    if (!m_settled && !m_busy && now >= m_nextAttempt) {
        m_busy = true;
        read(now);
    }
}

// The record is read before each write, because the write of a former attempt or of this
// instance's former run may have taken effect.
void member_announcer::read(steady_time /*now*/)
{
    m_platform.get(memberKey(m_self.id.name),
                   [this](const absl::StatusOr<stored_object> &object, steady_time later) {
                       m_busy = false;
                       if (!object.ok() && object.status().code() != absl::StatusCode::kNotFound) {
                           retryLater(object.status(), later);
                           return;
                       }
                       const uint64_t version = object.ok() ? object->version : 0;
                       const auto stored = object.ok()
                           ? decodeMember(object->value)
                           : absl::StatusOr<member_record>(object.status());
                       const bool ownRecord = stored.ok() && stored->id == m_self.id;
                       if (m_withdrawing ? !ownRecord : (stored.ok() && *stored == m_self)) {
                           m_settled = true;
                           return;
                       }
                       m_busy = true;
                       write(version);
                   });
}

void member_announcer::write(uint64_t version)
{
    const auto done = [this, written = m_self](const absl::StatusOr<uint64_t> &result,
                                               steady_time now) {
        m_busy = false;
        if (!result.ok()) {
            retryLater(result.status(), now);
            return;
        }
        m_settled = m_withdrawing || written == m_self;
        m_log.write(log_level::Info,
                    absl::StrCat("member record of ", toString(m_self.id),
                                 m_withdrawing ? " deleted" : " written", ", slots ",
                                 written.slots));
    };
    if (m_withdrawing) {
        m_platform.remove(memberKey(m_self.id.name), version, done);
    } else {
        m_platform.put(memberKey(m_self.id.name), version, encodeMember(m_self), done);
    }
}

void member_announcer::retryLater(const absl::Status &status, steady_time now)
{
    m_nextAttempt = now + retryDelay;
    m_log.write(log_level::Warn,
                absl::StrCat("member record not written: ", std::string(status.message())));
}

} // namespace persimmonrail
