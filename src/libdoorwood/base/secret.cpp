// SPDX-License-Identifier: Apache-2.0

#include "doorwood/secret.h"

#include <cstddef>

namespace doorwood {

bool SecretsEqual(std::string_view given, std::string_view expected) {
  if (expected.empty()) {
    return false;
  }
  volatile unsigned difference = given.size() == expected.size() ? 0 : 1;
  for (size_t i = 0; i < given.size(); ++i) {
    const auto a = static_cast<unsigned char>(given[i]);
    const auto b = static_cast<unsigned char>(expected[i % expected.size()]);
    difference = difference | static_cast<unsigned>(a ^ b);
  }
  return difference == 0;
}

}  // namespace doorwood
