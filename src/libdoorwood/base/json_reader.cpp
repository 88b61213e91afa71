// SPDX-License-Identifier: Apache-2.0

#include "doorwood/json_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace doorwood {
namespace {

constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';
constexpr int kMaxPort = 65535;
constexpr double kMillisPerSecond = 1000.0;

const Json& RequireField(const Json& json, const char* field) {
  const auto found = json.find(field);
  if (found == json.end()) {
    throw FieldError(field);
  }
  return *found;
}

int64_t IntegerOfDouble(double value, const char* field) {
  // Also false for NaN.
  const bool exact = std::abs(value) <= static_cast<double>(kMaxExactInteger) &&
                     std::trunc(value) == value;
  if (!exact) {
    throw FieldError(field);
  }
  return static_cast<int64_t>(value);
}

int64_t IntegerOf(const Json& value, const char* field) {
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(kIdentifierRange.max)) {
    throw FieldError(field);
  }
  if (value.is_number_integer()) {
    return value.get<int64_t>();
  }
  if (value.is_number_float()) {
    return IntegerOfDouble(value.get<double>(), field);
  }
  throw FieldError(field);
}

Millis ToMillis(const Json& value, const char* field, double millis_per_unit) {
  if (!value.is_number()) {
    throw FieldError(field);
  }
  const double millis = value.get<double>() * millis_per_unit;
  const bool in_range =
      millis >= 0 && millis <= static_cast<double>(kMaxMillis);
  if (!in_range) {
    throw FieldError(field);
  }
  return Millis(static_cast<int64_t>(millis));
}

}  // namespace

int64_t ToInteger(const Json& value, const char* field, IntegerRange range) {
  const int64_t whole = IntegerOf(value, field);
  if (whole < range.min || whole > range.max) {
    throw FieldError(field);
  }
  return whole;
}

std::string ToNonEmptyString(const Json& value, const char* field) {
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    throw FieldError(field);
  }
  return value.get<std::string>();
}

int64_t ReadInteger(const Json& json, const char* field, IntegerRange range) {
  return ToInteger(RequireField(json, field), field, range);
}

std::string ReadNonEmptyString(const Json& json, const char* field) {
  return ToNonEmptyString(RequireField(json, field), field);
}

int64_t ReadIntegerOr(const Json& json,
                      const char* field,
                      int64_t otherwise,
                      IntegerRange range) {
  const auto found = json.find(field);
  return found == json.end() ? otherwise : ToInteger(*found, field, range);
}

const Json& ReadList(const Json& json, const char* field) {
  const Json& list = RequireField(json, field);
  if (!list.is_array()) {
    throw FieldError(field);
  }
  return list;
}

Millis ReadMillis(const Json& json, const char* field) {
  return ToMillis(RequireField(json, field), field, 1.0);
}

std::string ReadStringOrEmpty(const Json& json, const char* field) {
  const auto found = json.find(field);
  if (found == json.end()) {
    return {};
  }
  if (!found->is_string()) {
    throw FieldError(field);
  }
  return found->get<std::string>();
}

const Json& ReadListOrEmpty(const Json& json, const char* field) {
  static const Json none = Json::array();
  return json.contains(field) ? ReadList(json, field) : none;
}

Millis ReadMillisOr(const Json& json, const char* field, Millis otherwise) {
  const auto found = json.find(field);
  return found == json.end() ? otherwise : ToMillis(*found, field, 1.0);
}

Millis ReadSecondsOr(const Json& json, const char* field, Millis otherwise) {
  const auto found = json.find(field);
  return found == json.end() ? otherwise
                             : ToMillis(*found, field, kMillisPerSecond);
}

Resources ReadResources(const Json& json,
                        const char* cpu,
                        const char* memory,
                        const char* accelerators) {
  if (!json.is_object()) {
    throw FieldError(cpu);
  }
  const IntegerRange range{0, kMaxResource};
  return {ReadIntegerOr(json, cpu, 0, range),
          ReadIntegerOr(json, memory, 0, range),
          ReadIntegerOr(json, accelerators, 0, range)};
}

std::string StringFieldOf(std::string_view text, const char* field) {
  const auto found = DecodeObject(text, [field](const Json& json) {
    return ReadStringOrEmpty(json, field);
  });
  return found.value_or("");
}

bool IsVisibleAscii(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= kFirstVisible && c <= kLastVisible;
  });
}

bool IsIpAndPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string ip(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  in_addr parsed{};
  int port = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return IsVisibleAscii(ip) && inet_pton(AF_INET, ip.c_str(), &parsed) == 1 &&
         read.ec == std::errc() && read.ptr == digits.data() + digits.size() &&
         port > 0 && port <= kMaxPort;
}

}  // namespace doorwood
