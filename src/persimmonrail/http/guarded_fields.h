#pragma once

#include <Poco/Net/MessageHeader.h>

#include <absl/status/status.h>

#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// The header fields of the messages in one direction whose value a daemon reads or sets. Every
// later reader of a message must read the same value.
struct guarded_fields
{
    // Fields that the daemon reads; at most 64. A message holds at most one line of each.
    std::vector<std::string> read;
    // Fields that the daemon sets. It replaces their lines, however many there are.
    std::vector<std::string> set;
    // Beginning of the names of further fields that the daemon reads or sets; empty if there are
    // none. A message holds at most one line of each if `readsPrefixed` is set.
    std::string prefix;
    bool readsPrefixed = false;
};

// Returns whether two field names are the same to some reader: letter case is ignored, and so is
// the difference between '_' and '-', which servers that pass fields on as variables do not keep.
bool isSameField(std::string_view a, std::string_view b);

// Checks that each reader of the message reads the same values of the guarded fields as the daemon:
// no field is repeated that is read, none is spelled with '_' in place of '-', and none is listed
// in Connection, whose listed fields an intermediary removes. Errors: InvalidArgument, which names
// the field.
absl::Status checkGuardedFields(const Poco::Net::MessageHeader &message,
                                const guarded_fields &fields);

} // namespace persimmonrail
