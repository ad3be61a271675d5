/* Distribution of one service's configuration (docs/design.md, section 5). See docs/model.md.
 *
 * The platform holds the team's document and the accepted copy. Versions stand for documents: the
 * content of a document is only whether it is valid. Two operators write by conditional update, the
 * coordinator copies valid documents, daemons read the platform (as relays) or pull from peers.
 *
 * SPREAD leaves out operators and coordinator: the accepted version just rises. WRITES leaves out
 * pulls, restarts and delayed responses. Without either define everything takes part.
 *
 * Abstracted away:
 * - A pull that is late, repeated or lost: responses may be kept back and delivered later; a
 *   postponed step stands for a pause, a loss or a platform outage of any length.
 * - Each daemon may act as a relay, and a relay may receive any past state of the watch.
 * - Objects other than the service's accepted document, truncated responses and relay election.
 * - Readiness asks two peers, since there are three daemons; daemons 0 and 1 are in one availability
 *   zone and daemon 2 in another, so the answer of daemon 2 is one of the two, unless it is the one
 *   that starts.
 * - A restarted daemon is bound by what it reported in pulls to peers that have not restarted since.
 *   REACH_UNREPORTED shows that it may fall below a version that it enforced and never reported.
 * - The store-wide revision is the version of the accepted copy.
 */
#ifndef VMAX
#define VMAX 3
#endif
#ifdef WRITES
#define RESTARTS 0
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
#define ND 3
#define OPERATORS 2

bool platform_up = true;

/* The team's document: its version, and which versions are valid, by writer. */
byte doc = 1;
bool valid[VMAX + 1];
/* Accepted copies by version: each one's source version. */
byte accepted = 1;
byte source[VMAX + 1];

/* Operators: version each has read, and whether its edit is under way. */
byte seen[OPERATORS];
/* Contents that the operators' accepted writes were based on. */
byte edits[OPERATORS];

/* Daemons: newest accepted version, whether ready, and answers asked for since the start. */
byte ver[ND], answers[ND];
bool ready[ND];
/* Highest version that each daemon remembers another one to have reported. */
byte reported[ND * ND];
byte restarts;
/* A response kept back: version and addressee. */
byte kept, kept_to;
bool kept_used;
/* The document version that each of two coordinators has read and validates. */
byte candidate[2];

/* Ghost: lowest version each instance may enforce now. */
byte enforced[ND];
bool by_peers;

hidden byte h;

#ifdef M_MONOTONE
#define NEWER(d, x) true
#else
#define NEWER(d, x) (x > ver[d])
#endif
#ifdef M_FLOOR
#define FLOOR_OK(d, x) true
#else
#define FLOOR_OK(d, x) (ver[d] >= x)
#endif

#define RAISE(d, x) if :: enforced[d] < x -> enforced[d] = x :: else fi
/* The floor of a daemon that is starting, after a peer's memory was lost. */
#define REMEMBERED(e) \
    if \
    :: !ready[e] -> \
        enforced[e] = 0; \
        RAISE(e, reported[e]); RAISE(e, reported[ND + e]); RAISE(e, reported[2 * ND + e]) \
    :: else \
    fi;

inline enforce(d) {
    assert(ver[d] >= enforced[d]);
    assert(valid[source[ver[d]]]);
    enforced[d] = ver[d]
}

inline receive(d, x) {
    if
    :: NEWER(d, x) ->
        ver[d] = x;
        if :: ready[d] -> enforce(d) :: else fi
    :: else
    fi
}

proctype operator(byte o) {
    do
    :: d_step { seen[o] != doc -> seen[o] = doc }
#ifdef M_OPERATOR
    /* Writes whatever is stored now. */
#define UPDATE_OK(o) (seen[o] != 0)
#else
#define UPDATE_OK(o) (seen[o] == doc)
#endif
#define UPDATE(good) \
    :: d_step { platform_up && UPDATE_OK(o) && doc < VMAX -> \
        assert(seen[o] == doc); /* otherwise the other operator's change is lost */ \
        doc++; valid[doc] = good; seen[o] = 0 }
    UPDATE(true)
    UPDATE(false)
    od
}

/* Two daemons believe that they are the coordinator; the copy is a conditional update. */
proctype coordinator(byte c) {
    do
    :: d_step { platform_up && candidate[c] != doc -> candidate[c] = doc }
#ifdef M_VALIDATION
#define ACCEPTABLE true
#else
#define ACCEPTABLE valid[candidate[c]]
#endif
    :: d_step { platform_up && candidate[c] > source[accepted] && ACCEPTABLE && accepted < VMAX ->
        accepted++; source[accepted] = candidate[c];
        assert(source[accepted] > source[accepted - 1]) }
    od
}

proctype daemon(byte d) {
    do
    /* Reads the platform: complete, so the daemon is ready. */
    :: d_step { platform_up && (ver[d] < accepted || !ready[d]) ->
        receive(d, accepted);
        if :: !ready[d] -> ready[d] = true; enforce(d) :: else fi }
    /* A stale relay: the watch delivers any earlier state. */
    :: d_step { ready[d] && accepted > 1 -> receive(d, accepted - 1) }
#ifndef WRITES
    /* Pulls; the peer remembers what this instance reported. */
#define PULL(p) \
    :: d_step { p != d && ready[p] -> \
        h = reported[p * ND + d]; \
        if :: ready[d] && ver[d] > h -> reported[p * ND + d] = ver[d] :: else fi; \
        receive(d, ver[p]); \
        if \
        :: !ready[d] -> \
            answers[d] = answers[d] | (1 << p); \
            if :: FLOOR_OK(d, h) :: else -> answers[d] = 0 fi \
        :: else \
        fi; \
        h = 0 }
    PULL(0)
    PULL(1)
    PULL(2)
#endif
    /* Readiness without the platform: all peers answered and none knows a higher floor. */
    :: d_step { !ready[d] && answers[d] == (7 & ~(1 << d)) ->
        ready[d] = true; answers[d] = 0; by_peers = true; enforce(d) }
    :: d_step { ready[d] && restarts < RESTARTS ->
        restarts++; ready[d] = false; ver[d] = 0; answers[d] = 0;
        for (h : 0 .. ND - 1) { reported[d * ND + h] = 0 }
        h = 0;
#ifndef REACH_UNREPORTED
        /* From here on only the reports that other processes remember bind it. */
        REMEMBERED(0) REMEMBERED(1) REMEMBERED(2)
#endif
        }
    od
}

proctype environment() {
    do
    :: d_step { platform_up -> platform_up = false }
    :: d_step { !platform_up -> platform_up = true }
#ifndef WRITES
    /* A response that arrives after newer ones, perhaps at a restarted daemon's peer. */
    :: d_step { !kept_used && ready[0] -> kept_used = true; kept = ver[0]; kept_to = 1 }
    :: d_step { !kept_used && ready[0] -> kept_used = true; kept = ver[0]; kept_to = 2 }
    :: d_step { kept != 0 && ready[kept_to] -> receive(kept_to, kept) }
#endif
#ifdef SPREAD
    :: d_step { accepted < VMAX -> accepted++; valid[accepted] = true; source[accepted] = accepted }
#endif
    od
}

#ifdef REACH_NEWEST
/* The newest document is in force everywhere, after a restart and an invalid document. */
active proctype reach() {
    d_step { accepted == 2 && source[2] == VMAX && !valid[VMAX - 1] && restarts > 0 && ready[0] &&
        ready[1] && ready[2] && ver[0] == 2 && ver[1] == 2 && ver[2] == 2 -> assert(false) }
}
#endif

#ifdef REACH_OUTAGE
/* A restarted daemon becomes ready by peers alone, with the newest version. */
active proctype reach() {
    d_step { restarts > 0 && !platform_up && ready[0] && ready[1] && ready[2] && by_peers &&
        ver[0] == accepted && ver[1] == accepted && ver[2] == accepted && accepted > 1 -> assert(false) }
}
#endif

init {
    d_step {
        valid[1] = true; source[1] = 1;
        ver[0] = 1; ver[1] = 1; ver[2] = 1;
        ready[0] = true; ready[1] = true; ready[2] = true;
        enforced[0] = 1; enforced[1] = 1; enforced[2] = 1
    }
    atomic {
#ifndef SPREAD
        run operator(0); run operator(1); run coordinator(0); run coordinator(1);
#endif
        run daemon(0); run daemon(1); run daemon(2);
        run environment()
    }
}
