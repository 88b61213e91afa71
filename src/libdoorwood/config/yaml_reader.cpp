// SPDX-License-Identifier: Apache-2.0

#include "doorwood/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "doorwood/selector.h"

namespace doorwood {
namespace {

constexpr int64_t kMaxCpuMillis = 1'024'000;
constexpr int64_t kMaxMemoryMib = 16 * 1024 * 1024;
constexpr int64_t kMaxAccelerators = 64;

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::string RangeErrorMessage(Range range) {
  return "must be a whole number from " + std::to_string(range.low) + " to " +
         std::to_string(range.high);
}

}  // namespace

void Problems::Add(const YAML::Mark& mark,
                   std::string_view key,
                   std::string_view sentence) {
  std::string line = file_;
  if (!mark.is_null()) {
    line += ":" + std::to_string(mark.line + 1) + ":" +
            std::to_string(mark.column + 1);
  }
  line += ": ";
  if (!key.empty()) {
    line += std::string(key) + ": ";
  }
  line += sentence;
  lines_.push_back(std::move(line));
}

std::string Problems::text() const {
  std::string all;
  for (const std::string& line : lines_) {
    all += line + "\n";
  }
  return all;
}

MapReader::MapReader(const YAML::Node& node,
                     std::string path,
                     Problems* problems)
    : node_(node), path_(std::move(path)), problems_(problems) {
  if (!node_.IsMap()) {
    problems_->Add(node.Mark(), path_, "must be a mapping of keys to values");
  }
}

void MapReader::Read(std::string_view key, std::string* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  if (!node.IsScalar()) {
    AddProblemAt(node, key, "must be text");
    return;
  }
  *out = node.Scalar();
}

void MapReader::Read(std::string_view key, bool* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  if (!node.IsScalar() || !YAML::convert<bool>::decode(node, *out)) {
    AddProblemAt(node, key, "must be true or false");
  }
}

void MapReader::Read(std::string_view key, Range range, int64_t* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  const auto value =
      node.IsScalar() ? ParseInteger(node.Scalar()) : std::nullopt;
  if (!value || *value < range.low || *value > range.high) {
    AddProblemAt(node, key, RangeErrorMessage(range));
    return;
  }
  *out = *value;
}

void MapReader::Read(std::string_view key, Range range, int* out) {
  int64_t value = *out;
  Read(key, range, &value);
  *out = static_cast<int>(value);
}

void MapReader::Read(std::string_view key,
                     double low,
                     double high,
                     double* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  double value = 0;
  const bool is_number =
      node.IsScalar() && YAML::convert<double>::decode(node, value);
  // The negated comparison also rejects NaN.
  if (!is_number || !(value >= low && value <= high)) {
    AddProblemAt(node, key,
                 "must be a number from " + std::to_string(low) + " to " +
                     std::to_string(high));
    return;
  }
  *out = value;
}

void MapReader::Read(std::string_view key, Range millis, Millis* out) {
  int64_t value = out->count();
  Read(key, millis, &value);
  *out = Millis(value);
}

void MapReader::Read(std::string_view key, Labels* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  if (!node.IsMap()) {
    AddProblemAt(node, key, "must be a mapping of label to value");
    return;
  }
  for (const auto& item : node) {
    if (!item.first.IsScalar() || !item.second.IsScalar()) {
      AddProblemAt(node, key, "each label and each value must be text");
      return;
    }
    (*out)[item.first.Scalar()] = item.second.Scalar();
  }
}

void MapReader::Read(std::string_view key, Resources* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  MapReader reader(node, PathOf(key), problems_);
  reader.Read("cpu_millis", Range{0, kMaxCpuMillis}, &out->cpu_millis);
  reader.Read("memory_mib", Range{0, kMaxMemoryMib}, &out->memory_mib);
  reader.Read("accelerators", Range{0, kMaxAccelerators}, &out->accelerators);
  reader.ReportUnknownKeys();
}

void MapReader::ReadSelector(std::string_view key, std::string* out) {
  std::string text = *out;
  Read(key, &text);
  std::string error;
  if (!ParseSelector(text, &error)) {
    AddProblem(key, error);
    return;
  }
  *out = text;
}

void MapReader::ReadChoice(std::string_view key,
                           std::initializer_list<std::string_view> choices,
                           size_t* out) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  const std::string text = node.IsScalar() ? node.Scalar() : "";
  const auto choice = std::find(choices.begin(), choices.end(), text);
  if (choice != choices.end()) {
    *out = static_cast<size_t>(choice - choices.begin());
    return;
  }
  std::string sentence = "must be one of:";
  for (const std::string_view accepted : choices) {
    sentence += " " + std::string(accepted);
  }
  AddProblemAt(node, key, sentence);
}

void MapReader::ReadSequence(
    std::string_view key,
    const std::function<void(const YAML::Node&, std::string)>& each) {
  const YAML::Node node = Find(key);
  if (!node) {
    return;
  }
  if (!node.IsSequence()) {
    AddProblemAt(node, key, "must be a list");
    return;
  }
  for (size_t i = 0; i < node.size(); ++i) {
    each(node[i], PathOf(key) + "[" + std::to_string(i) + "]");
  }
}

void MapReader::Require(std::string_view key) {
  if (!Find(key)) {
    AddProblemAt(node_, key, "is missing");
  }
}

void MapReader::AddProblem(std::string_view key, std::string_view sentence) {
  const YAML::Node node = Find(key);
  AddProblemAt(node ? node : node_, key, sentence);
}

void MapReader::ReportUnknownKeys() {
  if (!node_.IsMap()) {
    return;
  }
  for (const auto& item : node_) {
    if (!item.first.IsScalar()) {
      AddProblemAt(item.first, "", "keys must be text");
      continue;
    }
    const std::string key = item.first.Scalar();
    if (std::find(known_keys_.begin(), known_keys_.end(), key) ==
        known_keys_.end()) {
      AddProblemAt(item.first, key, "is not a known key");
    }
  }
}

YAML::Node MapReader::Find(std::string_view key) {
  std::string name(key);
  if (std::find(known_keys_.begin(), known_keys_.end(), name) ==
      known_keys_.end()) {
    known_keys_.push_back(name);
  }
  if (!node_.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return node_[name];
}

std::string MapReader::PathOf(std::string_view key) const {
  if (path_.empty() || key.empty()) {
    return path_ + std::string(key);
  }
  return path_ + "." + std::string(key);
}

void MapReader::AddProblemAt(const YAML::Node& node,
                             std::string_view key,
                             std::string_view sentence) {
  problems_->Add(node.Mark(), PathOf(key), sentence);
}

YAML::Node ParseYamlMap(std::string_view text, Problems* problems) {
  try {
    YAML::Node node = YAML::Load(std::string(text));
    if (node.IsMap()) {
      return node;
    }
    problems->Add(node.Mark(), "", "must be a mapping of keys to values");
  } catch (const YAML::Exception& e) {
    problems->Add(e.mark, "", "is not valid YAML: " + e.msg);
  }
  return YAML::Node(YAML::NodeType::Null);
}

}  // namespace doorwood
