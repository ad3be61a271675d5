#include "persimmonrail/objects/http_object_api.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/socket_address.h"
#include "persimmonrail/objects/http_connection_pool.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <absl/strings/str_cat.h>

#include <utility>

namespace persimmonrail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string encodeUri(const std::string &text, const std::string &reserved)
{
    std::string encoded;
    Poco::URI::encode(text, reserved, encoded);
    return encoded;
}

std::string objectTarget(const std::string &key)
{
    return absl::StrCat("/v1/objects/", encodeUri(key, "?#%&+=;:@!$'()*,[]"));
}

std::string encodeQueryValue(const std::string &text)
{
    return encodeUri(text, "?#%&+=;:@!$'()*,[]/");
}

absl::Status malformedResponse(const std::string &reason)
{
    return absl::DataLossError(absl::StrCat("malformed response of the platform: ", reason));
}

// Maps the HTTP status of a response to a status; 200 is OK.
absl::Status toStatus(int status)
{
    const std::string message = absl::StrCat("the platform responded with status ", status);
    switch (status) {
    case 200:
        return absl::OkStatus();
    case 404:
        return absl::NotFoundError(message);
    case 409:
        return absl::AbortedError(message);
    case 410:
        return absl::OutOfRangeError(message);
    case 429:
        return absl::ResourceExhaustedError(message);
    case 503:
        return absl::UnavailableError(message);
    default:
        break;
    }
    if (status >= 400 && status < 500) {
        return absl::InvalidArgumentError(message);
    }
    return status >= 500 ? absl::UnknownError(message) : malformedResponse(message);
}

// Parses the response body as a JSON object and returns `decode` of the object. Errors: DataLoss if
// the body is no JSON object or `decode` throws.
template <typename Value, typename Decode>
absl::StatusOr<Value> decodeResponse(const http_response &response, const Decode &decode)
{
    try {
        return decode(*parseStrictJsonObject(response.body));
    } catch (const Poco::Exception &error) {
        return malformedResponse(error.displayText());
    } catch (const std::exception &error) {
        return malformedResponse(error.what());
    }
}

// Returns an integer field. Rejects other types explicitly because Poco would convert strings and
// booleans to numbers. Throws Poco::Exception.
uint64_t readInteger(const Object &object, const std::string &field)
{
    const auto value = object.get(field);
    if (!value.isInteger() || value.isBoolean()) {
        throw Poco::DataFormatException(field);
    }
    return value.convert<Poco::UInt64>();
}

std::string readString(const Object &object, const std::string &field)
{
    return object.get(field).extract<std::string>();
}

stored_object readObject(const Object &object)
{
    stored_object stored;
    stored.key = readString(object, "key");
    stored.version = readInteger(object, "version");
    stored.deleted = object.has("deleted") && object.get("deleted").extract<bool>();
    if (!stored.deleted) {
        stored.value = readString(object, "value");
    }
    if (stored.version == 0) {
        throw Poco::DataFormatException("version");
    }
    return stored;
}

object_list readList(const Object &object, const std::string &field)
{
    object_list list;
    list.revision = readInteger(object, "revision");
    const Array::Ptr entries = object.getArray(field);
    if (entries.isNull()) {
        throw Poco::DataFormatException(field);
    }
    for (unsigned i = 0; i < entries->size(); ++i) {
        const Object::Ptr entry = entries->getObject(i);
        if (entry.isNull()) {
            throw Poco::DataFormatException(field);
        }
        list.objects.push_back(readObject(*entry));
    }
    return list;
}

// Implements the operations of object_api over HTTP. Thread safe, since the pool is thread safe and
// the other members are constant.
class http_object_client
{
public:
    http_object_client(const Poco::Net::SocketAddress &address, milliseconds timeout)
        : m_pool(address, timeout)
        , m_timeout(timeout)
    { }

    absl::StatusOr<stored_object> get(const std::string &key)
    {
        if (key.empty()) {
            return absl::InvalidArgumentError("the key is empty");
        }
        const auto response = read(objectTarget(key), m_timeout);
        if (!response.ok()) {
            return response.status();
        }
        auto object = decodeResponse<stored_object>(*response, readObject);
        if (object.ok() && object->key != key) {
            return malformedResponse(
                absl::StrCat("returned object ", object->key, " instead of ", key));
        }
        return object;
    }

    absl::StatusOr<object_list> list(const std::string &prefix)
    {
        return readObjects(absl::StrCat("/v1/objects?prefix=", encodeQueryValue(prefix)), "objects",
                           m_timeout);
    }

    absl::StatusOr<object_list> watch(const std::string &prefix, uint64_t revision,
                                      milliseconds wait)
    {
        return readObjects(absl::StrCat("/v1/watch?prefix=", encodeQueryValue(prefix),
                                        "&since=", revision, "&wait_ms=", wait.count()),
                           "events", m_timeout + wait);
    }

    absl::StatusOr<uint64_t> write(const std::string &method, const std::string &key,
                                   uint64_t expectedVersion, const std::string &value)
    {
        if (key.empty() || value.size() > maxObjectBytes) {
            return absl::InvalidArgumentError("the key is empty or the value exceeds one megabyte");
        }
        const std::string target = absl::StrCat(objectTarget(key), "?version=", expectedVersion);
        const auto response = m_pool.exchange({method, target, value, m_timeout, false});
        auto version = response.ok() ? readVersion(*response) : response.status();
        // The write may have taken effect although the response is unusable.
        if (version.status().code() == absl::StatusCode::kDataLoss) {
            return absl::UnknownError(version.status().message());
        }
        return version;
    }

private:
    static absl::StatusOr<uint64_t> readVersion(const http_response &response)
    {
        if (response.status == 404) {
            return absl::InvalidArgumentError("the platform responded to a write with status 404");
        }
        if (auto status = toStatus(response.status); !status.ok()) {
            return status;
        }
        auto version = decodeResponse<uint64_t>(
            response, [](const Object &object) { return readInteger(object, "version"); });
        if (version.ok() && *version == 0) {
            return malformedResponse("the version is 0");
        }
        return version;
    }

    absl::StatusOr<object_list> readObjects(const std::string &target, const std::string &field,
                                            milliseconds timeout)
    {
        const auto response = read(target, timeout);
        if (!response.ok()) {
            return response.status();
        }
        return decodeResponse<object_list>(
            *response, [&](const Object &object) { return readList(object, field); });
    }

    absl::StatusOr<http_response> read(const std::string &target, milliseconds timeout)
    {
        auto response = m_pool.exchange({"GET", target, "", timeout, true});
        auto status = response.ok() ? toStatus(response->status) : response.status();
        // A read changes nothing, so the caller may treat a failed exchange as if the request had
        // not been sent.
        if (status.code() == absl::StatusCode::kUnknown) {
            status = absl::UnavailableError(status.message());
        }
        if (!status.ok()) {
            return status;
        }
        return response;
    }

    http_connection_pool m_pool;
    const milliseconds m_timeout;
};

// Returns an object API whose functions all fail with `status`.
object_api makeFailingApi(const absl::Status &status)
{
    object_api api;
    api.get = [status](const std::string &) { return status; };
    api.put = [status](const std::string &, uint64_t, const std::string &) { return status; };
    api.remove = [status](const std::string &, uint64_t) { return status; };
    api.list = [status](const std::string &) { return status; };
    api.watch = [status](const std::string &, uint64_t, milliseconds) { return status; };
    return api;
}

} // namespace

object_api makeHttpObjectApi(const std::string &address, milliseconds timeout)
{
    const auto parsed = parseSocketAddress(address);
    if (!parsed.ok()) {
        return makeFailingApi(parsed.status());
    }
    auto client = std::make_shared<http_object_client>(*parsed, timeout);
    object_api api;
    api.get = [client](const std::string &key) { return client->get(key); };
    api.put = [client](const std::string &key, uint64_t version, const std::string &value) {
        return client->write("PUT", key, version, value);
    };
    api.remove = [client](const std::string &key, uint64_t version) {
        return client->write("DELETE", key, version, "");
    };
    api.list = [client](const std::string &prefix) { return client->list(prefix); };
    api.watch = [client](const std::string &prefix, uint64_t revision, milliseconds wait) {
        return client->watch(prefix, revision, wait);
    };
    return api;
}

absl::StatusOr<read_back_result> readBack(const object_api &api, const std::string &key,
                                          uint64_t expectedVersion, const std::string &value)
{
    const auto object = api.get(key);
    const bool isMissing = object.status().code() == absl::StatusCode::kNotFound;
    if (!object.ok() && !isMissing) {
        return object.status();
    }
    const uint64_t version = isMissing ? 0 : object->version;
    if (version == expectedVersion) {
        return read_back_result{read_back_state::NotWritten, version};
    }
    const bool hasWrittenValue = version > expectedVersion && object->value == value;
    return read_back_result{hasWrittenValue ? read_back_state::Written : read_back_state::Replaced,
                            version};
}

} // namespace persimmonrail
