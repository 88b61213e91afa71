// SPDX-License-Identifier: Apache-2.0

/// \file
/// Asks each instance which configuration it serves by, as callers see it.

#ifndef DOORWOOD_SOAK_CONFIG_WATCH_H_
#define DOORWOOD_SOAK_CONFIG_WATCH_H_

#include <functional>
#include <map>

#include "loop.adapter/http_client.h"
#include "soak/world.h"

namespace doorwood::soak {

/// Each version has a route more than the one before. Within one life of a
/// process a route that it served never turns unknown.
class ConfigWatch {
 public:
  explicit ConfigWatch(World& world);

  void Start();
  /// Waits until every instance serves the newest route; tells which do not.
  void AwaitNewest(Millis patience, std::function<void()> done);

 private:
  /// What the instance's present life has served.
  struct Served {
    int life = 0;
    int version = 0;
    /// When that was heard: answers to earlier questions may come later.
    int64_t heard_at = 0;
  };
  struct Question {
    size_t instance = 0;
    int life = 0;
    int version = 0;
    int64_t sent = 0;
  };

  void AskAll();
  void Ask(size_t instance, int version);
  void OnAnswer(const Question& question, int status);
  bool ServesNewest(size_t instance) const;
  void AwaitUntil(int64_t until, const std::function<void()>& done);

  World& world_;
  HttpClient client_;
  std::map<size_t, Served> served_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_CONFIG_WATCH_H_
