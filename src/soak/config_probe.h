// SPDX-License-Identifier: Apache-2.0

/// \file
/// Probes, as a caller, which configuration version each instance serves.

#ifndef DOORWOOD_SOAK_CONFIG_PROBE_H_
#define DOORWOOD_SOAK_CONFIG_PROBE_H_

#include <functional>
#include <map>
#include <optional>

#include "loop.adapter/http_client.h"
#include "soak/world.h"

namespace doorwood::soak {

/// Each version of the configuration adds one route to the previous version.
/// Checks that a process that has served a route continues to serve it.
class ConfigProbe {
 public:
  explicit ConfigProbe(World& world);

  void Start();
  /// From now on, an instance that does not serve a configuration so long after
  /// it was stored is a violation.
  void ExpectNewestWithin(Millis age) { max_age_ = age; }
  /// Waits until every instance serves the newest route; reports a violation if
  /// some instances do not within the time-out.
  void AwaitNewest(Millis timeout, std::function<void()> done);

 private:
  /// Configuration that the current process of the instance has served.
  struct Served {
    int restarts = 0;
    int version = 0;
    /// Time at which the answer for `version` arrived. A 404 is a violation
    /// only if its probe was sent at this time or later: an earlier probe may
    /// have been answered before the instance had this version.
    int64_t confirmed_at = 0;
  };
  struct Probe {
    size_t instance = 0;
    int restarts = 0;
    int version = 0;
    int64_t sent_at = 0;
  };

  void ProbeAll();
  void CheckAges();
  void SendProbe(size_t instance, int version);
  void OnAnswer(const Probe& probe, int status);
  bool ServesNewest(size_t instance) const;
  void AwaitUntil(int64_t until, const std::function<void()>& done);

  World& world_;
  HttpClient client_;
  std::map<size_t, Served> served_;
  std::optional<Millis> max_age_;
  /// Newest configuration of which lateness was reported, by instance.
  std::map<size_t, int> reported_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_CONFIG_PROBE_H_
