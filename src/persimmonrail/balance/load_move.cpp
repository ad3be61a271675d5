#include "persimmonrail/balance/load_move.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Replaces `best` by `candidate` if the candidate relieves the donor enough to be preferred.
void considerLoadMove(const placement_options &options, load_move &best,
                      const available_member &donor, load_move candidate)
{
    double shiftedLoad = requestRateOf(options, candidate.outgoing->record);
    if (candidate.incoming != nullptr) {
        shiftedLoad -= requestRateOf(options, candidate.incoming->record);
    }
    const double higherLoad =
        std::max(donor.load - shiftedLoad, candidate.receiver->load + shiftedLoad);
    candidate.loadReduction = donor.load - higherLoad;
    // An exchange costs two moves, so it must relieve the donor clearly more than one move.
    constexpr double minExchangeAdvantage = 1.1;
    const bool costsMore = candidate.incoming != nullptr && best.incoming == nullptr;
    if (candidate.loadReduction > best.loadReduction * (costsMore ? minExchangeAdvantage : 1.0)) {
        best = candidate;
    }
}

} // namespace

double requestRateOf(const placement_options &options, const placement_record &record)
{
    const auto rate = options.requestRates.find(record.partition);
    return rate == options.requestRates.end() ? 0 : rate->second;
}

load_move findLoadMove(const available_member &donor, available_members &members,
                       const placement_options &options)
{
    load_move best;
    for (auto &[id, receiver] : members) {
        if (&receiver == &donor) {
            continue;
        }
        for (const auto *outgoing : donor.movableRecords) {
            if (donor.partitionCount > receiver.partitionCount) {
                considerLoadMove(options, best, donor, {&receiver, outgoing, nullptr});
            }
            if (options.maxConcurrentMoves < 2) {
                continue;
            }
            for (const auto *incoming : receiver.movableRecords) {
                considerLoadMove(options, best, donor, {&receiver, outgoing, incoming});
            }
        }
    }
    return best;
}

} // namespace persimmonrail
