/* Properties that are checked whenever instance i dispatches a request to its upstream. Each
 * REACH_* check asserts that a certain state does not occur. Spin must report a violation of the
 * assertion, which shows that the state is reachable. The first owner is instance 0. Its restart,
 * that is, instance_incarnation[0], stands for its loss. */
inline checkDispatch(i) {
    assert(known_version[i] <= current);
#ifdef REACH
    if :: i == 0 && !instance_incarnation[0] -> first_owner_served = true :: else fi;
#endif
    /* No other instance can serve at the same time. */
    assert(i == 0 || !CAN_SERVE(0));
    assert(i == 1 || !CAN_SERVE(1));
#if INSTANCES > 2
    assert(i == 2 || !CAN_SERVE(2));
#endif
#ifdef REACH_FAILOVER
    /* A standby serves after the loss of the owner. */
    assert(!(first_owner_served && instance_incarnation[0] && i != 0));
#endif
#ifdef REACH_FAILOVER_OUTAGE
    /* The same while the platform is down and the first record is the current one. */
    assert(!(first_owner_served && instance_incarnation[0] && i != 0 && !platform_up &&
        current == 1));
#endif
#ifdef REACH_FAILOVER_RECORDED
    /* The standby is recorded as owner. */
    assert(!(first_owner_served && instance_incarnation[0] && i != 0 &&
        record_owner[current] == INSTANCE_ID(i) && known_version[i] == current));
#endif
#ifdef REACH_OWNER_AND_WITNESS_LOST
    /* A standby serves after the loss of the owner and one witness. */
    assert(!(first_owner_served && instance_incarnation[0] && witness_restarts > 0 && i != 0));
#endif
#ifdef REACH_SECOND_FAILOVER
    /* A second failover: instance 2 serves while instance 1 is recorded as owner. */
    assert(!(first_owner_served && i == 2 && known_version[i] == 2 && record_owner[2] == 1));
#endif
#ifdef REACH_WITNESS_CHANGE
    /* A witness change completes. */
    assert(!(record_witnesses[known_version[i]] != INITIAL_WITNESSES &&
        previous_witnesses[known_version[i]] == 0 && known_version[i] == current));
#endif
#ifdef REACH_MOVE
    /* A planned move completes. */
    assert(!(i == 1 && known_version[i] == 3 && next_owner[2] == 1 && record_owner[3] == 1 &&
        term[i] == record_term[3]));
#endif
#ifdef REACH_NEW_SET_REPLACED
    /* An instance serves after a recovery of the new set of witnesses only. */
    assert(!(term[i] > MAX_TERM_BEFORE_RECOVERY && previous_witnesses[known_version[i]] != 0));
#endif
#ifdef REACH_RECOVERY
    /* An instance serves after a recovery. */
    assert(!(term[i] > MAX_TERM_BEFORE_RECOVERY && known_version[i] == current &&
        record_witnesses[current] != INITIAL_WITNESSES && previous_witnesses[current] == 0));
#endif
}
