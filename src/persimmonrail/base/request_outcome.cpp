#include "persimmonrail/base/request_outcome.h"

namespace persimmonrail {

std::string_view toString(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Run:
        return "run";
    case request_outcome::NotRun:
        return "not-run";
    case request_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace persimmonrail
