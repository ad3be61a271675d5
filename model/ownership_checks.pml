/* Properties that are checked whenever instance i dispatches a request to its upstream. The
 * assertions of the REACH_* checks are negated: Spin has to violate them, which shows that the
 * state is reachable. */
inline checkDispatch(i) {
    assert(known_version[i] <= current);
#ifdef REACH
    if :: i == 0 && !instance_incarnation[0] -> first_owner_served = true :: else fi;
#endif
    assert(i == 0 || !CAN_SERVE(0));
    assert(i == 1 || !CAN_SERVE(1));
#if INSTANCES > 2
    assert(i == 2 || !CAN_SERVE(2));
#endif
#ifdef REACH_FAILOVER
    assert(!(first_owner_served && instance_incarnation[0] && i != 0));
#endif
#ifdef REACH_FAILOVER_OUTAGE
    assert(!(first_owner_served && instance_incarnation[0] && i != 0 && !platform_up &&
        current == 1));
#endif
#ifdef REACH_FAILOVER_RECORDED
    assert(!(first_owner_served && instance_incarnation[0] && i != 0 &&
        record_owner[current] == INSTANCE_ID(i) && known_version[i] == current));
#endif
#ifdef REACH_OWNER_AND_WITNESS
    assert(!(first_owner_served && instance_incarnation[0] && witness_restarts > 0 && i != 0));
#endif
#ifdef REACH_SECOND_FAILOVER
    assert(!(first_owner_served && i == 2 && known_version[i] == 2 && record_owner[2] == 1));
#endif
#ifdef REACH_WITNESS_CHANGE
    assert(!(record_witnesses[known_version[i]] != INITIAL_WITNESSES &&
        previous_witnesses[known_version[i]] == 0 && known_version[i] == current));
#endif
#ifdef REACH_MOVE
    assert(!(i == 1 && known_version[i] == 3 && next_owner[2] == 1 && record_owner[3] == 1 &&
        term[i] == record_term[3]));
#endif
#ifdef REACH_NEW_SET_REPLACED
    assert(!(term[i] > MAX_TERM_BEFORE_RECOVERY && previous_witnesses[known_version[i]] != 0));
#endif
#ifdef REACH_RECOVERY
    assert(!(term[i] > MAX_TERM_BEFORE_RECOVERY && known_version[i] == current &&
        record_witnesses[current] != INITIAL_WITNESSES && previous_witnesses[current] == 0));
#endif
}
