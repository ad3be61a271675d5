#include "persimmonrail/router/object_watcher.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Watches that may wait for a lost response at the same time, and the current one.
constexpr size_t maxSessions = 4;

milliseconds elapsed(boot_time from, boot_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace

object_watcher::object_watcher(object_api api, std::string prefix, hooks hooks,
                               object_watcher_options options)
    : m_api(std::move(api))
    , m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_options(options)
    , m_freshness(options.freshness.value_or(watch_freshness_options()))
    , m_checkDelay(options.initialRetryDelay)
{ }

object_watcher::~object_watcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    // A check may start a session.
    m_checker.reset();
    m_sessions.clear();
}

void object_watcher::start()
{
    if (m_options.freshness) {
        m_checker = std::make_unique<background_worker>();
    }
    const std::lock_guard lock(m_mutex);
    startSession(false);
}

void object_watcher::startSession(bool isListed)
{
    const session next{++m_sessionNumber, isListed};
    m_sessions.push_back(std::make_unique<background_worker>());
    m_sessions.back()->enqueue([this, next] { run(next); });
}

bool object_watcher::isCurrent(const session &session) const
{
    const std::lock_guard lock(m_mutex);
    return !m_isStopping && session.number == m_sessionNumber;
}

void object_watcher::waitFor(milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait_for(lock, time, [this] { return m_isStopping; });
}

void object_watcher::reportEvent(const std::string &event)
{
    if (m_hooks.onEvent) {
        m_hooks.onEvent(event);
    }
}

absl::Status object_watcher::listOrWatch(session &session)
{
    session.hasWatchResponded = false;
    return session.isListed ? watch(session) : list(session);
}

absl::Status object_watcher::list(session &session)
{
    const sent_call call = beginCall();
    const auto list = m_api.list(m_prefix);
    if (!list.ok()) {
        return list.status();
    }
    session.isListed = true;
    applyList(*list, call);
    return absl::OkStatus();
}

absl::Status object_watcher::watch(session &session)
{
    const sent_call call = beginCall();
    milliseconds wait = m_options.maxWatchWait;
    {
        const std::lock_guard lock(m_mutex);
        ++m_watchNumber;
        m_isWatching = true;
        wait = m_options.freshness ? m_freshness.watchWait(call.sentAt) : wait;
    }
    const auto changes = m_api.watch(m_prefix, call.revision, wait);
    {
        const std::lock_guard lock(m_mutex);
        if (session.number != m_sessionNumber) {
            // A new watch has taken over.
            return absl::OkStatus();
        }
        m_isWatching = false;
    }
    if (absl::IsOutOfRange(changes.status())) {
        session.isListed = false;
        const auto waited = elapsed(call.sentAt, bootNow());
        reportEvent(absl::StrCat("history-gone waited_ms=", waited.count()));
        return absl::OkStatus();
    }
    if (!changes.ok()) {
        return changes.status();
    }
    session.hasWatchResponded = true;
    // If a check was faster, the next watch returns what this one had beyond it.
    applyChanges(*changes, call);
    return absl::OkStatus();
}

// The watch that waits may have lost its response, and would then hide further changes.
void object_watcher::replaceWatch(uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_sessions, [](const auto &each) { return each->pendingCalls() == 0; });
    if (m_isWatching && m_watchNumber == number && m_sessions.size() < maxSessions) {
        m_isWatching = false;
        startSession(true);
    }
}

object_watcher::sent_call object_watcher::beginCall()
{
    const std::lock_guard lock(m_mutex);
    return {bootNow(), m_revision, m_appliedCount};
}

bool object_watcher::recordResult(const sent_call &call, uint64_t revision, boot_time receivedAt)
{
    const std::lock_guard lock(m_mutex);
    if (m_appliedCount != call.appliedCount) {
        return false;
    }
    ++m_appliedCount;
    m_revision = revision;
    m_freshness.onResponse(revision, receivedAt);
    return true;
}

bool object_watcher::applyList(const object_list &list, const sent_call &call)
{
    const std::lock_guard lock(m_applyMutex);
    // The store may have listed the objects as soon as the call was sent.
    if (!recordResult(call, list.revision, call.sentAt)) {
        return false;
    }
    m_hooks.onList(list, call.sentAt);
    recordListed(list);
    reportConfirmed(call.sentAt);
    return true;
}

bool object_watcher::applyChanges(const object_list &changes, const sent_call &call)
{
    const std::lock_guard lock(m_applyMutex);
    const boot_time receivedAt = bootNow();
    if (!recordResult(call, std::max(call.revision, changes.revision), receivedAt)) {
        return false;
    }
    m_hooks.onChanges(changes, call.sentAt);
    recordChanged(changes);
    reportConfirmed(receivedAt);
    return true;
}

// A list doesn't show when objects were removed, so a removal counts as of the list's revision.
void object_watcher::recordListed(const object_list &list)
{
    std::set<std::string> listed;
    for (const stored_object &object : list.objects) {
        listed.insert(object.key);
        m_newestChange = std::max(m_newestChange, object.version);
    }
    if (!std::includes(listed.begin(), listed.end(), m_knownKeys.begin(), m_knownKeys.end())) {
        m_newestChange = std::max(m_newestChange, list.revision);
    }
    m_knownKeys = std::move(listed);
}

void object_watcher::recordChanged(const object_list &changes)
{
    for (const stored_object &object : changes.objects) {
        m_newestChange = std::max(m_newestChange, object.version);
        if (object.deleted) {
            m_knownKeys.erase(object.key);
        } else {
            m_knownKeys.insert(object.key);
        }
    }
}

void object_watcher::reportConfirmed(boot_time confirmedAt)
{
    if (m_options.freshness && m_hooks.onConfirmed) {
        m_hooks.onConfirmed(m_newestChange, confirmedAt);
    }
}

void object_watcher::onStoreProgress(const store_progress &progress, boot_time receivedAt)
{
    const std::lock_guard applyLock(m_applyMutex);
    bool isConfirmed = false;
    {
        const std::lock_guard lock(m_mutex);
        isConfirmed = m_freshness.onStoreProgress(progress, receivedAt);
    }
    if (isConfirmed) {
        reportConfirmed(receivedAt);
    }
}

void object_watcher::onNotice(uint64_t version, boot_time confirmedAt, boot_time now)
{
    const std::lock_guard lock(m_mutex);
    m_freshness.onNotice(version, confirmedAt, now);
}

void object_watcher::onNoticesEnded()
{
    const std::lock_guard lock(m_mutex);
    m_freshness.onNoticesEnded();
}

milliseconds object_watcher::age(boot_time now) const
{
    const std::lock_guard lock(m_mutex);
    return m_freshness.age(now);
}

void object_watcher::checkIfDoubtful(boot_time now)
{
    if (m_checker == nullptr) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const watch_freshness::doubt doubt = m_freshness.evaluate(now);
    // Without a watch, the thread of the watch lists the objects already.
    const bool canCheck = m_isWatching && !m_isChecking && !m_isStopping && now >= m_nextCheckAt;
    if (doubt != watch_freshness::doubt::None && canCheck) {
        m_isChecking = true;
        m_checker->enqueue([this, doubt] { check(doubt); });
    }
}

void object_watcher::check(watch_freshness::doubt doubt)
{
    const sent_call call = beginCall();
    uint64_t noticedVersion = 0;
    uint64_t watchNumber = 0;
    milliseconds age{0};
    {
        const std::lock_guard lock(m_mutex);
        watchNumber = m_watchNumber;
        noticedVersion = m_freshness.noticedVersion();
        age = m_freshness.age(call.sentAt);
    }
    reportEvent(absl::StrCat("check cause=", toAbsl(toString(doubt)), " age_ms=", age.count(),
                             " known_version=", call.revision,
                             " noticed_version=", noticedVersion));
    const auto list = m_api.list(m_prefix);
    const bool isApplied = list.ok() && applyList(*list, call);
    if (isApplied) {
        replaceWatch(watchNumber);
    }
    const boot_time now = bootNow();
    {
        const std::lock_guard lock(m_mutex);
        m_isChecking = false;
        if (list.ok()) {
            m_freshness.onNoticeAnswered(noticedVersion);
        }
        m_nextCheckAt = list.ok() ? boot_time{} : now + m_checkDelay;
        m_checkDelay = list.ok() ? m_options.initialRetryDelay
                                 : std::min(m_checkDelay * 2, m_options.maxRetryDelay);
    }
    const std::string_view outcome = !list.ok() ? "failed" : isApplied ? "applied" : "outrun";
    reportEvent(absl::StrCat("checked outcome=", toAbsl(outcome),
                             " took_ms=", elapsed(call.sentAt, now).count()));
}

void object_watcher::run(session session)
{
    milliseconds retryDelay = m_options.initialRetryDelay;
    while (isCurrent(session)) {
        const absl::Status status = listOrWatch(session);
        if (!isCurrent(session)) {
            return;
        }
        if (status.ok() != m_isReachable || !m_hasReportedReachability) {
            m_hasReportedReachability = true;
            m_isReachable = status.ok();
            m_hooks.onReachabilityChange(status.ok(), status);
        }
        if (status.ok()) {
            // A list may take another path to the store than a watch, so only a successful watch
            // resets the delay.
            retryDelay = session.hasWatchResponded ? m_options.initialRetryDelay : retryDelay;
            continue;
        }
        // The store may have dropped the history since the failure, and a list is correct in any
        // case.
        session.isListed = false;
        waitFor(retryDelay);
        retryDelay = std::min(retryDelay * 2, m_options.maxRetryDelay);
    }
}

} // namespace persimmonrail
