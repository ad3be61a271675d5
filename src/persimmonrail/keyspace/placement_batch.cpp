#include "persimmonrail/keyspace/placement_batch.h"

#include "persimmonrail/base/json_text.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonrail {
namespace {

constexpr std::array<std::pair<change_outcome, std::string_view>, 3> outcomeNames{{
    {change_outcome::Recorded, "recorded"},
    {change_outcome::NotApplied, "not-applied"},
    {change_outcome::Unknown, "unknown"},
}};

Poco::JSON::Object encodeUpstream(const upstream_id &id)
{
    Poco::JSON::Object object;
    object.set("name", id.name);
    object.set("started_at", id.startedAt);
    return object;
}

// Throws Poco::Exception if the member is missing or malformed.
upstream_id decodeUpstream(const Poco::JSON::Object &object, const std::string &name)
{
    const Poco::JSON::Object::Ptr member = object.getObject(name);
    if (!member) {
        throw Poco::DataFormatException("no object '" + name + "'");
    }
    upstream_id id{textMember(*member, "name"), integerMember<int64_t>(*member, "started_at")};
    if (id.isEmpty()) {
        throw Poco::DataFormatException("'" + name + "' names no upstream");
    }
    return id;
}

Poco::JSON::Object encodeMove(const released_move &move)
{
    Poco::JSON::Object object;
    object.set("first", move.keys.first);
    object.set("last", move.keys.last);
    object.set("fence", move.fence);
    object.set("target", encodeUpstream(move.target));
    object.set("handover", move.handover);
    return object;
}

// Throws Poco::Exception if the move is malformed.
released_move decodeMove(const Poco::JSON::Object &object)
{
    released_move move;
    move.keys = {integerMember<shard_key>(object, "first"),
                 integerMember<shard_key>(object, "last")};
    move.fence = integerMember<uint64_t>(object, "fence");
    move.target = decodeUpstream(object, "target");
    move.handover = textMember(object, "handover");
    if (move.keys.first > move.keys.last || move.keys.last > lastKey) {
        throw Poco::DataFormatException("a move ends before it begins or above the last key");
    }
    return move;
}

// Throws Poco::Exception if the ticket is malformed.
writer_ticket decodeTicket(const Poco::JSON::Object &object)
{
    return {integerMember<uint64_t>(object, "run"),
            milliseconds(integerMember<int64_t>(object, "issued_at_ms"))};
}

Poco::JSON::Object encodeTicketObject(const writer_ticket &ticket)
{
    Poco::JSON::Object object;
    object.set("run", ticket.run);
    object.set("issued_at_ms", ticket.issuedAt.count());
    return object;
}

absl::StatusOr<change_request> decodeRequest(const Poco::JSON::Object &object)
{
    change_request request;
    request.service = textMember(object, "service");
    request.change.owner = decodeUpstream(object, "owner");
    request.change.epoch = integerMember<uint64_t>(object, "epoch");
    const Poco::JSON::Object::Ptr ticket = object.getObject("ticket");
    const Poco::JSON::Array::Ptr moves = object.getArray("moves");
    if (!ticket || !moves || moves->size() == 0 || moves->size() > maxChangeMoves) {
        return absl::InvalidArgumentError("no ticket, no moves or too many moves");
    }
    request.ticket = decodeTicket(*ticket);
    for (size_t i = 0; i < moves->size(); ++i) {
        const Poco::JSON::Object::Ptr move = moves->getObject(static_cast<unsigned>(i));
        if (!move) {
            return absl::InvalidArgumentError("a move is not a JSON object");
        }
        request.change.moves.push_back(decodeMove(*move));
    }
    return request;
}

absl::StatusOr<change_response> decodeResponse(const Poco::JSON::Object &object)
{
    const std::string name = textMember(object, "outcome");
    const auto *known = std::find_if(outcomeNames.begin(), outcomeNames.end(),
                                     [&](const auto &entry) { return entry.second == name; });
    if (known == outcomeNames.end()) {
        return absl::InvalidArgumentError("unknown outcome of a change");
    }
    return change_response{known->first, integerMemberOr<uint64_t>(object, "version", 0)};
}

} // namespace

std::string_view toString(change_outcome outcome)
{
    const auto *known = std::find_if(outcomeNames.begin(), outcomeNames.end(),
                                     [&](const auto &entry) { return entry.first == outcome; });
    return known == outcomeNames.end() ? "unknown" : known->second;
}

std::string encodeTicket(const writer_ticket &ticket)
{
    return renderJson(encodeTicketObject(ticket));
}

absl::StatusOr<writer_ticket> parseTicket(std::string_view json)
{
    return decodeJson(json, "writer ticket",
                      [](const Poco::JSON::Object &object) -> absl::StatusOr<writer_ticket> {
                          return decodeTicket(object);
                      });
}

std::string encodeChangeRequest(const change_request &request)
{
    Poco::JSON::Array moves;
    for (const released_move &move : request.change.moves) {
        moves.add(encodeMove(move));
    }
    Poco::JSON::Object object;
    object.set("service", request.service);
    object.set("owner", encodeUpstream(request.change.owner));
    object.set("epoch", request.change.epoch);
    object.set("ticket", encodeTicketObject(request.ticket));
    object.set("moves", moves);
    return renderJson(object);
}

absl::StatusOr<change_request> parseChangeRequest(std::string_view json)
{
    if (json.size() > maxChangeBytes) {
        return absl::InvalidArgumentError("a change is too long");
    }
    return decodeJson(json, "placement change", decodeRequest);
}

std::string encodeChangeResponse(const change_response &response)
{
    Poco::JSON::Object object;
    object.set("outcome", std::string(toString(response.outcome)));
    object.set("version", response.version);
    return renderJson(object);
}

absl::StatusOr<change_response> parseChangeResponse(std::string_view json)
{
    return decodeJson(json, "response to a placement change", decodeResponse);
}

key_placement applyChange(key_placement placement, const owner_change &change)
{
    for (const released_move &move : change.moves) {
        placement = moveReleasedRange(std::move(placement), move.keys, change.owner, move.fence,
                                      move.target, move.handover);
    }
    return placement;
}

bool isSettled(const key_placement &placement, const owner_change &change)
{
    return std::none_of(change.moves.begin(), change.moves.end(), [&](const released_move &move) {
        return ownsUnderFence(placement, move.keys, change.owner, move.fence);
    });
}

std::optional<key_placement> applyChanges(const key_placement &current, uint64_t epoch,
                                          const std::vector<owner_change> &changes)
{
    key_placement next = current;
    for (const owner_change &change : changes) {
        if (change.epoch == epoch) {
            next = applyChange(std::move(next), change);
        }
    }
    return next == current ? std::nullopt : std::optional(std::move(next));
}

key_placement withdrawChange(key_placement placement, const owner_change &change)
{
    uint64_t fence = 0;
    for (const released_move &move : change.moves) {
        if (ownsUnderFence(placement, move.keys, change.owner, move.fence)) {
            fence = fence == 0 ? ++placement.highestFence : fence;
            placement.isolateRange(move.keys).fence = fence;
        }
    }
    placement.mergeAdjacentRanges();
    return placement;
}

} // namespace persimmonrail
