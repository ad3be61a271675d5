/* Bounds of the configurations of ownership.pml. tools/model-check overrides single bounds on the
 * command line.
 *
 * LEASE                     ticks of a lease on the holder's clock
 * INSTANCES, WITNESSES      number of processes; witness 3 is the spare that a witness change uses
 * MAX_VERSION, MAX_TERM     highest record version and highest term that the run reaches
 * MAX_WITNESS_RESTARTS      restarts of all witnesses together
 * MAX_FAULTS                faults of all kinds together, witness restarts included */
#ifndef LEASE
#define LEASE 2
#endif
#define DRIFT_MARGIN 1
/* Ticks that a lease lasts on the slowest permitted clock. */
#define MAX_LEASE (LEASE + DRIFT_MARGIN)

#ifdef FAILOVER
#ifndef INSTANCES
#define INSTANCES 3
#endif
#define WITNESSES 3
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_WITNESS_RESTARTS
#define MAX_WITNESS_RESTARTS 1
#endif
#endif
#ifdef RECORD_CHANGES
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef WITNESSES
#define WITNESSES 4
#endif
#ifndef MAX_VERSION
#define MAX_VERSION 4
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_WITNESS_RESTARTS
#define MAX_WITNESS_RESTARTS 1
#endif
#endif
#ifdef RECOVERY
#ifndef INSTANCES
#define INSTANCES 2
#endif
#ifndef WITNESSES
#define WITNESSES 4
#endif
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#ifndef MAX_WITNESS_RESTARTS
#define MAX_WITNESS_RESTARTS 2
#endif
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 2
#endif
/* Record changes that are permitted: 1, or 0 to switch the kind off. */
#ifndef ALLOW_MOVES
#define ALLOW_MOVES 1
#endif
#ifndef ALLOW_WITNESS_CHANGES
#define ALLOW_WITNESS_CHANGES 1
#endif
/* Kinds of fault that are permitted besides witness restarts: 1, or 0 to switch the kind off. */
#ifndef ALLOW_DELAYED_ROUNDS
#define ALLOW_DELAYED_ROUNDS 1
#endif
#ifndef ALLOW_LOST_RESPONSES
#define ALLOW_LOST_RESPONSES 1
#endif
#ifndef ALLOW_INSTANCE_RESTART
#define ALLOW_INSTANCE_RESTART 1
#endif
/* The highest term before a recovery, and the term step of rule R3. The step has to exceed the
 * number of terms that may be in use above the recorded term. */
#ifdef RECOVERY
#ifndef MAX_TERM_BEFORE_RECOVERY
#define MAX_TERM_BEFORE_RECOVERY 2
#endif
#define RECOVERY_TERM_STEP MAX_TERM_BEFORE_RECOVERY
#else
#define MAX_TERM_BEFORE_RECOVERY MAX_TERM
#define RECOVERY_TERM_STEP MAX_TERM
#endif
