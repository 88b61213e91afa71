// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the platform's list of live and leaving instances, which lags behind
/// the actual state.

#ifndef DOORWOOD_DIRECTORY_H_
#define DOORWOOD_DIRECTORY_H_

#include <functional>
#include <system_error>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

class InstanceDirectory {
 public:
  using Callback =
      std::function<void(std::error_code, std::vector<InstanceInfo>)>;

  virtual ~InstanceDirectory() = default;

  /// Fetches the platform's current list: the workers and backend servers of
  /// this data centre, and the entry instances of all data centres. On failure
  /// the caller keeps its last list.
  virtual void Fetch(Callback done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_DIRECTORY_H_
