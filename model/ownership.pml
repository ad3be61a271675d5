/* Ownership protocol of one partition (docs/design.md, section 4). See docs/model.md.
 *
 * The numbered rules in the comments (W1 to W5, H1 to H4, C1 to C3, R1 to R4) are those of the
 * design. Each run defines exactly one of three configurations: FAILOVER, RECORD_CHANGES (rules R1
 * and R2) or RECOVERY (rule R3, also while a witness change of rule R2 is in progress).
 *
 * Abstractions:
 * - Each daemon is a process with a single control state. Any step may be delayed indefinitely,
 *   which covers pauses of any length, crashes that are not detected, message loss and platform
 *   outages.
 * - Time is discrete. `lease_left` and `round_age` count ticks of true time, and the holder's clock
 *   runs at the slowest permitted rate: a lease of LEASE ticks on the holder's clock lasts
 *   MAX_LEASE = LEASE + DRIFT_MARGIN true ticks. With a faster clock the holder stops earlier,
 *   which only removes behaviours.
 * - A round is one claim or heartbeat that an instance sends to all witnesses. The last round of
 *   each instance stays in the network until the next round replaces it, so each witness may
 *   receive it late, repeatedly or never. A round older than MAX_LEASE can no longer form a lease.
 *   Such a round, or one that has been replaced, is received only if the network delayed it, and
 *   the network delays at most one round at a time. The newest release stays in the network for the
 *   rest of the run.
 * - A single acknowledgement changes nothing until the majority is complete, so a round only has
 *   the set of witnesses that have acknowledged it.
 * - A write either gets its response at once, or the response is lost and the write takes effect at
 *   any later time.
 * - A restart also stands for the loss of a process, because records name the old incarnation. Each
 *   process restarts at most once, and at most one instance restarts. MAX_FAULTS bounds the sum of
 *   restarts, delayed rounds, lost responses and releases after an upstream failure. Pauses,
 *   message loss and outages are not bounded. MAX_TERM and MAX_VERSION bound terms and record
 *   versions.
 * - The standbys are the first incarnations of all instances except the recorded owner. A standby
 *   may claim at any time, because expiry notices and standby delays affect only the speed of a
 *   failover.
 * - RECOVERY_TERM_STEP replaces the term step of 2^20 in rule R3. Hot keys (R4) and the upstream's
 *   own check of grants (H4) are not modelled.
 */
#include "ownership_bounds.pml"

/* Instance i has the identity i in its first incarnation and i + 3 in its second. */
#define NO_INSTANCE 7
#define INSTANCE_ID(i) (i + 3 * instance_incarnation[i])

/* A set of witnesses is a bit mask: bit w is witness w in its first incarnation, and bit w + 4 is
 * witness w in its second incarnation. */
#define WITNESS_BIT(w) (1 << (w + 4 * witness_incarnation[w]))
/* The bits of both incarnations of witness 0. */
#define BOTH_INCARNATIONS 17
/* Witnesses 0, 1 and 2 of the first record. */
#define INITIAL_WITNESSES 7
/* The set in which the spare, witness 3, replaces witness 2. */
#define WITNESSES_WITH_SPARE 11
/* Sets have three members, so two members are a majority. */
#define IS_MAJORITY(x) (((x) & ((x) - 1)) != 0)
/* The set s with each restarted member replaced by its second incarnation. */
#define IN_CURRENT_INCARNATION(s) \
    (((s) & ~RESTARTED_WITNESSES) | (((s) & RESTARTED_WITNESSES) << 4))
#define RESTARTED_WITNESSES (witness_incarnation[0] | (witness_incarnation[1] << 1) | \
    (witness_incarnation[2] << 2) | (witness_incarnation[3] << 3))

/* The record at the platform. The model keeps all its versions, so that the arrays are indexed by
 * version. */
byte current = 1;  /* newest version */
byte record_owner[MAX_VERSION + 1], record_term[MAX_VERSION + 1],
    record_witnesses[MAX_VERSION + 1], previous_witnesses[MAX_VERSION + 1],
    next_owner[MAX_VERSION + 1];
bool platform_up = true;  /* becomes false only in reachability checks with OUTAGE */

/* States of an instance. */
#define IDLE 0
#define CLAIMING 1
#define HOLDING 2
/* Kinds of round. */
#define NO_ROUND 0
#define CLAIM 1
#define HEARTBEAT 2

/* Instances. */
byte state[INSTANCES],
    known_version[INSTANCES],  /* version of the record that the instance works with */
    term[INSTANCES],           /* term of its last claim */
    lease_left[INSTANCES],     /* ticks until its lease ends by its own clock */
    round_age[INSTANCES],      /* ticks since its last round was sent, at most MAX_LEASE */
    acks[INSTANCES],           /* witnesses that have acknowledged its last round */
    round_kind[INSTANCES];
bool instance_incarnation[INSTANCES];  /* 1 after a restart */
bool version_confirmed[INSTANCES];     /* a majority acknowledged a round under known_version */
/* The newest release sent. */
byte release_term, release_version, release_holder;

/* Kinds of write to the record. */
#define WRITE_OWNER 1
#define WRITE_WITNESS_CHANGE 2
#define WRITE_CHANGE_END 3
#define WRITE_NEXT_OWNER 4
#define WRITE_MOVE 5
#define WRITE_RECOVERY 6
#define WRITE_REPLACE_NEW_SET 7
/* Kind of the instance's write whose response was lost and which it has not read back yet, or 0. */
byte unconfirmed_write[INSTANCES];
/* The write whose response was lost and which may still take effect; pending_kind is 0 if there is
 * none. */
byte pending_kind, pending_base, pending_witnesses, pending_owner, pending_term;

/* Witnesses. */
bool witness_incarnation[4], witness_released[WITNESSES];
byte witness_version[WITNESSES], witness_term[WITNESSES], witness_holder[WITNESSES],
    witness_lease_left[WITNESSES],  /* ticks until expires_at */
    witness_uptime[WITNESSES];      /* ticks since the restart, at most MAX_LEASE */
byte witness_restarts;
bool any_instance_restarted;
byte faults;
#define FAULT_PERMITTED faults < MAX_FAULTS
#ifdef OUTAGE
/* The platform goes down before any process is lost, and stays down. */
#define MAY_RESTART (!platform_up)
#else
#define MAY_RESTART true
#endif

/* The round that the network has delayed; delayed_kind is NO_ROUND if there is none. */
byte delayed_kind, delayed_term, delayed_version, delayed_sender;

/* Ghost variables, which the checked properties use: the highest term that formed a lease, the
 * holder of that lease, and the highest record version under which a lease was formed. */
byte newest_lease_term, newest_lease_holder = NO_INSTANCE, newest_lease_version;
#ifdef REACH
bool first_owner_served;
#endif

/* Scratch variables, which are not part of the state. `accepted` is the result of handleRound and
 * applyWrite. */
hidden byte loop_index, scratch, accepted;

#ifdef MUTANT_NO_SELF_CHECK
#define LEASE_VALID(i) (state[i] == HOLDING)
#else
#define LEASE_VALID(i) (state[i] == HOLDING && lease_left[i] > 0)
#endif
/* An owner that has written a planned move serves no requests until it knows whether the write took
 * effect. */
#define DRAINING(i) (unconfirmed_write[i] == WRITE_MOVE)
#define CAN_SERVE(i) (LEASE_VALID(i) && !DRAINING(i))

/* H1: during a witness change, a lease needs a majority of both sets (joint majority). */
#ifdef MUTANT_NO_JOINT_MAJORITY
#define HAS_MAJORITY(i) (IS_MAJORITY(acks[i] & record_witnesses[known_version[i]]))
#else
#define HAS_MAJORITY(i) (IS_MAJORITY(acks[i] & record_witnesses[known_version[i]]) && \
    (previous_witnesses[known_version[i]] == 0 || \
        IS_MAJORITY(acks[i] & previous_witnesses[known_version[i]])))
#endif

/* Ticks for which a witness keeps a lease after an acknowledgement. */
#ifdef MUTANT_NO_DRIFT_MARGIN
#define WITNESS_LEASE LEASE
#else
#define WITNESS_LEASE MAX_LEASE
#endif

/* W1: the bit of witness w if the record names its current incarnation, otherwise 0. */
#ifdef MUTANT_NO_INCARNATION_CHECK
#define NAMED_WITNESS(w, version) \
    ((record_witnesses[version] | previous_witnesses[version]) & (BOTH_INCARNATIONS << w))
#else
#define NAMED_WITNESS(w, version) \
    ((record_witnesses[version] | previous_witnesses[version]) & WITNESS_BIT(w))
#endif

/* W2: a witness refuses record versions below the highest one that it has seen, and adopts higher
 * ones. */
#ifdef MUTANT_NO_VERSION_ADOPTION
#define VERSION_ACCEPTABLE(w, version) true
#define ADOPT_VERSION(w, version) skip
#else
#define VERSION_ACCEPTABLE(w, version) (version >= witness_version[w])
#define ADOPT_VERSION(w, version) witness_version[w] = version
#endif

/* W4: whether the lease that the witness last granted has expired or was released. */
#ifdef MUTANT_NO_EXPIRY_CHECK
#define LEASE_ENDED(w) true
#else
#define LEASE_ENDED(w) (witness_lease_left[w] == 0 || witness_released[w])
#endif

/* W5: a release closes its term, so that a delayed heartbeat with this term is refused. */
#ifdef MUTANT_RELEASE_KEEPS_TERM_AT_WITNESS
#define TERM_OPEN(w) true
#else
#define TERM_OPEN(w) (!witness_released[w])
#endif

/* W3 (first branch) and W4 (second branch). Sets `accepted` if the witness acknowledges the
 * round. */
inline handleRound(w, kind, id, round_term, version) {
    accepted = false;
    if
    :: VERSION_ACCEPTABLE(w, version) ->
        ADOPT_VERSION(w, version);
        assert(witness_version[w] <= current);
        if
        :: kind == HEARTBEAT && round_term == witness_term[w] && id == witness_holder[w] &&
            TERM_OPEN(w) ->
            assert(!witness_released[w]);
            witness_lease_left[w] = WITNESS_LEASE; accepted = true
        :: round_term > witness_term[w] && LEASE_ENDED(w) ->
            witness_term[w] = round_term; witness_holder[w] = id; witness_released[w] = false;
            witness_lease_left[w] = WITNESS_LEASE; accepted = true
        :: else
        fi
    :: else
    fi
}

#include "ownership_symmetry.pml"

#define RECEIVE_ROUND(w, i) \
    :: d_step { round_kind[i] != NO_ROUND && NAMED_WITNESS(w, known_version[i]) && \
        VERSION_ACCEPTABLE(w, known_version[i]) -> \
        handleRound(w, round_kind[i], INSTANCE_ID(i), term[i], known_version[i]); \
        if :: accepted -> acks[i] = acks[i] | NAMED_WITNESS(w, known_version[i]) :: else fi; \
        SORT_WITNESSES }

/* W5: a release ends the lease if its holder and term are the current ones. */
#define RECEIVE_RELEASE(w) \
    :: d_step { release_term != 0 && NAMED_WITNESS(w, release_version) && \
        VERSION_ACCEPTABLE(w, release_version) -> \
        ADOPT_VERSION(w, release_version); \
        if \
        :: witness_holder[w] == release_holder && witness_term[w] == release_term -> \
            witness_released[w] = true; witness_lease_left[w] = 0 \
        :: else \
        fi; \
        SORT_WITNESSES }

proctype witness(byte w) {
    do
    RECEIVE_ROUND(w, 0)
    RECEIVE_ROUND(w, 1)
#if INSTANCES > 2
    RECEIVE_ROUND(w, 2)
#endif
    RECEIVE_RELEASE(w)
    /* Receives the delayed round. The acknowledgement is not counted, because the sender may have
     * replaced the round. */
    :: d_step { delayed_kind != NO_ROUND && NAMED_WITNESS(w, delayed_version) &&
        VERSION_ACCEPTABLE(w, delayed_version) ->
        handleRound(w, delayed_kind, delayed_sender, delayed_term, delayed_version);
        SORT_WITNESSES }
    /* A restart loses the volatile lease state. */
    :: d_step { witness_incarnation[w] == 0 && witness_restarts < MAX_WITNESS_RESTARTS &&
        MAY_RESTART && FAULT_PERMITTED ->
        faults++; witness_restarts++; witness_incarnation[w] = 1;
        witness_version[w] = 0; witness_term[w] = 0; witness_holder[w] = NO_INSTANCE;
        witness_lease_left[w] = 0; witness_released[w] = false;
        SORT_WITNESSES }
    od
}

/* Checks the properties of a lease that has just been formed or renewed. */
inline checkLease(i) {
    assert(term[i] > newest_lease_term ||
        (term[i] == newest_lease_term && newest_lease_holder == INSTANCE_ID(i)));
    assert(known_version[i] >= newest_lease_version);
    newest_lease_term = term[i]; newest_lease_holder = INSTANCE_ID(i);
    newest_lease_version = known_version[i]
}

#include "ownership_checks.pml"

/* From now on, no acknowledgement of the last round is counted. */
inline discardRound(i) { round_kind[i] = NO_ROUND; round_age[i] = MAX_LEASE; acks[i] = 0 }

/* Gives up a claim or a lease. */
inline stepDown(i) {
    state[i] = IDLE; lease_left[i] = 0; version_confirmed[i] = false; discardRound(i)
}

/* Sends a release to all witnesses and steps down. */
inline release(i) {
    release_term = term[i]; release_version = known_version[i]; release_holder = INSTANCE_ID(i);
    stepDown(i)
}

/* Adopts a record version. A holder that the record does not name as owner releases its lease and
 * steps down (C2), unless its own ownership is not recorded yet and neither the owner nor the
 * witnesses have changed. A holder that the record names as owner with a higher term than its own
 * also releases its lease, and claims again. */
inline adoptRecord(i, version) {
    if
    :: version != known_version[i] ->
        scratch = known_version[i];  /* the version known until now */
        known_version[i] = version; version_confirmed[i] = false; discardRound(i);
        if
        :: state[i] == HOLDING && record_owner[version] != INSTANCE_ID(i) &&
            (record_owner[version] != record_owner[scratch] ||
                record_witnesses[version] != record_witnesses[scratch] ||
                previous_witnesses[version] != previous_witnesses[scratch]) -> release(i)
        :: state[i] == HOLDING && record_owner[version] == INSTANCE_ID(i) &&
            record_term[version] > term[i] -> release(i)
        :: state[i] == CLAIMING -> state[i] = IDLE
        :: else
        fi
    :: else
    fi
}

#ifdef MUTANT_UNCONDITIONAL_UPDATE
#define BASE_IS_CURRENT(base) true
#else
#define BASE_IS_CURRENT(base) (base == current)
#endif

/* Applies a conditional update: writes a new version if the record still has the version `base`.
 * Sets `accepted` if the update is applied. */
inline applyWrite(kind, base, new_witnesses, new_owner, writer_term) {
    /* Callers may pass `current` itself as `base`, so `current` has to change last. */
    accepted = false;
    if
    :: BASE_IS_CURRENT(base) && current < MAX_VERSION ->
        accepted = true;
        record_owner[current + 1] = record_owner[base];
        record_term[current + 1] = record_term[base];
        record_witnesses[current + 1] = record_witnesses[base];
        previous_witnesses[current + 1] = previous_witnesses[base];
        next_owner[current + 1] = next_owner[base];
        if
        :: kind == WRITE_OWNER ->
            record_owner[current + 1] = new_owner; record_term[current + 1] = writer_term;
            next_owner[current + 1] = NO_INSTANCE
        :: kind == WRITE_WITNESS_CHANGE ->
            previous_witnesses[current + 1] = record_witnesses[base];
            record_witnesses[current + 1] = new_witnesses
        :: kind == WRITE_CHANGE_END -> previous_witnesses[current + 1] = 0
        :: kind == WRITE_NEXT_OWNER -> next_owner[current + 1] = new_owner
        :: kind == WRITE_MOVE ->
            record_owner[current + 1] = next_owner[base];
            record_term[current + 1] = writer_term + 1;
            next_owner[current + 1] = NO_INSTANCE
        :: kind == WRITE_RECOVERY ->
            record_owner[current + 1] = new_owner;
            record_term[current + 1] = record_term[base] + RECOVERY_TERM_STEP;
            record_witnesses[current + 1] = new_witnesses;
            previous_witnesses[current + 1] = 0; next_owner[current + 1] = NO_INSTANCE
        :: kind == WRITE_REPLACE_NEW_SET ->
            record_owner[current + 1] = new_owner;
            record_term[current + 1] = record_term[base] + RECOVERY_TERM_STEP;
            record_witnesses[current + 1] = new_witnesses;
            next_owner[current + 1] = NO_INSTANCE
        fi;
        assert(record_term[current + 1] > record_term[current] ||
            (record_term[current + 1] == record_term[current] &&
                record_owner[current + 1] == record_owner[current]));
        current = current + 1
    :: else
    fi
}

/* A write by instance i: either it gets its response at once, or the response is lost. */
#define INSTANCE_WRITE(i, guard, kind, new_witnesses) \
    :: d_step { (guard) && known_version[i] < MAX_VERSION && unconfirmed_write[i] == 0 && \
        platform_up -> \
        applyWrite(kind, known_version[i], new_witnesses, INSTANCE_ID(i), term[i]); \
        if \
        :: kind == WRITE_MOVE && accepted -> known_version[i] = current; release(i) \
        :: else -> adoptRecord(i, current) \
        fi } \
    :: d_step { (guard) && known_version[i] < MAX_VERSION && unconfirmed_write[i] == 0 && \
        ALLOW_LOST_RESPONSES && pending_kind == 0 && FAULT_PERMITTED -> \
        delayWrite(kind, known_version[i], new_witnesses, INSTANCE_ID(i), term[i]); \
        LOST_RESPONSE(i, kind) }

/* Keeps a write whose response was lost, so that the platform applies it at any later time. */
inline delayWrite(kind, base, new_witnesses, new_owner, writer_term) {
    faults++;
    pending_kind = kind; pending_base = base; pending_witnesses = new_witnesses;
    pending_owner = new_owner; pending_term = writer_term
}

#ifdef MUTANT_NO_READ_BACK
/* Concludes from the lost response that the write took effect. */
#define LOST_RESPONSE(i, kind) known_version[i] = known_version[i] + 1; discardRound(i)
#else
#define LOST_RESPONSE(i, kind) unconfirmed_write[i] = kind
#endif

/* R2: whether previous_witnesses may be cleared, which ends the witness change. */
#ifdef MUTANT_EARLY_CHANGE_END
#define BOTH_MAJORITIES(i) true
#else
#define BOTH_MAJORITIES(i) version_confirmed[i]
#endif

/* R2: only the owner that holds the lease changes the witnesses, and the model changes only the
 * initial ones. */
#define MAY_CHANGE_WITNESSES(i) (ALLOW_WITNESS_CHANGES && OWNER_WITH_LEASE(i) && \
    previous_witnesses[known_version[i]] == 0 && \
    record_witnesses[known_version[i]] == INITIAL_WITNESSES)
#define OWNER_WITH_LEASE(i) (state[i] == HOLDING && lease_left[i] > 0 && \
    record_owner[known_version[i]] == INSTANCE_ID(i))

/* R3: the first incarnations that are known to be permanently dead. The evidence is a second
 * incarnation that has been up for MAX_LEASE. */
#ifdef MUTANT_NO_RECOVERY_EVIDENCE
#define DEAD_WITNESSES 255
#else
#ifdef MUTANT_NO_RECOVERY_WAIT
#define DEAD_WITNESSES RESTARTED_WITNESSES
#else
#define DEAD_WITNESSES ((witness_incarnation[0] && witness_uptime[0] == MAX_LEASE) | \
    ((witness_incarnation[1] && witness_uptime[1] == MAX_LEASE) << 1) | \
    ((witness_incarnation[2] && witness_uptime[2] == MAX_LEASE) << 2) | \
    ((witness_incarnation[3] && witness_uptime[3] == MAX_LEASE) << 3))
#endif
#endif
/* R3: the oldest set in force has permanently lost its majority, so no instance can form a lease
 * under this version or the version before it. During a witness change, previous_witnesses is the
 * oldest set. */
#ifdef MUTANT_RECOVERY_BY_EITHER_SET
#define MAJORITY_LOST(version) (IS_MAJORITY(record_witnesses[version] & DEAD_WITNESSES) || \
    IS_MAJORITY(previous_witnesses[version] & DEAD_WITNESSES))
#else
#define MAJORITY_LOST(version) (IS_MAJORITY((previous_witnesses[version] == 0 -> \
    record_witnesses[version] : previous_witnesses[version]) & DEAD_WITNESSES))
#endif

/* C1: the term of the next claim, by the recorded owner and by a standby. */
#define OWNER_CLAIM_TERM(i) (term[i] < record_term[known_version[i]] -> \
    record_term[known_version[i]] : term[i] + 1)
#define STANDBY_CLAIM_TERM(i) ((term[i] < record_term[known_version[i]] -> \
    record_term[known_version[i]] : term[i]) + 1)
/* Sends a claim. The term is bounded by MAX_TERM_BEFORE_RECOVERY until the recorded term exceeds
 * this bound. */
#define START_CLAIM(i, guard, claim_term) \
    :: d_step { state[i] != HOLDING && unconfirmed_write[i] == 0 && (guard) && \
        claim_term <= (record_term[known_version[i]] > MAX_TERM_BEFORE_RECOVERY -> \
            MAX_TERM : MAX_TERM_BEFORE_RECOVERY) -> \
        term[i] = claim_term; state[i] = CLAIMING; \
        round_kind[i] = CLAIM; round_age[i] = 0; acks[i] = 0; SORT_WITNESSES }

proctype instance(byte i) {
    do
    START_CLAIM(i, record_owner[known_version[i]] == INSTANCE_ID(i), OWNER_CLAIM_TERM(i))
    START_CLAIM(i, record_owner[known_version[i]] != INSTANCE_ID(i) &&
        instance_incarnation[i] == 0, STANDBY_CLAIM_TERM(i))
    /* The claim has a majority. The lease is measured from the send time of the claim (H1). */
    :: d_step { state[i] == CLAIMING && HAS_MAJORITY(i) ->
        state[i] = HOLDING; lease_left[i] = MAX_LEASE - round_age[i]; version_confirmed[i] = true;
        checkLease(i) }
    /* H1 and H3: sends a heartbeat, also after the lease has expired. */
    :: d_step { state[i] == HOLDING && round_age[i] > 0 ->
        round_kind[i] = HEARTBEAT; round_age[i] = 0; acks[i] = 0; SORT_WITNESSES }
    /* The heartbeat has a majority: renews the lease. */
    :: d_step { state[i] == HOLDING && round_kind[i] == HEARTBEAT && HAS_MAJORITY(i) &&
        (lease_left[i] < MAX_LEASE - round_age[i] || !version_confirmed[i]) ->
#ifdef MUTANT_LEASE_FROM_ACK_TIME
        lease_left[i] = MAX_LEASE;
#else
        if
        :: lease_left[i] < MAX_LEASE - round_age[i] -> lease_left[i] = MAX_LEASE - round_age[i]
        :: else
        fi;
#endif
        version_confirmed[i] = true; checkLease(i) }
    /* H2: dispatches a request to the upstream. */
    :: d_step { CAN_SERVE(i) -> checkDispatch(i) }
#ifdef FAILOVER
    /* The upstream failed. */
    :: d_step { state[i] == HOLDING && lease_left[i] > 0 && unconfirmed_write[i] == 0 &&
        FAULT_PERMITTED -> faults++; release(i) }
#endif
    /* The lease has expired. */
    :: d_step { state[i] == HOLDING && lease_left[i] == 0 && unconfirmed_write[i] == 0 ->
        stepDown(i) }
#ifdef MUTANT_RELEASE_KEEPS_TERM_AT_HOLDER
    /* Holds the released term again and sends heartbeats with it. */
    :: d_step { state[i] == IDLE && release_term > 0 && term[i] == release_term &&
        INSTANCE_ID(i) == release_holder -> state[i] = HOLDING }
#endif
    /* C2: a standby that holds the lease records itself as owner. */
    INSTANCE_WRITE(i, state[i] == HOLDING && lease_left[i] > 0 &&
        record_owner[known_version[i]] != INSTANCE_ID(i), WRITE_OWNER, 0)
#ifdef RECORD_CHANGES
    /* R1: moves the partition to next_owner. */
    INSTANCE_WRITE(i, OWNER_WITH_LEASE(i) && next_owner[known_version[i]] != NO_INSTANCE &&
        next_owner[known_version[i]] != INSTANCE_ID(i), WRITE_MOVE, 0)
#endif
#ifndef FAILOVER
    /* R2: the spare replaces witness 2, or second incarnations replace restarted witnesses. */
#if WITNESSES > 3
    INSTANCE_WRITE(i, MAY_CHANGE_WITNESSES(i), WRITE_WITNESS_CHANGE,
        IN_CURRENT_INCARNATION(WITNESSES_WITH_SPARE))
#endif
    INSTANCE_WRITE(i, MAY_CHANGE_WITNESSES(i) && RESTARTED_WITNESSES != 0, WRITE_WITNESS_CHANGE,
        IN_CURRENT_INCARNATION(INITIAL_WITNESSES))
    INSTANCE_WRITE(i, OWNER_WITH_LEASE(i) && previous_witnesses[known_version[i]] != 0 &&
        BOTH_MAJORITIES(i), WRITE_CHANGE_END, 0)
#endif
    /* C3: reads the record back after a lost response. */
    :: d_step { unconfirmed_write[i] != 0 && platform_up ->
        unconfirmed_write[i] = 0; adoptRecord(i, current) }
    /* Learns the newest record by a pull from a peer, which also works during an outage. */
    :: d_step { known_version[i] < current && unconfirmed_write[i] == 0 -> adoptRecord(i, current) }
    /* A restart loses all state of the instance. */
    :: d_step { ALLOW_INSTANCE_RESTART && MAY_RESTART && !any_instance_restarted &&
        FAULT_PERMITTED ->
        faults++; any_instance_restarted = true;
        instance_incarnation[i] = 1; stepDown(i); term[i] = 0; known_version[i] = current;
        unconfirmed_write[i] = 0 }
    od
}

/* A write by the service's coordinator, whose response has no effect on the coordinator. */
#define COORDINATOR_WRITE(guard, kind, new_witnesses, new_owner) \
    :: d_step { (guard) && current < MAX_VERSION && platform_up -> \
        applyWrite(kind, current, new_witnesses, new_owner, 0) } \
    :: d_step { (guard) && current < MAX_VERSION && ALLOW_LOST_RESPONSES && pending_kind == 0 && \
        FAULT_PERMITTED -> \
        delayWrite(kind, current, new_witnesses, new_owner, 0) }

/* The platform, and the coordinator of the service. */
proctype platform() {
    do
    /* The pending write takes effect, or is refused because the record has changed. */
    :: d_step { pending_kind != 0 && platform_up ->
        applyWrite(pending_kind, pending_base, pending_witnesses, pending_owner, pending_term);
        pending_kind = 0; pending_base = 0; pending_witnesses = 0; pending_owner = 0;
        pending_term = 0 }
#ifdef OUTAGE
    /* The outage starts after the first lease, so that there is an owner to lose. */
    :: d_step { platform_up && newest_lease_term > 0 -> platform_up = false }
#endif
#ifdef RECORD_CHANGES
    /* R1: plans a move to instance 1. */
    COORDINATOR_WRITE(ALLOW_MOVES && next_owner[current] == NO_INSTANCE &&
        record_owner[current] != 1, WRITE_NEXT_OWNER, 0, 1)
#endif
#ifdef RECOVERY
    /* R3: recovery with either instance as the new owner. */
#define MAY_RECOVER (MAJORITY_LOST(current) && record_term[current] <= MAX_TERM_BEFORE_RECOVERY)
    COORDINATOR_WRITE(MAY_RECOVER, WRITE_RECOVERY,
        IN_CURRENT_INCARNATION(INITIAL_WITNESSES), INSTANCE_ID(0))
    COORDINATOR_WRITE(MAY_RECOVER, WRITE_RECOVERY,
        IN_CURRENT_INCARNATION(INITIAL_WITNESSES), INSTANCE_ID(1))
#if WITNESSES > 3
    COORDINATOR_WRITE(MAY_RECOVER, WRITE_RECOVERY,
        IN_CURRENT_INCARNATION(WITNESSES_WITH_SPARE), INSTANCE_ID(0))
    COORDINATOR_WRITE(MAY_RECOVER, WRITE_RECOVERY,
        IN_CURRENT_INCARNATION(WITNESSES_WITH_SPARE), INSTANCE_ID(1))
    /* Only the new set has lost its majority: it is replaced, and the previous set remains. */
#define MAY_REPLACE_NEW_SET (previous_witnesses[current] != 0 && !MAJORITY_LOST(current) && \
    IS_MAJORITY(record_witnesses[current] & DEAD_WITNESSES) && \
    record_term[current] <= MAX_TERM_BEFORE_RECOVERY)
    COORDINATOR_WRITE(MAY_REPLACE_NEW_SET, WRITE_REPLACE_NEW_SET,
        IN_CURRENT_INCARNATION(WITNESSES_WITH_SPARE), INSTANCE_ID(0))
    COORDINATOR_WRITE(MAY_REPLACE_NEW_SET, WRITE_REPLACE_NEW_SET,
        IN_CURRENT_INCARNATION(WITNESSES_WITH_SPARE), INSTANCE_ID(1))
#endif
#endif
    od
}

/* The clock and the network. */
proctype environment() {
    do
    /* One tick passes. */
    :: d_step { true ->
        for (loop_index : 0 .. INSTANCES - 1) {
            if :: lease_left[loop_index] > 0 -> lease_left[loop_index]-- :: else fi;
            if
            :: round_age[loop_index] < MAX_LEASE ->
                round_age[loop_index]++;
                if
                :: round_age[loop_index] == MAX_LEASE ->
                    round_kind[loop_index] = NO_ROUND; acks[loop_index] = 0;
                    if :: state[loop_index] == CLAIMING -> state[loop_index] = IDLE :: else fi
                :: else
                fi
            :: else
            fi
        }
        for (loop_index : 0 .. WITNESSES - 1) {
            if
            :: witness_lease_left[loop_index] > 0 -> witness_lease_left[loop_index]--
            :: else
            fi;
#ifdef RECOVERY
            if
            :: witness_incarnation[loop_index] && witness_uptime[loop_index] < MAX_LEASE ->
                witness_uptime[loop_index]++
            :: else
            fi
#endif
        }
        loop_index = 0 }
    /* The network delays the current round of an instance. */
#define DELAY_ROUND(i) \
    :: d_step { ALLOW_DELAYED_ROUNDS && delayed_kind == NO_ROUND && round_kind[i] != NO_ROUND && \
        FAULT_PERMITTED -> \
        faults++; delayed_kind = round_kind[i]; delayed_term = term[i]; \
        delayed_version = known_version[i]; delayed_sender = INSTANCE_ID(i) }
    DELAY_ROUND(0)
    DELAY_ROUND(1)
#if INSTANCES > 2
    DELAY_ROUND(2)
#endif
    od
}

init {
    atomic {
        d_step {
            record_owner[1] = 0; record_term[1] = 1; record_witnesses[1] = INITIAL_WITNESSES;
            previous_witnesses[1] = 0; next_owner[1] = NO_INSTANCE;
            for (loop_index : 0 .. INSTANCES - 1) {
                known_version[loop_index] = 1; round_age[loop_index] = MAX_LEASE
            }
            for (loop_index : 0 .. WITNESSES - 1) { witness_holder[loop_index] = NO_INSTANCE }
            loop_index = 0
        }
        run instance(0); run instance(1);
#if INSTANCES > 2
        run instance(2);
#endif
        run witness(0); run witness(1); run witness(2);
#if WITNESSES > 3
        run witness(3);
#endif
        run platform(); run environment();
    }
}
