// SPDX-License-Identifier: Apache-2.0

/// \file
/// Maintains the configuration in force: applies changes by compare-and-swap
/// on one key, and adopts newer revisions from the key-value service and from
/// peers. The revision in force never decreases. Design:
/// docs/design/configuration.md.

#ifndef DOORWOOD_CONFIG_KEEPER_H_
#define DOORWOOD_CONFIG_KEEPER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "doorwood/config.h"
#include "doorwood/executor.h"
#include "doorwood/json_codec.h"
#include "doorwood/kv.h"

namespace doorwood {

/// A change that an operator requests.
struct ConfigChange {
  std::string text;
  /// Revision that the change is based on. Without one, the change applies to
  /// the newest revision.
  std::optional<uint64_t> base;
  /// Id chosen by the client. A retry with the same id is not applied again as
  /// long as the stored value or its history contains the change.
  std::string operation;
  /// Author of the change, recorded in the history.
  std::string author;
};

struct ConfigOutcome {
  std::error_code error;
  uint64_t revision = 0;
  /// Validation errors of the document, if it was rejected.
  std::vector<std::string> problems;
};

struct ConfigKeeperOptions {
  Millis min_watch_retry{200};
  Millis max_watch_retry{2000};
};

/// All calls must be made on the control thread.
class ConfigKeeper : public std::enable_shared_from_this<ConfigKeeper> {
 public:
  /// Called whenever a configuration or a set of drained workers comes into
  /// force.
  using OnChange = std::function<void()>;

  ConfigKeeper(const ConfigKeeperOptions& options,
               Executor& executor,
               KvStore& kv,
               OnChange on_change);

  /// Starts watching the key-value service, until `Stop` is called.
  void Start();
  void Stop();

  /// Validates and stores a change. `done` receives the revision that the
  /// change created, or the error.
  void Apply(const ConfigChange& change,
             std::function<void(ConfigOutcome)> done);
  /// Records in the key-value service whether `worker` is drained.
  void SetDrained(const std::string& worker,
                  bool drained,
                  std::function<void(std::error_code)> done);
  /// Adopts a stored value, from the key-value service or a peer, if its
  /// revision is newer than the one in force.
  void AdoptIfNewer(const std::string& value);

  uint64_t revision() const { return revision_; }
  const Configuration& configuration() const { return *configuration_; }
  std::shared_ptr<const Configuration> shared_configuration() const {
    return configuration_;
  }
  /// Text of the configuration in force.
  const std::string& text() const { return text_; }
  /// The stored value in force, as sent to peers.
  const std::string& stored_value() const { return value_; }
  /// The revision in force and earlier ones, newest first, as JSON.
  Json RevisionHistory() const;
  const std::set<std::string>& drained() const { return drained_; }

 private:
  void Watch();
  void OnWatched(std::error_code error, const std::vector<KvEntry>& entries);
  void AdoptDrained(const std::string& value, int64_t version);
  void TryApply(const ConfigChange& change,
                int tries_left,
                std::function<void(ConfigOutcome)> done);
  void WriteChange(const ConfigChange& change,
                   const KvEntry& entry,
                   int tries_left,
                   std::function<void(ConfigOutcome)> done);
  void ConfirmChange(const ConfigChange& change,
                     std::function<void(ConfigOutcome)> done);

  ConfigKeeperOptions options_;
  Executor& executor_;
  KvStore& kv_;
  OnChange on_change_;
  bool stopped_ = false;
  Millis retry_pause_;
  int64_t watched_version_ = 0;
  uint64_t revision_ = 0;
  std::string text_;
  std::string value_;
  std::shared_ptr<const Configuration> configuration_;
  std::set<std::string> drained_;
  int64_t drained_version_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_KEEPER_H_
