// SPDX-License-Identifier: Apache-2.0

#include "doorwood/json_reader.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

namespace doorwood {
namespace {

bool IsInteger(const char* text, int64_t expected, IntegerRange range = {}) {
  return ToInteger(Json::parse(text), "n", range) == expected;
}

BOOST_AUTO_TEST_CASE(ToInteger_Integers_AreAccepted) {
  constexpr int64_t kMaxInt64 = std::numeric_limits<int64_t>::max();
  BOOST_TEST(IsInteger("0", 0));
  BOOST_TEST(IsInteger("7.0", 7));
  BOOST_TEST(IsInteger("9007199254740992", kMaxExactInteger));
  BOOST_TEST(IsInteger("9223372036854775807", kMaxInt64, kIdentifierRange));
  BOOST_TEST(IsInteger("-3", -3, {-5, 5}));
}

BOOST_AUTO_TEST_CASE(ToInteger_OtherValues_AreRejected) {
  for (const char* text :
       {"-1", "1.5", "1e300", "-1e300", "9007199254740993", "true", "null",
        "\"7\"", "[]", "{}", "9223372036854775808", "18446744073709551615"}) {
    BOOST_CHECK_THROW(ToInteger(Json::parse(text), "n"), FieldError);
  }
  const Json not_a_number = std::numeric_limits<double>::quiet_NaN();
  BOOST_CHECK_THROW(ToInteger(not_a_number, "n"), FieldError);
  const Json beyond = Json::parse("18446744073709551615");
  BOOST_CHECK_THROW(ToInteger(beyond, "n", kIdentifierRange), FieldError);
}

BOOST_AUTO_TEST_CASE(ReadMillisOr_InvalidValues_AreRejected) {
  const Json json = Json::parse(
      R"({"good":1.9,"negative":-1,"huge":1e300,"text":"1","none":null})");
  BOOST_TEST(ReadMillisOr(json, "good", Millis(5)).count() == 1);
  BOOST_TEST(ReadMillisOr(json, "missing", Millis(5)).count() == 5);
  for (const char* field : {"negative", "huge", "text", "none"}) {
    BOOST_CHECK_THROW(ReadMillisOr(json, field, Millis(5)), FieldError);
  }
}

BOOST_AUTO_TEST_CASE(IsIpAndPort_OnlyIpv4AndPort_IsAccepted) {
  BOOST_TEST(IsIpAndPort("10.128.0.9:8080"));
  for (const char* text :
       {"", ":", "10.128.0.9", "10.128.0.9:", ":80", "10.128.0:80",
        "10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:-1", "10.128.0.9:8 0",
        "10.128.0.9:80\r\n", " 10.128.0.9:80", "[::1]:80", "host:80"}) {
    BOOST_TEST(!IsIpAndPort(text), text);
  }
  BOOST_TEST(!IsIpAndPort(std::string_view("10.0.0.1\0:80", 12)));
}

BOOST_AUTO_TEST_CASE(ParseJson_DeepNesting_IsRejected) {
  const auto nested = [](size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  BOOST_TEST(ParseJson(nested(64)).has_value());
  BOOST_TEST(!ParseJson(nested(65)).has_value());
  BOOST_TEST(!ParseJson(nested(1'000'000)).has_value());
  // Brackets inside strings do not count, also after an escaped quote.
  const std::string text = R"("\"\\)" + std::string(200, '[') + "\"";
  BOOST_TEST(ParseJson(text).has_value());
  BOOST_TEST(!ParseJson("\"" + nested(100)).has_value());
}

}  // namespace
}  // namespace doorwood
