// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reading fields of JSON that others wrote. A field that is missing or not of
/// its type is thrown as `FieldError`; the decoders at the edges turn that, and
/// nlohmann's exceptions, into their own answers: nothing of it goes further.

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

/// A field is not of the form that it should have; `what()` is its name.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Whole numbers beyond this are not exact in every writer's language.
inline constexpr int64_t kMostWhole = int64_t{1} << 53;
/// Longest time that is taken for one: 31 years in milliseconds.
inline constexpr int64_t kMostMillis = 1'000'000'000'000;
/// Most of a resource that a task asks for or a worker has, so that sums of
/// many stay exact.
inline constexpr int64_t kMostResource = 1'000'000'000'000;

struct WholeRange {
  int64_t least = 0;
  int64_t most = kMostWhole;
};

/// For numbers that only name something and are never counted with.
inline constexpr WholeRange kAnyName{0, std::numeric_limits<int64_t>::max()};

/// A whole number, also one written as 7.0; `field` is named by the error.
int64_t ToWhole(const Json& value, const char* field, WholeRange range = {});
/// Text that is not empty.
std::string ToText(const Json& value, const char* field);

/// The field must be there.
int64_t ReadWhole(const Json& json, const char* field, WholeRange range = {});
std::string ReadText(const Json& json, const char* field);
const Json& ReadList(const Json& json, const char* field);
Millis ReadMillis(const Json& json, const char* field);

/// The field may be missing.
int64_t ReadWholeOr(const Json& json,
                    const char* field,
                    int64_t otherwise,
                    WholeRange range = {});
/// May also be empty.
std::string ReadTextOr(const Json& json, const char* field);
/// Empty if it is missing. Lives as long as `json`.
const Json& ReadListOr(const Json& json, const char* field);
/// Fractions of a millisecond are cut off.
Millis ReadMillisOr(const Json& json, const char* field, Millis otherwise);
Millis ReadSecondsOr(const Json& json, const char* field, Millis otherwise);
Resources ReadResources(const Json& json,
                        const char* cpu,
                        const char* memory,
                        const char* accelerators);

/// Text in a field of the object that `text` is; empty if there is none.
std::string TextIn(std::string_view text, const char* field);

/// Visible ASCII without blanks: fit for a header, a log and a target.
bool IsPlainWord(std::string_view text);
/// An IPv4 number and a port.
bool IsIpAndPort(std::string_view text);

/// The object that `text` is, read by `decode`; nothing if it is none or
/// `decode` throws.
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
