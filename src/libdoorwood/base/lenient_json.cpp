// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lenient_json.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>
#include <utility>

namespace doorwood {
namespace {

// As in `ParseJson`.
constexpr int kMaxDepth = 64;
constexpr std::string_view kNull = "null";
constexpr std::string_view kReplacementEscape = "\\ufffd";
constexpr size_t kEscapeLength = 6;  // of "\uXXXX"

// Copies JSON text and replaces what `ParseJson` rejects. Text that is not
// valid JSON is copied in some form that is not valid either, unless only a
// part that is too deep is invalid.
class Replacer {
 public:
  explicit Replacer(std::string_view text) : text_(text) {
    copy_.reserve(text.size());
  }

  std::string Run() {
    while (position_ < text_.size()) {
      const char c = text_[position_];
      if (c == '"') {
        CopyString();
      } else if (c == '-' || (c >= '0' && c <= '9')) {
        CopyNumber();
      } else {
        CopyOther(c);
      }
    }
    return std::move(copy_);
  }

 private:
  // Whether what is at the current position is part of a value that is too
  // deep.
  bool skipping() const { return depth_ > kMaxDepth; }

  void Append(std::string_view part) {
    if (!skipping()) {
      copy_ += part;
    }
  }

  void CopyOther(char c) {
    if (c == '[' || c == '{') {
      if (++depth_ == kMaxDepth + 1) {
        copy_ += kNull;
      }
    }
    Append({&c, 1});
    if (c == ']' || c == '}') {
      --depth_;
    }
    ++position_;
  }

  void CopyNumber() {
    const size_t end = std::min(
        text_.find_first_not_of("+-.0123456789Ee", position_), text_.size());
    const std::string_view number = text_.substr(position_, end - position_);
    double value = 0;
    const auto read =
        std::from_chars(number.data(), number.data() + number.size(), value);
    Append(read.ec == std::errc::result_out_of_range ? kNull : number);
    position_ = end;
  }

  void CopyString() {
    const size_t begin = position_++;
    size_t copied = begin;
    while (position_ < text_.size() && text_[position_] != '"') {
      if (text_[position_] != '\\') {
        ++position_;
        continue;
      }
      const int unit = CodeUnitAt(position_);
      if (IsHighSurrogate(unit) &&
          IsLowSurrogate(CodeUnitAt(position_ + kEscapeLength))) {
        position_ += 2 * kEscapeLength;
      } else if (IsHighSurrogate(unit) || IsLowSurrogate(unit)) {
        Append(text_.substr(copied, position_ - copied));
        Append(kReplacementEscape);
        position_ += kEscapeLength;
        copied = position_;
      } else {
        position_ += 2;
      }
    }
    position_ = std::min(position_ + 1, text_.size());
    Append(text_.substr(copied, position_ - copied));
  }

  // Returns the UTF-16 code unit of the escape "\uXXXX" at `position`, or -1.
  int CodeUnitAt(size_t position) const {
    constexpr int kNone = -1;
    constexpr int kHex = 16;
    if (text_.size() < kEscapeLength ||
        position > text_.size() - kEscapeLength || text_[position] != '\\' ||
        text_[position + 1] != 'u') {
      return kNone;
    }
    unsigned unit = 0;
    const char* end = text_.data() + position + kEscapeLength;
    const auto read =
        std::from_chars(text_.data() + position + 2, end, unit, kHex);
    return read.ec == std::errc() && read.ptr == end ? static_cast<int>(unit)
                                                     : kNone;
  }
  static bool IsHighSurrogate(int unit) {
    return unit >= 0xD800 && unit <= 0xDBFF;
  }
  static bool IsLowSurrogate(int unit) {
    return unit >= 0xDC00 && unit <= 0xDFFF;
  }

  const std::string_view text_;
  size_t position_ = 0;
  int depth_ = 0;
  std::string copy_;
};

}  // namespace

std::string ReplaceUnreadableValues(std::string_view text) {
  return Replacer(text).Run();
}

std::optional<Json> ParseJsonLeniently(std::string_view text) {
  if (auto json = ParseJson(text)) {
    return json;
  }
  return ParseJson(ReplaceUnreadableValues(text));
}

}  // namespace doorwood
