#include "persimmonrail/keyspace/key_placement.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/objects/object_version.h"

#include <Poco/JSON/Array.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <map>

namespace persimmonrail {

const owned_range &key_placement::rangeOf(shard_key key) const
{
    const auto after = std::upper_bound(
        ranges.begin(), ranges.end(), key,
        [](shard_key wantedKey, const owned_range &range) { return wantedKey < range.keys.first; });
    return *std::prev(after);
}

owned_range &key_placement::isolateRange(key_interval keys)
{
    std::vector<owned_range> result;
    for (const owned_range &range : ranges) {
        const shard_key first = std::max(range.keys.first, keys.first);
        const shard_key last = std::min(range.keys.last, keys.last);
        if (first > last) {
            result.push_back(range);
            continue;
        }
        const auto add = [&](shard_key from, shard_key to) {
            result.push_back(range);
            result.back().keys = {from, to};
        };
        if (range.keys.first < first) {
            add(range.keys.first, first - 1);
        }
        if (!result.empty() && result.back().keys.last >= keys.first) {
            result.back().keys.last = last;
        } else {
            add(first, last);
        }
        if (last < range.keys.last) {
            add(last + 1, range.keys.last);
        }
    }
    ranges = std::move(result);
    return *std::find_if(ranges.begin(), ranges.end(),
                         [&](const owned_range &range) { return range.keys == keys; });
}

void key_placement::mergeAdjacentRanges()
{
    std::vector<owned_range> result;
    for (owned_range &range : ranges) {
        if (!result.empty() && result.back().owner == range.owner
            && result.back().fence == range.fence && result.back().handover == range.handover
            && result.back().takeoverDelay == range.takeoverDelay
            && result.back().previousOwner == range.previousOwner) {
            result.back().keys.last = range.keys.last;
        } else {
            result.push_back(std::move(range));
        }
    }
    ranges = std::move(result);
}

uint64_t firstFence(uint64_t epoch)
{
    constexpr int fenceBits = 32;
    return epoch <= baseEpoch ? 0 : epoch << fenceBits;
}

key_placement emptyPlacement(std::string service)
{
    return {std::move(service), 0, {owned_range{}}};
}

bool isValid(const key_placement &placement)
{
    uint64_t next = 0;
    for (const owned_range &range : placement.ranges) {
        if (range.keys.first != next || range.keys.last < range.keys.first
            || range.fence > placement.highestFence) {
            return false;
        }
        next = uint64_t{range.keys.last} + 1;
    }
    return next == uint64_t{lastKey} + 1;
}

namespace {

// Distinct strings of a placement. The encoded ranges refer to a string by its index.
class string_table
{
public:
    // Returns the index of the text, which is added if it is new.
    int64_t add(const std::string &text)
    {
        const auto [entry, isNew] = m_indexes.emplace(text, static_cast<int64_t>(m_texts.size()));
        if (isNew) {
            m_texts.add(text);
        }
        return entry->second;
    }
    // Returns the index of the ID's text, or noIndex for an empty ID.
    int64_t add(const upstream_id &id) { return id.isEmpty() ? noIndex : add(toString(id)); }
    const Poco::JSON::Array &texts() const { return m_texts; }

    static constexpr int64_t noIndex = -1;

private:
    std::map<std::string, int64_t> m_indexes;
    Poco::JSON::Array m_texts;
};

// Fields of an encoded range in their order; each is an integer.
enum range_field {
    LastKeyField,
    OwnerField,
    FenceField,
    HandoverField,
    TakeOverAfterField,
    PreviousOwnerField
};
constexpr size_t rangeFieldCount = 6;

std::string encodeRange(const owned_range &range, string_table &table)
{
    const int64_t handover =
        range.handover.empty() ? string_table::noIndex : table.add(range.handover);
    return absl::StrCat(range.keys.last, ",", table.add(range.owner), ",", range.fence, ",",
                        handover, ",", range.takeoverDelay.count(), ",",
                        table.add(range.previousOwner));
}

// Returns the text at the index, or an empty one for noIndex.
absl::StatusOr<std::string> textAt(const std::vector<std::string> &texts, int64_t index)
{
    if (index == string_table::noIndex) {
        return std::string();
    }
    if (index < 0 || index >= static_cast<int64_t>(texts.size())) {
        return absl::InvalidArgumentError("range refers to an entry that \"texts\" does not have");
    }
    return texts[static_cast<size_t>(index)];
}

// Returns the upstream whose ID is the text at the index, or an empty ID for noIndex.
absl::StatusOr<upstream_id> upstreamAt(const std::vector<std::string> &texts, int64_t index)
{
    const auto text = textAt(texts, index);
    if (!text.ok()) {
        return text.status();
    }
    if (text->empty()) {
        return upstream_id();
    }
    const size_t slash = text->rfind('/');
    upstream_id id{text->substr(0, slash), 0};
    if (slash == std::string::npos || id.isEmpty()
        || !absl::SimpleAtoi(text->substr(slash + 1), &id.startedAt)) {
        return absl::InvalidArgumentError(
            "owner or previous owner of a range is not an upstream ID");
    }
    return id;
}

// Parses a range that begins at `first`.
absl::StatusOr<owned_range> parseRange(absl::string_view text, shard_key first,
                                       const std::vector<std::string> &texts)
{
    std::array<int64_t, rangeFieldCount> fields{};
    const std::vector<absl::string_view> parts = absl::StrSplit(text, ',');
    if (parts.size() != rangeFieldCount) {
        return absl::InvalidArgumentError("range has too few or too many fields");
    }
    for (size_t i = 0; i < rangeFieldCount; ++i) {
        if (!absl::SimpleAtoi(parts[i], &fields[i])) {
            return absl::InvalidArgumentError("range has a field that is not an integer");
        }
    }
    if (fields[LastKeyField] < first || fields[LastKeyField] > lastKey || fields[FenceField] < 0
        || fields[TakeOverAfterField] < 0) {
        return absl::InvalidArgumentError(
            "range ends before it begins or above the last key, or has a negative fence or delay");
    }
    const auto owner = upstreamAt(texts, fields[OwnerField]);
    const auto handover = textAt(texts, fields[HandoverField]);
    const auto previous = upstreamAt(texts, fields[PreviousOwnerField]);
    for (const absl::Status &status : {owner.status(), handover.status(), previous.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    return owned_range{{first, static_cast<shard_key>(fields[LastKeyField])},
                       *owner,
                       static_cast<uint64_t>(fields[FenceField]),
                       *handover,
                       milliseconds(fields[TakeOverAfterField]),
                       *previous};
}

absl::StatusOr<key_placement> decodePlacement(const Poco::JSON::Object &object)
{
    key_placement placement;
    placement.service = textMember(object, "service");
    placement.highestFence = integerMember<uint64_t>(object, "highest_fence");
    std::vector<std::string> texts;
    const Poco::JSON::Array::Ptr table = object.getArray("texts");
    for (size_t i = 0; table && i < table->size(); ++i) {
        texts.push_back(table->getElement<std::string>(static_cast<unsigned>(i)));
    }
    shard_key first = 0;
    const std::string ranges = textMember(object, "ranges");
    for (const absl::string_view text : absl::StrSplit(ranges, ';')) {
        auto range = parseRange(text, first, texts);
        if (!range.ok()) {
            return range.status();
        }
        first = range->keys.last + 1;
        placement.ranges.push_back(std::move(*range));
    }
    if (placement.service.empty() || !isValid(placement)) {
        return absl::InvalidArgumentError(
            "service name is empty, ranges do not cover the keys in order, or a fence is too high");
    }
    return placement;
}

} // namespace

std::string encodePlacement(const key_placement &placement)
{
    string_table table;
    std::string ranges;
    for (const owned_range &range : placement.ranges) {
        absl::StrAppend(&ranges, ranges.empty() ? "" : ";", encodeRange(range, table));
    }
    Poco::JSON::Object object;
    object.set("service", placement.service);
    object.set("highest_fence", placement.highestFence);
    object.set("texts", table.texts());
    object.set("ranges", ranges);
    return renderJson(object);
}

absl::StatusOr<key_placement> parsePlacement(std::string_view json)
{
    return decodeJson(json, "placement", decodePlacement);
}

} // namespace persimmonrail
