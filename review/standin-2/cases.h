// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_2_CASES_H_
#define REVIEW_STANDIN_2_CASES_H_

#include <iostream>
#include <string>

#include "net.h"

namespace review {

struct Setting {
  std::string name;
  bool trouble = true;
  /// The program, and a folder for settings and logs.
  std::string celld;
  std::string folder;
  /// Begin of all addresses: "127.A.B.".
  std::string prefix;
};

/// Returns the exit code.
int Play(const Setting& setting, const std::string& record);

}  // namespace review

#endif  // REVIEW_STANDIN_2_CASES_H_
