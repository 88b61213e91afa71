// SPDX-License-Identifier: Apache-2.0

/// \file
/// Validating reader of YAML documents. All problems are collected with file,
/// line, column and key, so that an operator sees them at once. A document with
/// any problem is rejected as a whole.

#ifndef DOORWOOD_YAML_READER_H_
#define DOORWOOD_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

/// Problems found in one document.
class Problems {
 public:
  explicit Problems(std::string file) : file_(std::move(file)) {}

  /// Adds "FILE:LINE:COLUMN: KEY: SENTENCE".
  void Add(const YAML::Mark& mark,
           std::string_view key,
           std::string_view sentence);

  bool empty() const { return lines_.empty(); }
  const std::vector<std::string>& lines() const { return lines_; }
  /// All lines, each ended by a newline.
  std::string text() const;

 private:
  std::string file_;
  std::vector<std::string> lines_;
};

/// Accepted range of an integer, both ends included.
struct Range {
  int64_t low = 0;
  int64_t high = 0;
};

/// Reads one YAML mapping. `ReportUnknownKeys` reports keys that no call has
/// read as problems.
class MapReader {
 public:
  /// `path` names the mapping in messages, for example "services[0]".
  MapReader(const YAML::Node& node, std::string path, Problems* problems);

  /// Each overload leaves `out` unchanged if the key is missing, and adds a
  /// problem if the value is invalid.
  void Read(std::string_view key, std::string* out);
  void Read(std::string_view key, bool* out);
  void Read(std::string_view key, Range range, int64_t* out);
  void Read(std::string_view key, Range range, int* out);
  void Read(std::string_view key, double low, double high, double* out);
  void Read(std::string_view key, Range millis, Millis* out);
  void Read(std::string_view key, Labels* out);
  void Read(std::string_view key, Resources* out);
  /// Reads the text of a label selector and validates it.
  void ReadSelector(std::string_view key, std::string* out);
  /// Reads one of `choices`; `out` becomes its index.
  void ReadChoice(std::string_view key,
                  std::initializer_list<std::string_view> choices,
                  size_t* out);
  /// Calls `each` with each element of a sequence and the element's path.
  void ReadSequence(
      std::string_view key,
      const std::function<void(const YAML::Node&, std::string)>& each);

  /// Adds a problem if `key` is missing.
  void Require(std::string_view key);
  void AddProblem(std::string_view key, std::string_view sentence);
  /// Adds a problem for each key that no call has read.
  void ReportUnknownKeys();

 private:
  YAML::Node Find(std::string_view key);
  std::string PathOf(std::string_view key) const;
  void AddProblemAt(const YAML::Node& node,
                    std::string_view key,
                    std::string_view sentence);

  YAML::Node node_;
  std::string path_;
  Problems* problems_;
  std::vector<std::string> known_keys_;
};

/// Parses text into a mapping. If the text is not valid YAML or not a mapping,
/// adds a problem and returns a null node.
YAML::Node ParseYamlMap(std::string_view text, Problems* problems);

}  // namespace doorwood

#endif  // DOORWOOD_YAML_READER_H_
