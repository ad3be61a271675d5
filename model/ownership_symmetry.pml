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
