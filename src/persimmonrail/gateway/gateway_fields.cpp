#include "persimmonrail/gateway/gateway_fields.h"

#include "persimmonrail/base/header_names.h"

namespace persimmonrail {
namespace {

constexpr char ownPrefix[] = "Persimmonrail-";

} // namespace

const guarded_fields &callerFields()
{
    static const guarded_fields fields{
        {idempotencyKeyHeader, deadlineHeader, subsidiaryHeader}, {}, ownPrefix, false};
    return fields;
}

const guarded_fields &forwardedFields()
{
    static const guarded_fields fields{{idempotencyKeyHeader}, {}, ownPrefix, true};
    return fields;
}

} // namespace persimmonrail
