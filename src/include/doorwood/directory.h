// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the platform's lagging list of live and leaving instances.

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

  /// The list as the platform sees it now: the workers and backend servers of
  /// this data centre, and every entry instance. On failure the caller keeps
  /// the list that it has.
  virtual void Fetch(Callback done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_DIRECTORY_H_
