/* Bounds of the configurations of ownership.pml; each may be overridden on the command line. */
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
#ifndef NW
#define NW 4
#endif
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
/* Record changes allowed. */
#ifndef MOVES
#define MOVES 1
#endif
#ifndef WITNESS_CHANGES
#define WITNESS_CHANGES 1
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
