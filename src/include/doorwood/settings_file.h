// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reading the files that a program is started with.

#ifndef DOORWOOD_SETTINGS_FILE_H_
#define DOORWOOD_SETTINGS_FILE_H_

#include <iostream>
#include <optional>
#include <string>

#include "doorwood/yaml_reader.h"

namespace doorwood {

/// A whole file; nothing if it can't be opened.
std::optional<std::string> ReadTextFile(const std::string& path);

/// What `parse(text, problems)` makes of a settings file. If that is nothing,
/// the reasons are on standard error.
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
