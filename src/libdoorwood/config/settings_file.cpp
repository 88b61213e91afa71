// SPDX-License-Identifier: Apache-2.0

#include "doorwood/settings_file.h"

#include <fstream>
#include <sstream>

namespace doorwood {

std::optional<std::string> ReadTextFile(const std::string& path) {
  const std::ifstream in(path);
  if (!in) {
    return std::nullopt;
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace doorwood
