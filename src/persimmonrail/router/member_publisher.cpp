#include "persimmonrail/router/member_publisher.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace persimmonrail {
namespace {

constexpr milliseconds initialRetryDelay{100};
constexpr milliseconds maxRetryDelay{1000};

} // namespace

member_publisher::member_publisher(object_api store, control_loop &loop, decision_log &log,
                                   std::function<void(const stored_object &object)> onObject)
    : m_store(std::move(store))
    , m_loop(loop)
    , m_log(log)
    , m_onObject(std::move(onObject))
{ }

void member_publisher::publish(const upstream_member &member)
{
    m_desiredMembers[member.id.name] = member;
}

void member_publisher::tick(const fleet_directory &directory, steady_time now)
{
    if (m_isWritePending || now < m_nextWriteAt) {
        return;
    }
    // Present members first, so that the keys of one that has ended go to its successor.
    for (const bool isTerminated : {false, true}) {
        for (const auto &[name, member] : m_desiredMembers) {
            const auto *known = directory.findMember(name);
            if (member.isTerminated == isTerminated
                && (known == nullptr || !(known->recorded() == member))) {
                writeMember(member, known == nullptr ? 0 : known->version);
                return;
            }
        }
    }
}

void member_publisher::writeMember(const upstream_member &member, uint64_t version)
{
    m_isWritePending = true;
    m_worker.enqueue([this, member, version] {
        const std::string key = memberKey(member.id.name);
        const std::string value = encodeMember(member);
        const auto written = m_store.put(key, version, value);
        std::optional<stored_object> object;
        if (written.ok()) {
            object = stored_object{key, *written, false, value};
        } else if (const auto read = m_store.get(key); read.ok()) {
            object = *read;
        }
        m_loop.post([this, member, object, status = written.status()](steady_time now) {
            m_isWritePending = false;
            m_retryDelay =
                status.ok() ? initialRetryDelay : std::min(m_retryDelay * 2, maxRetryDelay);
            m_nextWriteAt = status.ok() ? now : now + m_retryDelay;
            m_log.write(status.ok() ? log_level::Info : log_level::Warn,
                        absl::StrCat("member upstream=", toString(member.id),
                                     " leaving=", member.isDraining, " gone=", member.isTerminated,
                                     " slots=", member.slots,
                                     " outcome=", status.ok() ? "written" : status.ToString()));
            if (object) {
                m_onObject(*object);
            }
        });
    });
}

} // namespace persimmonrail
