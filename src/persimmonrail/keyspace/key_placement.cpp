#include "persimmonrail/keyspace/key_placement.h"

#include "persimmonrail/base/json_text.h"

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
        [](shard_key wanted, const owned_range &range) { return wanted < range.keys.first; });
    return *std::prev(after);
}

owned_range &key_placement::carve(key_interval keys)
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

void key_placement::join()
{
    std::vector<owned_range> result;
    for (owned_range &range : ranges) {
        if (!result.empty() && result.back().owner == range.owner
            && result.back().fence == range.fence && result.back().handover == range.handover
            && result.back().takeOverAfter == range.takeOverAfter
            && result.back().previousOwner == range.previousOwner) {
            result.back().keys.last = range.keys.last;
        } else {
            result.push_back(std::move(range));
        }
    }
    ranges = std::move(result);
}

key_placement emptyPlacement(std::string service)
{
    return {std::move(service), 0, {owned_range{}}};
}

bool isWhole(const key_placement &placement)
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

// The strings of a placement, each once; ranges name them by position.
class text_table
{
public:
    int64_t add(const std::string &text)
    {
        const auto [entry, isNew] = m_positions.emplace(text, static_cast<int64_t>(m_texts.size()));
        if (isNew) {
            m_texts.add(text);
        }
        return entry->second;
    }
    int64_t add(const upstream_id &id) { return id.isEmpty() ? noText : add(toString(id)); }
    const Poco::JSON::Array &texts() const { return m_texts; }

    static constexpr int64_t noText = -1;

private:
    std::map<std::string, int64_t> m_positions;
    Poco::JSON::Array m_texts;
};

// Fields of one range, all of them whole numbers.
enum range_field { LastField, OwnerField, FenceField, HandoverField, AfterField, PreviousField };
constexpr size_t rangeFields = 6;

std::string encodeRange(const owned_range &range, text_table &table)
{
    const int64_t handover =
        range.handover.empty() ? text_table::noText : table.add(range.handover);
    return absl::StrCat(range.keys.last, ",", table.add(range.owner), ",", range.fence, ",",
                        handover, ",", range.takeOverAfter.count(), ",",
                        table.add(range.previousOwner));
}

absl::StatusOr<std::string> textAt(const std::vector<std::string> &texts, int64_t position)
{
    if (position == text_table::noText) {
        return std::string();
    }
    if (position < 0 || position >= static_cast<int64_t>(texts.size())) {
        return absl::InvalidArgumentError("a range names no text");
    }
    return texts[static_cast<size_t>(position)];
}

absl::StatusOr<upstream_id> upstreamAt(const std::vector<std::string> &texts, int64_t position)
{
    const auto text = textAt(texts, position);
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
        return absl::InvalidArgumentError("an owner is no upstream");
    }
    return id;
}

absl::StatusOr<owned_range> parseRange(absl::string_view text, shard_key first,
                                       const std::vector<std::string> &texts)
{
    std::array<int64_t, rangeFields> fields{};
    const std::vector<absl::string_view> parts = absl::StrSplit(text, ',');
    if (parts.size() != rangeFields) {
        return absl::InvalidArgumentError("a range has too few or too many fields");
    }
    for (size_t i = 0; i < rangeFields; ++i) {
        if (!absl::SimpleAtoi(parts[i], &fields[i])) {
            return absl::InvalidArgumentError("a field of a range is no number");
        }
    }
    if (fields[LastField] < first || fields[LastField] > lastKey || fields[FenceField] < 0
        || fields[AfterField] < 0) {
        return absl::InvalidArgumentError("a range does not follow the one before");
    }
    const auto owner = upstreamAt(texts, fields[OwnerField]);
    const auto handover = textAt(texts, fields[HandoverField]);
    const auto previous = upstreamAt(texts, fields[PreviousField]);
    for (const absl::Status &status : {owner.status(), handover.status(), previous.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    return owned_range{{first, static_cast<shard_key>(fields[LastField])},
                       *owner,
                       static_cast<uint64_t>(fields[FenceField]),
                       *handover,
                       milliseconds(fields[AfterField]),
                       *previous};
}

absl::StatusOr<key_placement> decodePlacement(const Poco::JSON::Object &object)
{
    key_placement placement;
    placement.service = object.getValue<std::string>("service");
    placement.highestFence = object.getValue<uint64_t>("highest_fence");
    std::vector<std::string> texts;
    const Poco::JSON::Array::Ptr table = object.getArray("texts");
    for (size_t i = 0; table && i < table->size(); ++i) {
        texts.push_back(table->getElement<std::string>(static_cast<unsigned>(i)));
    }
    shard_key first = 0;
    const std::string ranges = object.getValue<std::string>("ranges");
    for (const absl::string_view text : absl::StrSplit(ranges, ';')) {
        auto range = parseRange(text, first, texts);
        if (!range.ok()) {
            return range.status();
        }
        first = range->keys.last + 1;
        placement.ranges.push_back(std::move(*range));
    }
    if (placement.service.empty() || !isWhole(placement)) {
        return absl::InvalidArgumentError("ranges do not cover the keys in order");
    }
    return placement;
}

} // namespace

std::string encodePlacement(const key_placement &placement)
{
    text_table table;
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
