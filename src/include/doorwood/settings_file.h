// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads settings files at program start.

#ifndef DOORWOOD_SETTINGS_FILE_H_
#define DOORWOOD_SETTINGS_FILE_H_

#include <iostream>
#include <optional>
#include <string>

#include "doorwood/yaml_reader.h"

namespace doorwood {

/// Returns the contents of a file, or nothing if it cannot be opened.
std::optional<std::string> ReadTextFile(const std::string& path);

/// Reads a settings file and returns the result of `parse(text, problems)`. If
/// the file cannot be read or parsed, returns nothing and prints the reasons to
/// standard error.
template <typename Parse>
auto LoadSettings(const std::string& path, Parse parse)
    -> decltype(parse(std::string(), nullptr)) {
  const auto text = ReadTextFile(path);
  if (!text) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  Problems problems(path);
  auto settings = parse(*text, &problems);
  if (!settings) {
    std::cerr << problems.text();
  }
  return settings;
}

}  // namespace doorwood

#endif  // DOORWOOD_SETTINGS_FILE_H_
