// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeper of the configuration in force: applies changes by compare-and-swap
/// on one key, and takes newer revisions from the key-value service and from
/// peers. The revision in force only rises. docs/design/configuration.md.

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

/// A change that an operator asks for.
struct ConfigChange {
  std::string text;
  /// Revision that the change rests on; nothing: whatever is newest.
  std::optional<uint64_t> base;
  /// Made up by the client; makes asking again harmless.
  std::string operation;
  /// Who asks, for the history.
  std::string author;
};

struct ConfigOutcome {
  std::error_code error;
  uint64_t revision = 0;
  /// Problems of the document, if it was refused.
  std::vector<std::string> problems;
};

struct ConfigKeeperOptions {
  Millis watch_retry{200};
  Millis watch_retry_longest{2000};
};

/// All calls on the control thread.
class ConfigKeeper : public std::enable_shared_from_this<ConfigKeeper> {
 public:
  /// Called with each configuration that comes into force.
  using OnChange = std::function<void()>;

  ConfigKeeper(const ConfigKeeperOptions& options,
               Executor& executor,
               KvStore& kv,
               OnChange on_change);

  /// Begins to watch the key-value service, for as long as it lives.
  void Start();
  void Stop();

  void Apply(const ConfigChange& change,
             std::function<void(ConfigOutcome)> done);
  /// Sets whether `worker` is drained.
  void SetDrained(const std::string& worker,
                  bool drained,
                  std::function<void(std::error_code)> done);
  /// Takes a stored value, from the service or a peer, if it is newer.
  void Take(const std::string& value);

  uint64_t revision() const { return revision_; }
  const Configuration& configuration() const { return *configuration_; }
  std::shared_ptr<const Configuration> shared() const { return configuration_; }
  /// Text in force.
  const std::string& text() const { return text_; }
  /// The stored value in force, as given to peers.
  const std::string& value() const { return value_; }
  /// Earlier revisions, newest first, as JSON.
  Json History() const;
  const std::set<std::string>& drained() const { return drained_; }

 private:
  void Watch();
  void OnWatched(std::error_code error, const std::vector<KvEntry>& entries);
  void TakeDrained(const std::string& value, int64_t version);
  void TryApply(const ConfigChange& change,
                int tries,
                std::function<void(ConfigOutcome)> done);
  void WriteChange(const ConfigChange& change,
                   const KvEntry& entry,
                   int tries,
                   std::function<void(ConfigOutcome)> done);
  void ConfirmChange(const ConfigChange& change,
                     std::function<void(ConfigOutcome)> done);

  ConfigKeeperOptions options_;
  Executor& executor_;
  KvStore& kv_;
  OnChange on_change_;
  bool stopped_ = false;
  Millis retry_;
  int64_t watched_ = 0;
  uint64_t revision_ = 0;
  std::string text_;
  std::string value_;
  std::shared_ptr<const Configuration> configuration_;
  std::set<std::string> drained_;
  int64_t drained_version_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_CONFIG_KEEPER_H_
