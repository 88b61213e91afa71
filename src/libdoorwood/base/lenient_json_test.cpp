// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lenient_json.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/mutator.h"

namespace doorwood {
namespace {

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

struct Row {
  std::string text;
  std::string read;
};

BOOST_AUTO_TEST_CASE(ParseJsonLeniently_ValueNotRepresentable_OthersAreRead) {
  const std::string deepest = Nested(62);
  const Row rows[] = {
      {"[1,1e400,2]", "[1,null,2]"},
      {"[1,-1e400,2]", "[1,null,2]"},
      {"[" + std::string(400, '9') + ",2]", "[null,2]"},
      {"[1e400,18446744073709551615,-9223372036854775808,1e308]",
       "[null,18446744073709551615,-9223372036854775808,1e+308]"},
      {"[[" + deepest + "],2]", "[[" + deepest + "],2]"},
      {R"(["\ud800",2])", "[\"\xef\xbf\xbd\",2]"},
      {R"(["a\udc00b",2])",
       "[\"a\xef\xbf\xbd"
       "b\",2]"},
      {R"(["\ud800\ud800",2])", "[\"\xef\xbf\xbd\xef\xbf\xbd\",2]"},
      {R"(["\ud83d\ude00\ud800",2])", "[\"\xf0\x9f\x98\x80\xef\xbf\xbd\",2]"},
      {R"(["\\ud800",1e400,"\"1e400[",2])", R"(["\\ud800",null,"\"1e400[",2])"},
      {R"({"\ud800":1e400,"b":[1]})", "{\"b\":[1],\"\xef\xbf\xbd\":null}"}};
  for (const Row& row : rows) {
    const auto json = ParseJsonLeniently(row.text);
    BOOST_REQUIRE_MESSAGE(json.has_value(), row.text);
    BOOST_TEST(json->dump() == row.read);
  }
}

// Guards against a copy or a destructor that needs stack for each level.
BOOST_AUTO_TEST_CASE(ParseJsonLeniently_DeepNesting_OthersAreRead) {
  for (const size_t depth : {65U, 10'000U, 1'000'000U}) {
    std::string objects;
    for (size_t i = 0; i < depth; ++i) {
      objects += R"({"]\"[":)";
    }
    objects += "1" + std::string(depth, '}');
    for (const std::string& deep : {Nested(depth), objects}) {
      const auto json = ParseJsonLeniently("[" + deep + ",2," + deep + ",[3]]");
      BOOST_REQUIRE(json.has_value());
      BOOST_TEST(json->size() == 4U);
      BOOST_TEST(json->at(1) == 2);
      BOOST_TEST(json->at(3).dump() == "[3]");
      Json copy = *json;
      copy.push_back(4);
      BOOST_TEST(copy.dump().size() < 2000U);
    }
  }
}

BOOST_AUTO_TEST_CASE(ParseJsonLeniently_TextNotJson_IsRejected) {
  for (const std::string& text :
       {std::string(), std::string("["), std::string("[1e400"),
        std::string("[1e400,]"), std::string("[\"\\ud800"),
        std::string("[\"\\ud8"), std::string("[\"\\"),
        std::string("[\"\xff\"]"), std::string("[NaN]"), std::string("[-]"),
        std::string("[1e400]]"), std::string(100'000, '['),
        std::string(100'000, ']'), std::string(100'000, '[') + "}",
        "[" + Nested(100) + "}"}) {
    BOOST_TEST(!ParseJsonLeniently(text).has_value(), text.substr(0, 20));
  }
}

BOOST_AUTO_TEST_CASE(ParseJsonLeniently_Mutated_AgreesWithParseJson) {
  constexpr uint64_t kSeed = 20261206;
  constexpr int kTexts = 20'000;
  const std::string valid =
      R"({"a":[1,-2.5,"x\u00e9\ud83d\ude00"],"b":{"c":[[],{},null,true]}})";
  fakes::Mutator mutator(kSeed);
  int accepted = 0;
  for (int n = 0; n < kTexts; ++n) {
    const std::string text = mutator.Mutate(valid);
    const auto strict = ParseJson(text);
    const auto lenient = ParseJsonLeniently(text);
    BOOST_TEST((!strict || strict == lenient), text);
    accepted += !strict && lenient ? 1 : 0;
  }
  BOOST_TEST(accepted > 0);
}

}  // namespace
}  // namespace doorwood
