// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads fields of JSON from external systems. A field that is missing, has the
/// wrong type or is out of range is reported by throwing `FieldError`. Decoders
/// of external input catch it, and nlohmann's exceptions, and convert them to
/// their own results; these exceptions do not propagate further.

#ifndef DOORWOOD_JSON_READER_H_
#define DOORWOOD_JSON_READER_H_

#include <exception>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "doorwood/json_codec.h"
#include "doorwood/types.h"

namespace doorwood {

/// A field is missing or invalid; `what()` is its name.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Largest integer that is accepted by default. Larger ones cannot be
/// represented exactly by JSON writers that use double-precision numbers.
inline constexpr int64_t kMaxExactInteger = int64_t{1} << 53;
/// Longest duration that is accepted as valid: 31 years, in milliseconds.
inline constexpr int64_t kMaxMillis = 1'000'000'000'000;
/// Largest accepted amount of a resource that a task requests or a worker has.
/// It keeps sums over many tasks or workers exact.
inline constexpr int64_t kMaxResource = 1'000'000'000'000;

/// Accepted range of an integer, both ends included.
struct IntegerRange {
  int64_t min = 0;
  int64_t max = kMaxExactInteger;
};

/// Range for integers that are used only as identifiers, never in arithmetic.
inline constexpr IntegerRange kIdentifierRange{
    0, std::numeric_limits<int64_t>::max()};

/// Converts a value to an integer; 7.0 is accepted as 7. Throws `FieldError`
/// with `field` as the name.
int64_t ToInteger(const Json& value,
                  const char* field,
                  IntegerRange range = {});
/// Converts a value to a non-empty string. Throws `FieldError`.
std::string ToNonEmptyString(const Json& value, const char* field);

/// These functions require the field and throw `FieldError` if it is missing.
int64_t ReadInteger(const Json& json,
                    const char* field,
                    IntegerRange range = {});
std::string ReadNonEmptyString(const Json& json, const char* field);
const Json& ReadList(const Json& json, const char* field);
Millis ReadMillis(const Json& json, const char* field);

/// These functions return `otherwise`, or an empty value, if the field is
/// missing, and throw `FieldError` if it is invalid.
int64_t ReadIntegerOr(const Json& json,
                      const char* field,
                      int64_t otherwise,
                      IntegerRange range = {});
/// The text may also be empty.
std::string ReadStringOrEmpty(const Json& json, const char* field);
/// The returned reference is valid as long as `json`.
const Json& ReadListOrEmpty(const Json& json, const char* field);
/// Fractions of a millisecond are truncated.
Millis ReadMillisOr(const Json& json, const char* field, Millis otherwise);
Millis ReadSecondsOr(const Json& json, const char* field, Millis otherwise);
/// Reads an object's amounts of resources from the named fields; missing
/// amounts are 0. Throws `FieldError` if an amount is invalid, or with `cpu` as
/// the name if `json` is not an object.
Resources ReadResources(const Json& json,
                        const char* cpu,
                        const char* memory,
                        const char* accelerators);

/// Parses `text` as an object and returns the string in `field`. Returns an
/// empty string if `text` is not an object or the field is missing or not a
/// string.
std::string StringFieldOf(std::string_view text, const char* field);

/// Returns true if the text is not empty and consists of visible ASCII
/// characters without spaces, so that it is safe in an HTTP header, a log line
/// and a request target.
bool IsVisibleAscii(std::string_view text);
/// Returns true for an IPv4 address and a port.
bool IsIpAndPort(std::string_view text);

/// Parses `text` as a JSON object and passes it to `decode`. Returns nothing if
/// the text is not an object or `decode` throws.
template <typename Decode>
auto DecodeObject(std::string_view text, Decode decode)
    -> std::optional<decltype(decode(Json()))> {
  const auto json = ParseJson(text);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  try {
    return decode(*json);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace doorwood

#endif  // DOORWOOD_JSON_READER_H_
