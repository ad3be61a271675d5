#pragma once

#include "persimmonrail/base/boot_clock.h"
#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmonrail {

struct watch_freshness_options
{
    // Bounds the wait of one watch while something else confirms what is known. The store counts
    // each watch as one call, so a longer wait costs fewer calls.
    milliseconds informedWait{20000};
    // Bounds the wait of one watch while nothing else does.
    milliseconds uninformedWait{1500};
    // Time after a response of the store within which the next one is due. Must exceed
    // `uninformedWait`, and the wait of a watch that shows the store's progress, by what a slow
    // store takes.
    milliseconds maxSilence{2000};
    // Time within which notices of another daemon are renewed. Must exceed the time for which a
    // relay lets a follower wait, and `uninformedWait`.
    milliseconds maxNoticeAge{4500};
    // Time for which a newer notice is left to the watch that waits, whose response with the same
    // change is usually on its way.
    milliseconds noticeGrace{250};
};

// What a watch of other objects shows of the store.
struct store_progress
{
    // Revisions from which the watch was sent, and up to which it returned all changes.
    uint64_t from = 0;
    uint64_t to = 0;
    // Versions of these changes. Each change of the store takes one revision, so the store has
    // changed nothing else if there are as many of them as revisions.
    std::vector<uint64_t> versions;
};

// Returns what the response to a watch from `from` shows. Removals are left out, since they have
// the revision of the response in place of their own.
store_progress progressOf(uint64_t from, const object_list &changes);

// Decides whether a watch of the store has to be doubted. A lost response looks like a store in
// which nothing changes, so what a daemon knows counts as current only for a bounded time after the
// store has confirmed it: by a response, by a watch of other objects that shows all changes of the
// store, or to another daemon that knows nothing newer.
//
// Load that it answers: a store that loses responses, to one daemon or to all, while each call to
// it costs and thousands of daemons follow the same objects.
//
// Times are of the boot clock, so a suspended host doubts what it knows. Reads no clock and does no
// I/O. Not thread safe.
class watch_freshness
{
public:
    // Why what is known has to be read anew.
    enum class doubt {
        None,
        // Another daemon has read a newer change.
        NewerNotice,
        // Neither the store nor another daemon has confirmed what is known in time.
        Silence,
    };

    explicit watch_freshness(watch_freshness_options options = {});

    // Records a response of the store, which covers all changes up to `revision`.
    void onResponse(uint64_t revision, boot_time receivedAt);
    // Records what a watch of other objects has shown. Returns whether it confirms that what is
    // known is current.
    bool onStoreProgress(const store_progress &progress, boot_time receivedAt);
    // Records what another daemon knows: the version of the newest change that it has read, and
    // when the store showed it that there was no newer one.
    void onNotice(uint64_t version, boot_time confirmedAt, boot_time now);
    // Records that the daemon whose notices arrived is no longer followed.
    void onNoticesEnded();
    // Records that the store has shown all of its changes after a notice of `version`, so that an
    // erroneous notice causes no further calls.
    void onNoticeAnswered(uint64_t version);

    doubt evaluate(boot_time now) const;
    // Returns the bound of the wait of a watch that begins now.
    milliseconds watchWait(boot_time now) const;
    // Returns how long ago what is known was confirmed last.
    milliseconds age(boot_time now) const;
    // Returns the newest version that another daemon told of.
    uint64_t noticedVersion() const { return m_noticedVersion; }

private:
    bool hasRecentNotice(boot_time now) const;
    bool isBehindNotice() const;

    const watch_freshness_options m_options;
    // Revision up to which all changes are known.
    uint64_t m_revision = 0;
    boot_time m_respondedAt{};
    // When another watch last confirmed what is known.
    boot_time m_progressedAt{};
    uint64_t m_noticedVersion = 0;
    // Since when m_noticedVersion is newer than what is known.
    boot_time m_behindSince{};
    uint64_t m_answeredVersion = 0;
    // 0 if no other daemon tells of changes.
    boot_time m_noticeConfirmedAt{};
};

// Returns "none", "newer-notice" or "silence".
std::string_view toString(watch_freshness::doubt doubt);

} // namespace persimmonrail
