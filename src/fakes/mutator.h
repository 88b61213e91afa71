// SPDX-License-Identifier: Apache-2.0

/// \file
/// For tests: malformed messages, derived from valid ones by a seeded
/// generator, as another writer might produce them.

#ifndef DOORWOOD_FAKES_MUTATOR_H_
#define DOORWOOD_FAKES_MUTATOR_H_

#include <algorithm>
#include <array>
#include <random>
#include <string>

#include "doorwood/json_codec.h"

namespace doorwood::fakes {

class Mutator {
 public:
  explicit Mutator(uint64_t seed) : random_(seed) {}

  size_t RandomBelow(size_t bound) {
    return bound == 0 ? 0 : random_() % bound;
  }

  /// Applies one to three mutations to `good`. Each changes the bytes or, in
  /// two of three cases if the text is still JSON, a value.
  std::string Mutate(const std::string& good) {
    std::string text = good;
    const size_t changes = 1 + RandomBelow(3);
    for (size_t change = 0; change < changes; ++change) {
      const auto json = Json::parse(text, nullptr, false);
      const bool by_value = !json.is_discarded() && RandomBelow(3) != 0;
      text = by_value ? MutateValue(json) : MutateBytes(text);
    }
    return text;
  }

 private:
  // Returns JSON text, since some of these values have no representation as
  // `Json`.
  std::string RandomUnusualValue() {
    static const std::array<std::string, 30> values = {
        "null",
        "true",
        "[]",
        "{}",
        "\"\"",
        "\"x\"",
        "0",
        "-1",
        "-0.0",
        "1.5",
        "7.0",
        "1e300",
        "-1e300",
        "1e999",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551615",
        "-9223372036854775808",
        "4294967297",
        "99999999999999999999999999",
        "NaN",
        "[[[[[[]]]]]]",
        "{\"\":{\"\":{}}}",
        "[null,1,\"a\"]",
        "\"a\\u0000b\"",
        "\"\\r\\nX: y\"",
        "\"\xc3\x28\"",
        "\"\\ud800\"",
        "{\"a\":1,\"a\":2}",
        "\"0\""};
    const size_t which = RandomBelow(values.size() + 1);
    if (which < values.size()) {
      return values[which];
    }
    constexpr size_t kNestingDepth = 3000;
    return std::string(kNestingDepth, '[') + std::string(kNestingDepth, ']');
  }

  // Replaces a random value by an unusual one, or removes a field.
  std::string MutateValue(const Json& json) {
    static const std::string placeholder = "@odd@";
    Json changed = json;
    Json* at = &changed;
    while (at->is_structured() && !at->empty() && RandomBelow(4) != 0) {
      auto inner = at->begin();
      std::advance(inner, static_cast<std::ptrdiff_t>(RandomBelow(at->size())));
      at = &*inner;
    }
    if (at->is_object() && !at->empty() && RandomBelow(3) == 0) {
      auto inner = at->begin();
      std::advance(inner, static_cast<std::ptrdiff_t>(RandomBelow(at->size())));
      at->erase(inner);
      return Write(changed);
    }
    *at = placeholder;
    std::string text = Write(changed);
    const size_t place = text.find("\"" + placeholder + "\"");
    return place == std::string::npos
               ? text
               : text.replace(place, placeholder.size() + 2,
                              RandomUnusualValue());
  }

  static std::string Write(const Json& json) {
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  std::string MutateBytes(std::string text) {
    const size_t place = RandomBelow(text.size());
    switch (RandomBelow(5)) {
      case 0:
        return text.substr(0, place);
      case 1:
        if (!text.empty()) {
          text[place] = static_cast<char>(RandomBelow(256));
        }
        return text;
      case 2:
        return text.insert(place, 1, static_cast<char>(RandomBelow(256)));
      case 3:
        return text.erase(place, 1 + RandomBelow(8));
      default:
        return text.insert(
            place, text.substr(RandomBelow(text.size()), RandomBelow(40)));
    }
  }

  std::mt19937_64 random_;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_MUTATOR_H_
