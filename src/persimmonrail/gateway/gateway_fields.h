#pragma once

#include "persimmonrail/http/guarded_fields.h"

namespace persimmonrail {

// Fields of callers' requests.
const guarded_fields &callerFields();
// Fields of requests and responses between daemons.
const guarded_fields &forwardedFields();

} // namespace persimmonrail
