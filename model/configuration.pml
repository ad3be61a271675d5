/* Distribution of one service's configuration (docs/design.md, section 5). See docs/model.md.
 *
 * The platform stores the service team's document and the accepted copy of it. The model reduces a
 * document to its version and whether it is valid. Two operators write the document by conditional
 * update, the coordinator copies valid documents, and the daemons read the platform (as relays do)
 * or pull from their peers.
 *
 * A run may define one of two reduced configurations. ONLY_DISTRIBUTION leaves out the operators
 * and the coordinator, and the accepted version simply increases. ONLY_WRITES leaves out pulls,
 * restarts and delayed responses. Without either of them, the model is complete.
 *
 * Abstractions:
 * - Any step may be delayed indefinitely, which covers pauses, lost messages and platform outages
 *   of any length. The response to a pull may be delayed and then delivered more than once.
 * - Any daemon may act as a relay, and a relay may receive an outdated state from its watch.
 * - Objects other than the service's accepted document, truncated responses and the election of
 *   relays are not modelled.
 * - A daemon needs responses of two peers to become ready without the platform, because there are
 *   only three daemons. Daemons 0 and 1 are in one availability zone and daemon 2 is in another, so
 *   daemon 2 is one of the two peers unless it is the daemon that starts.
 * - A restarted daemon may not enforce a version below those that it reported in pulls to peers
 *   that have not restarted since. REACH_UNREPORTED shows that it may enforce a version below one
 *   that it enforced before but never reported.
 * - The store-wide revision is the version of the accepted copy.
 */
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifdef ONLY_WRITES
#define MAX_RESTARTS 0
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 2
#endif
#define DAEMONS 3
/* All daemons as a bit mask. */
#define ALL_DAEMONS 7
#define OPERATORS 2

bool platform_up = true;

/* The version of the team's document, and for each version whether the document is valid. */
byte document = 1;
bool valid[MAX_VERSION + 1];
/* The version of the accepted copy, and for each version the document version that was copied. */
byte accepted = 1;
byte source_version[MAX_VERSION + 1];

/* The document version that each operator has read, or 0 after it has written. */
byte read_version[OPERATORS];
/* Not used: no step reads or writes it. */
byte edit_base[OPERATORS];

/* For each daemon: the newest accepted version it knows, the peers that have responded since its
 * start (a bit mask), and whether it is ready. A daemon enforces the version it knows while it is
 * ready. */
byte version[DAEMONS], responses[DAEMONS];
bool ready[DAEMONS];
/* Element p * DAEMONS + d is the highest version that daemon d has reported to daemon p, as far as
 * daemon p remembers. */
byte reported[DAEMONS * DAEMONS];
byte restarts;
/* The one delayed response: its version (0 if there is none) and its receiver. */
byte delayed_version, delayed_receiver;
bool delay_used;
/* The document version that each of the two coordinators has read and validates. */
byte candidate[2];

/* Ghost variables, which only the checked properties use: the lowest version that each daemon may
 * enforce, and whether a daemon has become ready without the platform. */
byte min_enforceable[DAEMONS];
bool ready_by_peers;

hidden byte scratch;

/* Versions only move forward. */
#ifdef MUTANT_VERSIONS_MOVE_BACK
#define IS_NEWER(d, x) true
#else
#define IS_NEWER(d, x) (x > version[d])
#endif
/* Whether a starting daemon has reached the minimum version that a peer returned. */
#ifdef MUTANT_NO_MINIMUM_VERSION
#define MEETS_MINIMUM(d, x) true
#else
#define MEETS_MINIMUM(d, x) (version[d] >= x)
#endif

/* Raises the lowest version that daemon d may enforce to x. */
#define RAISE_MINIMUM(d, x) \
    if :: min_enforceable[d] < x -> min_enforceable[d] = x :: else fi
/* Recomputes what daemon e may enforce if it is starting: only the versions that its peers remember
 * count, and a restart of a peer loses them. */
#define RECOMPUTE_MINIMUM(e) \
    if \
    :: !ready[e] -> \
        min_enforceable[e] = 0; \
        RAISE_MINIMUM(e, reported[e]); RAISE_MINIMUM(e, reported[DAEMONS + e]); \
        RAISE_MINIMUM(e, reported[2 * DAEMONS + e]) \
    :: else \
    fi;

/* Checks the properties of the version that daemon d enforces from now on. */
inline enforce(d) {
    assert(version[d] >= min_enforceable[d]);
    assert(valid[source_version[version[d]]]);
    min_enforceable[d] = version[d]
}

/* Adopts a received version if it is newer. */
inline receive(d, received_version) {
    if
    :: IS_NEWER(d, received_version) ->
        version[d] = received_version;
        if :: ready[d] -> enforce(d) :: else fi
    :: else
    fi
}

proctype operator(byte o) {
    do
    :: d_step { read_version[o] != document -> read_version[o] = document }
#ifdef MUTANT_UNCONDITIONAL_EDIT
    /* Overwrites whatever version is stored. */
#define EDIT_PERMITTED(o) (read_version[o] != 0)
#else
#define EDIT_PERMITTED(o) (read_version[o] == document)
#endif
/* Writes a new version of the document, valid or not, by conditional update. */
#define EDIT(is_valid) \
    :: d_step { platform_up && EDIT_PERMITTED(o) && document < MAX_VERSION -> \
        assert(read_version[o] == document); /* otherwise the other operator's change is lost */ \
        document++; valid[document] = is_valid; read_version[o] = 0 }
    EDIT(true)
    EDIT(false)
    od
}

/* Two daemons act as coordinator at the same time; the copy is a conditional update. */
proctype coordinator(byte c) {
    do
    :: d_step { platform_up && candidate[c] != document -> candidate[c] = document }
#ifdef MUTANT_NO_VALIDATION
#define DOCUMENT_ACCEPTABLE true
#else
#define DOCUMENT_ACCEPTABLE valid[candidate[c]]
#endif
    :: d_step { platform_up && candidate[c] > source_version[accepted] && DOCUMENT_ACCEPTABLE &&
        accepted < MAX_VERSION ->
        accepted++; source_version[accepted] = candidate[c];
        assert(source_version[accepted] > source_version[accepted - 1]) }
    od
}

proctype daemon(byte d) {
    do
    /* Reads the platform. The state is then complete, so the daemon is ready. */
    :: d_step { platform_up && (version[d] < accepted || !ready[d]) ->
        receive(d, accepted);
        if :: !ready[d] -> ready[d] = true; enforce(d) :: else fi }
    /* Receives an earlier state from a watch that lags behind. */
    :: d_step { ready[d] && accepted > 1 -> receive(d, accepted - 1) }
#ifndef ONLY_WRITES
    /* Pulls from peer p, which remembers the version that this daemon reports. The response
     * contains the version that the peer remembered before, which is the minimum for a starting
     * daemon. */
#define PULL(p) \
    :: d_step { p != d && ready[p] -> \
        scratch = reported[p * DAEMONS + d]; \
        if \
        :: ready[d] && version[d] > scratch -> reported[p * DAEMONS + d] = version[d] \
        :: else \
        fi; \
        receive(d, version[p]); \
        if \
        :: !ready[d] -> \
            responses[d] = responses[d] | (1 << p); \
            if :: MEETS_MINIMUM(d, scratch) :: else -> responses[d] = 0 fi \
        :: else \
        fi; \
        scratch = 0 }
    PULL(0)
    PULL(1)
    PULL(2)
#endif
    /* Becomes ready without the platform: all peers have responded, and none of them remembers a
     * higher version. */
    :: d_step { !ready[d] && responses[d] == (ALL_DAEMONS & ~(1 << d)) ->
        ready[d] = true; responses[d] = 0; ready_by_peers = true; enforce(d) }
    /* Restarts, and loses all its state. */
    :: d_step { ready[d] && restarts < MAX_RESTARTS ->
        restarts++; ready[d] = false; version[d] = 0; responses[d] = 0;
        for (scratch : 0 .. DAEMONS - 1) { reported[d * DAEMONS + scratch] = 0 }
        scratch = 0;
#ifndef REACH_UNREPORTED
        /* From here on, only the versions that its peers remember limit the restarted daemon. The
         * restart also loses what this daemon remembered about others that are starting. */
        RECOMPUTE_MINIMUM(0) RECOMPUTE_MINIMUM(1) RECOMPUTE_MINIMUM(2)
#endif
        }
    od
}

proctype environment() {
    do
    :: d_step { platform_up -> platform_up = false }
    :: d_step { !platform_up -> platform_up = true }
#ifndef ONLY_WRITES
    /* Delays a response of daemon 0, which arrives after newer ones, possibly more than once. */
    :: d_step { !delay_used && ready[0] ->
        delay_used = true; delayed_version = version[0]; delayed_receiver = 1 }
    :: d_step { !delay_used && ready[0] ->
        delay_used = true; delayed_version = version[0]; delayed_receiver = 2 }
    :: d_step { delayed_version != 0 && ready[delayed_receiver] ->
        receive(delayed_receiver, delayed_version) }
#endif
#ifdef ONLY_DISTRIBUTION
    /* Accepts the next version, which is valid. */
    :: d_step { accepted < MAX_VERSION ->
        accepted++; valid[accepted] = true; source_version[accepted] = accepted }
#endif
    od
}

/* The REACH_* checks assert false in the state that has to be reachable. REACH_UNREPORTED instead
 * keeps the minimum of a restarted daemon, so that the assertion in enforce() is violated. */
#ifdef REACH_NEWEST
/* The newest document is in force everywhere, after a restart and an invalid document. */
active proctype reach() {
    d_step { accepted == 2 && source_version[2] == MAX_VERSION && !valid[MAX_VERSION - 1] &&
        restarts > 0 && ready[0] && ready[1] && ready[2] &&
        version[0] == 2 && version[1] == 2 && version[2] == 2 -> assert(false) }
}
#endif

#ifdef REACH_OUTAGE
/* A restarted daemon has become ready through its peers alone and has the newest version. */
active proctype reach() {
    d_step { restarts > 0 && !platform_up && ready[0] && ready[1] && ready[2] && ready_by_peers &&
        version[0] == accepted && version[1] == accepted && version[2] == accepted &&
        accepted > 1 -> assert(false) }
}
#endif

init {
    d_step {
        valid[1] = true; source_version[1] = 1;
        version[0] = 1; version[1] = 1; version[2] = 1;
        ready[0] = true; ready[1] = true; ready[2] = true;
        min_enforceable[0] = 1; min_enforceable[1] = 1; min_enforceable[2] = 1
    }
    atomic {
#ifndef ONLY_DISTRIBUTION
        run operator(0); run operator(1); run coordinator(0); run coordinator(1);
#endif
        run daemon(0); run daemon(1); run daemon(2);
        run environment()
    }
}
