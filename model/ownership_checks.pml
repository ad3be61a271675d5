/* Properties checked at each hand-over, and states that the checks of reachability have to find. */
inline checkHandOver(i) {
    assert(kv[i] <= cur);
#ifdef REACH
    if :: i == 0 && !iinc[0] -> owner_served = true :: else fi;
#endif
    assert(i == 0 || !CAN_SERVE(0));
    assert(i == 1 || !CAN_SERVE(1));
#if NI > 2
    assert(i == 2 || !CAN_SERVE(2));
#endif
#ifdef REACH_FAILOVER
    assert(!(owner_served && iinc[0] && i != 0));
#endif
#ifdef REACH_FAILOVER_OUTAGE
    assert(!(owner_served && iinc[0] && i != 0 && !platform_up && cur == 1));
#endif
#ifdef REACH_FAILOVER_RECORDED
    assert(!(owner_served && iinc[0] && i != 0 && rown[cur] == ID(i) && kv[i] == cur));
#endif
#ifdef REACH_OWNER_AND_WITNESS
    assert(!(owner_served && iinc[0] && wrestarts > 0 && i != 0));
#endif
#ifdef REACH_SECOND_FAILOVER
    assert(!(owner_served && i == 2 && kv[i] == 2 && rown[2] == 1));
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
    assert(!(term[i] > TMAX_OLD && kv[i] == cur && rset[cur] != FIRST_SET && rprev[cur] == 0));
#endif
}
