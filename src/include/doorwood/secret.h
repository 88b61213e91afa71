// SPDX-License-Identifier: Apache-2.0

/// \file
/// Comparison of secrets.

#ifndef DOORWOOD_SECRET_H_
#define DOORWOOD_SECRET_H_

#include <string_view>

namespace doorwood {

/// True if both are the same. Takes the same time wherever they differ; only
/// the length of `given` shows in the time.
bool SameSecret(std::string_view given, std::string_view expected);

}  // namespace doorwood

#endif  // DOORWOOD_SECRET_H_
