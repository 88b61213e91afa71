// SPDX-License-Identifier: Apache-2.0

/// \file
/// Constant-time comparison of secrets.

#ifndef DOORWOOD_SECRET_H_
#define DOORWOOD_SECRET_H_

#include <string_view>

namespace doorwood {

/// Returns true if both are equal and not empty. The time does not depend on
/// where they differ, only on the length of `given`, so that it reveals nothing
/// about `expected`.
bool SecretsEqual(std::string_view given, std::string_view expected);

}  // namespace doorwood

#endif  // DOORWOOD_SECRET_H_
