/* Ownership protocol of one partition (docs/design.md, section 4). See docs/model.md.
 *
 * Configurations, one of: FAILOVER, CHANGE (R1 and R2), RECOVERY (R3, with R2 under way).
 *
 * Abstracted away:
 * - Every daemon is a process with one control state; a step may be postponed for ever, which covers
 *   pauses of any length, silent crashes, message loss and platform outages.
 * - Time is discrete. `lease` and `age` count true ticks under the slowest clock permitted: a lease
 *   that lasts LEASE on the holder's clock lasts LEASE + MARGIN ticks. Under a faster clock the
 *   holder stops earlier, which only removes behaviours.
 * - The last round of each instance stays in the network until the next one replaces it, so each
 *   witness may receive it late, more than once or never. A round older than SPAN can no longer form a
 *   lease; such a round, or one older than the newest, is received only if the network kept it back,
 *   which it does with one round at a time. The newest release stays in the network for good.
 * - Receiving one acknowledgement changes nothing until the majority is complete, so a round has
 *   only the set of acknowledgements sent.
 * - A write is answered at once, or its answer is lost and it takes effect at any later time.
 * - A restart stands for a loss as well: records name the old incarnation. At most one restart
 *   per process. FAULTS bounds restarts, kept-back rounds, lost answers and releases after an
 *   upstream failure in all; pauses, message loss and outages are not bounded. Terms and record
 *   versions are bounded by TMAX and VMAX.
 * - Standbys are the first incarnations of all instances but the owner; they may claim at any time
 *   (expiry notices and standby delays only matter for speed).
 * - R3's step of 2^20 is TERM_STEP. Hot keys (R4) and the upstream's own check (H4) are left out.
 */
#ifndef LEASE
#define LEASE 2
#endif
#define MARGIN 1
#define SPAN (LEASE + MARGIN)

#ifdef FAILOVER
#ifndef NI
#define NI 3
#endif
#define NW 3
#ifndef VMAX
#define VMAX 3
#endif
#ifndef TMAX
#define TMAX 3
#endif
#ifndef WITNESS_RESTARTS
#define WITNESS_RESTARTS 1
#endif
#endif
#ifdef CHANGE
#ifndef NI
#define NI 2
#endif
#define NW 4
#ifndef VMAX
#define VMAX 4
#endif
#ifndef TMAX
#define TMAX 3
#endif
#ifndef WITNESS_RESTARTS
#define WITNESS_RESTARTS 1
#endif
#endif
#ifdef RECOVERY
#ifndef NI
#define NI 2
#endif
#ifndef NW
#define NW 4
#endif
#ifndef VMAX
#define VMAX 3
#endif
#ifndef TMAX
#define TMAX 4
#endif
#ifndef WITNESS_RESTARTS
#define WITNESS_RESTARTS 2
#endif
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
/* Kinds of fault allowed besides witness restarts. */
#ifndef KEEPS
#define KEEPS 1
#endif
#ifndef LOST_ANSWERS
#define LOST_ANSWERS 1
#endif
#ifndef INSTANCE_RESTARTS
#define INSTANCE_RESTARTS 1
#endif
/* Highest term before a recovery, and the step of R3, which has to exceed the terms above the
 * recorded one. */
#ifdef RECOVERY
#ifndef TMAX_OLD
#define TMAX_OLD 2
#endif
#define TERM_STEP TMAX_OLD
#else
#define TMAX_OLD TMAX
#define TERM_STEP TMAX
#endif

/* Identities: instance i is i in its first incarnation and i + 3 in its second. A set of witnesses is
 * a mask: bit w is witness w in its first incarnation, bit w + 4 in its second. */
#define NONE 7
#define ID(i) (i + 3 * iinc[i])
#define WBIT(w) (1 << (w + 4 * winc[w]))
#define MAJORITY(x) (((x) & ((x) - 1)) != 0)
#define FIRST_SET 7
/* S with its first-incarnation members replaced by their present incarnation. */
#define PRESENT(s) (((s) & ~INC1) | (((s) & INC1) << 4))
#define INC1 (winc[0] | (winc[1] << 1) | (winc[2] << 2) | (winc[3] << 3))

/* Record log of the platform; `cur` is the version in force. */
byte cur = 1;
byte rown[VMAX + 1], rterm[VMAX + 1], rset[VMAX + 1], rprev[VMAX + 1], rnext[VMAX + 1];
bool platform_up = true;  /* only changed in the checks of reachability */

/* Instances. */
#define IDLE 0
#define CLAIM 1
#define HOLD 2
byte st[NI], kv[NI], term[NI], lease[NI], age[NI], acks[NI], round[NI];
bool iinc[NI];
bool forced[NI];  /* forced: a majority acknowledged a round under version kv */
/* The newest release sent. */
byte rel_term, rel_ver, rel_id;

#define W_OWNER 1
#define W_CHANGE 2
#define W_CLEAR 3
#define W_NEXT 4
#define W_MOVE 5
#define W_RECOVER 6
#define W_REPAIR 7
/* Kind of the write of each instance whose answer was lost and that was not read back yet. */
byte unknown[NI];
/* A write whose answer was lost and that may still take effect. */
byte late_kind, late_base, late_set, late_id, late_term;

/* Witnesses. wtime: ticks to expires_at; wage: ticks a second incarnation has been up. */
bool winc[4], wrel[NW];
byte wver[NW], wterm[NW], whold[NW], wtime[NW], wage[NW];
byte wrestarts;
bool irestarts;
byte faults;
#define FAULT faults < FAULTS

/* One round kept back by the network. */
byte dkind, dterm, dver, did;

/* Ghosts for the properties: newest term that formed a lease, and its holder, newest record version. */
byte g_term, g_id = NONE, g_ver;

hidden byte h, v, ok;

#ifdef M_SELF_CHECK
#define LEASE_VALID(i) (st[i] == HOLD)
#else
#define LEASE_VALID(i) (st[i] == HOLD && lease[i] > 0)
#endif
#define DRAINING(i) (unknown[i] == W_MOVE)
#define CAN_SERVE(i) (LEASE_VALID(i) && !DRAINING(i))

#ifdef M_JOINT
#define HAS_MAJORITY(i) (MAJORITY(acks[i] & rset[kv[i]]))
#else
#define HAS_MAJORITY(i) (MAJORITY(acks[i] & rset[kv[i]]) && \
    (rprev[kv[i]] == 0 || MAJORITY(acks[i] & rprev[kv[i]])))
#endif

#ifdef M_DRIFT
#define WITNESS_SPAN LEASE
#else
#define WITNESS_SPAN SPAN
#endif

/* W1: the members of a record that this process answers for. */
#ifdef M_INCARNATION
#define NAMED(w, ver) ((rset[ver] | rprev[ver]) & (17 << w))
#else
#define NAMED(w, ver) ((rset[ver] | rprev[ver]) & WBIT(w))
#endif

/* W2 */
#ifdef M_ADOPTION
#define VERSION_OK(w, ver) true
#define ADOPT(w, ver) skip
#else
#define VERSION_OK(w, ver) (ver >= wver[w])
#define ADOPT(w, ver) wver[w] = ver
#endif

#ifdef M_EARLY_GRANT
#define LEASE_OVER(w) true
#else
#define LEASE_OVER(w) (wtime[w] == 0 || wrel[w])
#endif

/* W3 and W4; the answer is left in ok. */
inline witnessRequest(w, kind, id, tm, ver) {
    ok = false;
    if
    :: VERSION_OK(w, ver) ->
        ADOPT(w, ver);
        assert(wver[w] <= cur);
        if
#ifdef M_RELEASE_WITNESS
        :: kind == HOLD && tm == wterm[w] && id == whold[w] ->
            assert(!wrel[w]); /* a released term is acknowledged again */
#else
        :: kind == HOLD && tm == wterm[w] && id == whold[w] && !wrel[w] ->
#endif
            wtime[w] = WITNESS_SPAN; ok = true
        :: tm > wterm[w] && LEASE_OVER(w) ->
            wterm[w] = tm; whold[w] = id; wrel[w] = false; wtime[w] = WITNESS_SPAN; ok = true
        :: else
        fi
    :: else
    fi
}

/* Witnesses that play the same part are interchangeable: all of the first set, or, where the spare
 * may replace witness 2, witnesses 0 and 1. Sorts them, so that one state of each set of permutations
 * is explored; record sets and acknowledgements are permuted with them. */
#define KEY(w) (winc[w] | (wrel[w] << 1) | (wver[w] << 2) | (wterm[w] << 5) | (whold[w] << 8) | \
    (wtime[w] << 11) | (((acks[0] >> w) & 17) << 14) | (((acks[1] >> w) & 17) << 19) | ACKS2(w))
#if NI > 2
#define ACKS2(w) (((acks[2] >> w) & 17) << 24)
#define SWAP_ACKS2(a, b) SWAP_BITS(acks[2], a, b)
#else
#define ACKS2(w) 0
#define SWAP_ACKS2(a, b)
#endif
#define SWAP(x, a, b) v = x[a]; x[a] = x[b]; x[b] = v;
#define SWAP_BITS(x, a, b) \
    x = (x & ~(17 * ((1 << a) | (1 << b)))) | (((x >> a) & 17) << b) | (((x >> b) & 17) << a);
#define SWAP_SETS(x, a, b) SWAP_BITS(rset[x], a, b) SWAP_BITS(rprev[x], a, b)
#ifdef FAILOVER
#define SWAP_RECORDS(a, b)
#else
#if VMAX == 2
#define SWAP_RECORDS(a, b) SWAP_SETS(2, a, b) SWAP_BITS(late_set, a, b)
#endif
#if VMAX == 3
#define SWAP_RECORDS(a, b) SWAP_SETS(2, a, b) SWAP_SETS(3, a, b) SWAP_BITS(late_set, a, b)
#endif
#if VMAX == 4
#define SWAP_RECORDS(a, b) SWAP_SETS(2, a, b) SWAP_SETS(3, a, b) SWAP_SETS(4, a, b) \
    SWAP_BITS(late_set, a, b)
#endif
#endif
#define ORDER(a, b) \
    if \
    :: KEY(a) > KEY(b) -> \
        SWAP(winc, a, b) SWAP(wrel, a, b) SWAP(wver, a, b) SWAP(wterm, a, b) SWAP(whold, a, b) \
        SWAP(wtime, a, b) SWAP(wage, a, b) SWAP_RECORDS(a, b) \
        SWAP_BITS(acks[0], a, b) SWAP_BITS(acks[1], a, b) SWAP_ACKS2(a, b) \
        v = 0 \
    :: else \
    fi
#if NW == 3
#define SORT ORDER(0, 1); ORDER(1, 2); ORDER(0, 1)
#else
#define SORT ORDER(0, 1)
#endif

#define RECEIVE(w, i) \
    :: d_step { round[i] != 0 && NAMED(w, kv[i]) && VERSION_OK(w, kv[i]) -> \
        witnessRequest(w, round[i], ID(i), term[i], kv[i]); \
        if :: ok -> acks[i] = acks[i] | NAMED(w, kv[i]) :: else fi; \
        SORT }

/* W5 */
#define RECEIVE_RELEASE(w) \
    :: d_step { rel_term != 0 && NAMED(w, rel_ver) && VERSION_OK(w, rel_ver) -> \
        ADOPT(w, rel_ver); \
        if \
        :: whold[w] == rel_id && wterm[w] == rel_term -> wrel[w] = true; wtime[w] = 0 \
        :: else \
        fi; \
        SORT }

proctype witness(byte w) {
    do
    RECEIVE(w, 0)
    RECEIVE(w, 1)
#if NI > 2
    RECEIVE(w, 2)
#endif
    RECEIVE_RELEASE(w)
    :: d_step { dkind != 0 && NAMED(w, dver) && VERSION_OK(w, dver) ->
        witnessRequest(w, dkind, did, dterm, dver);
        SORT }
    :: d_step { winc[w] == 0 && wrestarts < WITNESS_RESTARTS && FAULT ->
        faults++; wrestarts++; winc[w] = 1;
        wver[w] = 0; wterm[w] = 0; whold[w] = NONE; wtime[w] = 0; wrel[w] = false;
        SORT }
    od
}

/* Checks a lease that has just been formed or renewed. */
inline checkLease(i) {
    assert(term[i] > g_term || (term[i] == g_term && g_id == ID(i)));
    assert(kv[i] >= g_ver);
    g_term = term[i]; g_id = ID(i); g_ver = kv[i]
}

inline checkHandOver(i) {
    assert(i == 0 || !CAN_SERVE(0));
    assert(i == 1 || !CAN_SERVE(1));
#if NI > 2
    assert(i == 2 || !CAN_SERVE(2));
#endif
#ifdef REACH_FAILOVER
    assert(!(iinc[0] && i != 0));
#endif
#ifdef REACH_FAILOVER_OUTAGE
    assert(!(iinc[0] && i != 0 && !platform_up && cur == 1));
#endif
#ifdef REACH_FAILOVER_RECORDED
    assert(!(iinc[0] && cur > 1 && rown[cur] == ID(i) && kv[i] == cur));
#endif
#ifdef REACH_OWNER_AND_WITNESS
    assert(!(iinc[0] && wrestarts > 0 && i != 0));
#endif
#ifdef REACH_SECOND_FAILOVER
    assert(term[i] != 3);
#endif
#ifdef REACH_CHANGED
    assert(!(rset[kv[i]] != FIRST_SET && rprev[kv[i]] == 0 && kv[i] == cur));
#endif
#ifdef REACH_MOVED
    assert(!(i == 1 && kv[i] == 3 && rnext[2] == 1 && rown[3] == 1 && term[i] == rterm[3]));
#endif
#ifdef REACH_REPAIRED
    assert(!(term[i] > TMAX_OLD && rprev[kv[i]] != 0));
#endif
#ifdef REACH_RECOVERED
    assert(!(term[i] > TMAX_OLD && kv[i] == cur));
#endif
}

inline dropRound(i) { round[i] = 0; age[i] = SPAN; acks[i] = 0 }

inline stepDown(i) { st[i] = IDLE; lease[i] = 0; forced[i] = false; dropRound(i) }

inline release(i) {
    rel_term = term[i]; rel_ver = kv[i]; rel_id = ID(i);
    stepDown(i)
}

/* Adopts record version ver: a holder that it does not name as owner releases and steps down (C2),
 * unless only other fields changed while the holder's own ownership is not recorded yet. A holder
 * whose recorded term is higher than the one it holds steps down and claims again. */
inline adoptRecord(i, ver) {
    if
    :: ver != kv[i] ->
        v = kv[i]; kv[i] = ver; forced[i] = false; dropRound(i);
        if
        :: st[i] == HOLD && rown[ver] != ID(i) &&
            (rown[ver] != rown[v] || rset[ver] != rset[v] || rprev[ver] != rprev[v]) -> release(i)
        :: st[i] == HOLD && rown[ver] == ID(i) && rterm[ver] > term[i] -> release(i)
        :: st[i] == CLAIM -> st[i] = IDLE
        :: else
        fi
    :: else
    fi
}

/* Applies a conditional update. */
inline apply(kind, base, set, id, tm) {
    /* `base` may be `cur` itself, which changes last. */
    ok = false;
    if
    :: base == cur && cur < VMAX ->
        ok = true;
        rown[cur + 1] = rown[base]; rterm[cur + 1] = rterm[base]; rset[cur + 1] = rset[base];
        rprev[cur + 1] = rprev[base]; rnext[cur + 1] = rnext[base];
        if
        :: kind == W_OWNER -> rown[cur + 1] = id; rterm[cur + 1] = tm; rnext[cur + 1] = NONE
        :: kind == W_CHANGE -> rprev[cur + 1] = rset[base]; rset[cur + 1] = set
        :: kind == W_CLEAR -> rprev[cur + 1] = 0
        :: kind == W_NEXT -> rnext[cur + 1] = id
        :: kind == W_MOVE ->
            rown[cur + 1] = rnext[base]; rterm[cur + 1] = tm + 1; rnext[cur + 1] = NONE
        :: kind == W_RECOVER ->
            rown[cur + 1] = id; rterm[cur + 1] = rterm[base] + TERM_STEP; rset[cur + 1] = set;
            rprev[cur + 1] = 0; rnext[cur + 1] = NONE
        :: kind == W_REPAIR ->
            rown[cur + 1] = id; rterm[cur + 1] = rterm[base] + TERM_STEP; rset[cur + 1] = set;
            rnext[cur + 1] = NONE
        fi;
        assert(rterm[cur + 1] > rterm[base] ||
            (rterm[cur + 1] == rterm[base] && rown[cur + 1] == rown[base]));
        cur = cur + 1
    :: else
    fi
}

#define WRITE(i, guard, kind, set) \
    :: d_step { (guard) && kv[i] < VMAX && unknown[i] == 0 && platform_up -> \
        apply(kind, kv[i], set, ID(i), term[i]); \
        if \
        :: kind == W_MOVE && ok -> kv[i] = cur; release(i) \
        :: else -> adoptRecord(i, cur) \
        fi } \
    :: d_step { (guard) && kv[i] < VMAX && unknown[i] == 0 && LOST_ANSWERS && late_kind == 0 && FAULT -> \
        postpone(kind, kv[i], set, ID(i), term[i]); \
        LOST_ANSWER(i, kind) }

inline postpone(kind, base, set, id, tm) {
    faults++;
    late_kind = kind; late_base = base; late_set = set; late_id = id; late_term = tm
}

#ifdef M_READ_BACK
/* Concludes that the write took effect. */
#define LOST_ANSWER(i, kind) kv[i] = kv[i] + 1; dropRound(i); assert(kv[i] <= cur)
#else
#define LOST_ANSWER(i, kind) unknown[i] = kind
#endif

#define OWNER_WITH_LEASE(i) (st[i] == HOLD && lease[i] > 0 && rown[kv[i]] == ID(i))

#ifdef M_EVIDENCE
#define DEAD 255
#else
#ifdef M_EVIDENCE_WAIT
#define DEAD INC1
#else
#define DEAD ((winc[0] && wage[0] == SPAN) | ((winc[1] && wage[1] == SPAN) << 1) | \
    ((winc[2] && wage[2] == SPAN) << 2) | ((winc[3] && wage[3] == SPAN) << 3))
#endif
#endif
/* R3: the oldest set in force has lost its majority for good, so neither this record nor the one
 * before it can form a lease. */
#ifdef M_EITHER_SET
#define LOST(ver) (MAJORITY(rset[ver] & DEAD) || MAJORITY(rprev[ver] & DEAD))
#else
#define LOST(ver) (MAJORITY((rprev[ver] == 0 -> rset[ver] : rprev[ver]) & DEAD))
#endif

/* C1: the term of the next claim. */
#define OWNER_TERM(i) (term[i] < rterm[kv[i]] -> rterm[kv[i]] : term[i] + 1)
#define STANDBY_TERM(i) ((term[i] < rterm[kv[i]] -> rterm[kv[i]] : term[i]) + 1)
#define CLAIM_WITH(i, guard, tm) \
    :: d_step { st[i] != HOLD && unknown[i] == 0 && (guard) && \
        tm <= (rterm[kv[i]] > TMAX_OLD -> TMAX : TMAX_OLD) -> \
        term[i] = tm; st[i] = CLAIM; round[i] = CLAIM; age[i] = 0; acks[i] = 0; SORT }

proctype instance(byte i) {
    do
    CLAIM_WITH(i, rown[kv[i]] == ID(i), OWNER_TERM(i))
    CLAIM_WITH(i, rown[kv[i]] != ID(i) && iinc[i] == 0, STANDBY_TERM(i))
    :: d_step { st[i] == CLAIM && HAS_MAJORITY(i) ->
        st[i] = HOLD; lease[i] = SPAN - age[i]; forced[i] = true; checkLease(i) }
    /* H1, H3 */
    :: d_step { st[i] == HOLD && age[i] > 0 -> round[i] = HOLD; age[i] = 0; acks[i] = 0; SORT }
    :: d_step { st[i] == HOLD && round[i] == HOLD && HAS_MAJORITY(i) &&
        (lease[i] < SPAN - age[i] || !forced[i]) ->
#ifdef M_SEND_TIME
        lease[i] = SPAN;
#else
        if :: lease[i] < SPAN - age[i] -> lease[i] = SPAN - age[i] :: else fi;
#endif
        forced[i] = true; checkLease(i) }
    /* H2 */
    :: d_step { CAN_SERVE(i) -> checkHandOver(i) }
#ifdef FAILOVER
    /* The upstream failed. */
    :: d_step { st[i] == HOLD && lease[i] > 0 && unknown[i] == 0 && FAULT -> faults++; release(i) }
#endif
    :: d_step { st[i] == HOLD && lease[i] == 0 && unknown[i] == 0 -> stepDown(i) }
#ifdef M_RELEASE_HOLDER
    :: d_step { st[i] == IDLE && rel_term > 0 && term[i] == rel_term && ID(i) == rel_id -> st[i] = HOLD }
#endif
    /* C2 */
    WRITE(i, st[i] == HOLD && lease[i] > 0 && rown[kv[i]] != ID(i), W_OWNER, 0)
#ifdef CHANGE
    /* R1 */
    WRITE(i, OWNER_WITH_LEASE(i) && rnext[kv[i]] != NONE && rnext[kv[i]] != ID(i), W_MOVE, 0)
#endif
#ifndef FAILOVER
#if NW > 3
    WRITE(i, OWNER_WITH_LEASE(i) && rprev[kv[i]] == 0 && rset[kv[i]] == FIRST_SET, W_CHANGE, PRESENT(11))
#endif
    /* R2: the spare witness replaces witness 2, or new incarnations replace their predecessors. */
    WRITE(i, OWNER_WITH_LEASE(i) && rprev[kv[i]] == 0 && rset[kv[i]] == FIRST_SET && INC1 != 0,
        W_CHANGE, PRESENT(7))
    WRITE(i, OWNER_WITH_LEASE(i) && rprev[kv[i]] != 0 && forced[i], W_CLEAR, 0)
#endif
    /* C3: reads back after a lost answer. */
    :: d_step { unknown[i] != 0 && platform_up -> unknown[i] = 0; adoptRecord(i, cur) }
    /* Pulls; they also work while the platform is down. */
    :: d_step { kv[i] < cur && unknown[i] == 0 -> adoptRecord(i, cur) }
    /* A restart forgets everything. */
    :: d_step { INSTANCE_RESTARTS && !irestarts && FAULT ->
        faults++; irestarts = true;
        iinc[i] = 1; stepDown(i); term[i] = 0; kv[i] = cur; unknown[i] = 0 }
    od
}

#define COORDINATOR_WRITE(guard, kind, set, id) \
    :: d_step { (guard) && cur < VMAX && platform_up -> apply(kind, cur, set, id, 0) } \
    :: d_step { (guard) && cur < VMAX && LOST_ANSWERS && late_kind == 0 && FAULT -> postpone(kind, cur, set, id, 0) }

/* The platform and the service's coordinator, whose writes need no answer. */
proctype platform() {
    do
    :: d_step { late_kind != 0 && platform_up ->
        apply(late_kind, late_base, late_set, late_id, late_term);
        late_kind = 0; late_base = 0; late_set = 0; late_id = 0; late_term = 0 }
#ifdef OUTAGE
    :: d_step { platform_up && g_term > 0 -> platform_up = false }
#endif
#ifdef CHANGE
    COORDINATOR_WRITE(rnext[cur] == NONE && rown[cur] != 1, W_NEXT, 0, 1)
#endif
#ifdef RECOVERY
#define MAY_RECOVER (LOST(cur) && rterm[cur] <= TMAX_OLD)
    COORDINATOR_WRITE(MAY_RECOVER, W_RECOVER, PRESENT(7), ID(0))
    COORDINATOR_WRITE(MAY_RECOVER, W_RECOVER, PRESENT(7), ID(1))
#if NW > 3
    COORDINATOR_WRITE(MAY_RECOVER, W_RECOVER, PRESENT(11), ID(0))
    COORDINATOR_WRITE(MAY_RECOVER, W_RECOVER, PRESENT(11), ID(1))
    /* Only the new set is lost: it is replaced and the previous one stays in force. */
#define MAY_REPAIR (rprev[cur] != 0 && !LOST(cur) && MAJORITY(rset[cur] & DEAD) && rterm[cur] <= TMAX_OLD)
    COORDINATOR_WRITE(MAY_REPAIR, W_REPAIR, PRESENT(11), ID(0))
    COORDINATOR_WRITE(MAY_REPAIR, W_REPAIR, PRESENT(11), ID(1))
#endif
#endif
    od
}

proctype environment() {
    do
    /* Time. */
    :: d_step { true ->
        for (h : 0 .. NI - 1) {
            if :: lease[h] > 0 -> lease[h]-- :: else fi;
            if
            :: age[h] < SPAN ->
                age[h]++;
                if
                :: age[h] == SPAN ->
                    round[h] = 0; acks[h] = 0;
                    if :: st[h] == CLAIM -> st[h] = IDLE :: else fi
                :: else
                fi
            :: else
            fi
        }
        for (h : 0 .. NW - 1) {
            if :: wtime[h] > 0 -> wtime[h]-- :: else fi;
#ifdef RECOVERY
            if :: winc[h] && wage[h] < SPAN -> wage[h]++ :: else fi
#endif
        }
        h = 0 }
    /* Keeps a round back. */
#define KEEP(i) \
    :: d_step { KEEPS && dkind == 0 && round[i] != 0 && FAULT -> \
        faults++; dkind = round[i]; dterm = term[i]; dver = kv[i]; did = ID(i) }
    KEEP(0)
    KEEP(1)
#if NI > 2
    KEEP(2)
#endif
    od
}

init {
    atomic {
        d_step {
            rown[1] = 0; rterm[1] = 1; rset[1] = FIRST_SET; rprev[1] = 0; rnext[1] = NONE;
            for (h : 0 .. NI - 1) { kv[h] = 1; age[h] = SPAN }
            for (h : 0 .. NW - 1) { whold[h] = NONE }
            h = 0
        }
        run instance(0); run instance(1);
#if NI > 2
        run instance(2);
#endif
        run witness(0); run witness(1); run witness(2);
#if NW > 3
        run witness(3);
#endif
        run platform(); run environment();
    }
}
