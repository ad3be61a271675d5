/* Symmetry reduction. Witnesses that have the same role are interchangeable: all witnesses if there
 * is no spare, otherwise witnesses 0 and 1, because the spare may replace witness 2. SORT_WITNESSES
 * sorts them by their state, so that of all states that differ only by a permutation of these
 * witnesses Spin mostly explores one. The sets of witnesses in records and acknowledgements are
 * permuted in the same way. */

/* The state of witness w as a sort key: 1 bit each for incarnation and released, 3 bits each for
 * version, term, holder and lease, and 5 bits for the acknowledgements of each instance (mask
 * BOTH_INCARNATIONS). Versions, terms, holders and leases must therefore be at most 7. The sort key
 * leaves out witness_uptime. Witnesses with equal sort keys keep their order; this is sound, but
 * Spin may explore more states. */
#define SORT_KEY(w) (witness_incarnation[w] | (witness_released[w] << 1) | \
    (witness_version[w] << 2) | (witness_term[w] << 5) | (witness_holder[w] << 8) | \
    (witness_lease_left[w] << 11) | (((acks[0] >> w) & BOTH_INCARNATIONS) << 14) | \
    (((acks[1] >> w) & BOTH_INCARNATIONS) << 19) | SORT_KEY_ACKS_2(w))
#if INSTANCES > 2
#define SORT_KEY_ACKS_2(w) (((acks[2] >> w) & BOTH_INCARNATIONS) << 24)
#define SWAP_ACKS_2(a, b) SWAP_BITS(acks[2], a, b)
#else
#define SORT_KEY_ACKS_2(w) 0
#define SWAP_ACKS_2(a, b)
#endif
/* Swaps two elements of an array. */
#define SWAP(array, a, b) scratch = array[a]; array[a] = array[b]; array[b] = scratch;
/* Swaps witnesses a and b in a set. */
#define SWAP_BITS(set, a, b) \
    set = (set & ~(BOTH_INCARNATIONS * ((1 << a) | (1 << b)))) | \
        (((set >> a) & BOTH_INCARNATIONS) << b) | (((set >> b) & BOTH_INCARNATIONS) << a);
#define SWAP_SETS(version, a, b) \
    SWAP_BITS(record_witnesses[version], a, b) SWAP_BITS(previous_witnesses[version], a, b)
/* Swaps witnesses a and b in all versions of the record after version 1, and in the pending write.
 * Version 1 names all interchangeable witnesses, so a swap does not change it. In FAILOVER no
 * version changes, because all versions have the same set of witnesses. SWAP_RECORDS is defined for
 * a MAX_VERSION of 2 to 4 only. */
#ifdef FAILOVER
#define SWAP_RECORDS(a, b)
#else
#if MAX_VERSION == 2
#define SWAP_RECORDS(a, b) SWAP_SETS(2, a, b) SWAP_BITS(pending_witnesses, a, b)
#endif
#if MAX_VERSION == 3
#define SWAP_RECORDS(a, b) \
    SWAP_SETS(2, a, b) SWAP_SETS(3, a, b) SWAP_BITS(pending_witnesses, a, b)
#endif
#if MAX_VERSION == 4
#define SWAP_RECORDS(a, b) SWAP_SETS(2, a, b) SWAP_SETS(3, a, b) SWAP_SETS(4, a, b) \
    SWAP_BITS(pending_witnesses, a, b)
#endif
#endif
#define SORT_PAIR(a, b) \
    if \
    :: SORT_KEY(a) > SORT_KEY(b) -> \
        SWAP(witness_incarnation, a, b) SWAP(witness_released, a, b) \
        SWAP(witness_version, a, b) SWAP(witness_term, a, b) SWAP(witness_holder, a, b) \
        SWAP(witness_lease_left, a, b) SWAP(witness_uptime, a, b) SWAP_RECORDS(a, b) \
        SWAP_BITS(acks[0], a, b) SWAP_BITS(acks[1], a, b) SWAP_ACKS_2(a, b) \
        scratch = 0 \
    :: else \
    fi
#if WITNESSES == 3
#define SORT_WITNESSES SORT_PAIR(0, 1); SORT_PAIR(1, 2); SORT_PAIR(0, 1)
#else
#define SORT_WITNESSES SORT_PAIR(0, 1)
#endif
