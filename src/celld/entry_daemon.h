// SPDX-License-Identifier: Apache-2.0

/// \file
/// One entry instance: constructs the components and connects them. Contains no
/// scheduling logic.

#ifndef DOORWOOD_CELLD_ENTRY_DAEMON_H_
#define DOORWOOD_CELLD_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <string>

#include "doorwood/cell_leader.h"
#include "doorwood/config_follower.h"
#include "doorwood/entry_settings.h"
#include "doorwood/ingress.h"
#include "doorwood/line_limiter.h"
#include "doorwood/link_load.h"
#include "doorwood/live_directory.h"
#include "doorwood/metered_store.h"
#include "doorwood/paced_workers.h"
#include "log.adapter/json_log.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_peers.h"
#include "loop.adapter/http_server.h"
#include "loop.adapter/loop_executor.h"
#include "platform/advice.h"
#include "platform/config.h"
#include "platform/front.h"
#include "platform/machines.h"
#include "platform/store.h"
#include "platform/workers.h"

namespace doorwood {

class EntryDaemon {
 public:
  /// The file at `settings_path` is reloaded on SIGHUP and when it changes.
  EntryDaemon(EntrySettings settings, std::string settings_path);

  /// Serves until SIGTERM or SIGINT, then performs a planned shutdown. Returns
  /// once requests are answered and the lead is released, but not before the
  /// balancer has had the time to remove the instance; at the latest, shortly
  /// before the grace time elapses.
  void Run();

 private:
  void WaitForSignal();
  void WaitForReload();
  void Reload(std::string_view cause);
  void ReloadChangedSettingsPeriodically();
  void FlushLogPeriodically();
  /// Logs how many connections and requests of clients were refused, if any.
  void LogClosedConnectionsPeriodically();
  /// Has the configuration read if a leader has a newer one in force.
  void FollowLeadersConfigPeriodically();
  void LogSilence(const SilentConnections& silent);
  void ReadConfigFromLeader(QueueTableSource::Callback done);
  void BeginShutdown();
  void FinishWhenIdle();
  bool IsReady() const;
  HttpResponse EncodeMetrics() const;
  /// Time since this leader last confirmed its key in the store, in
  /// milliseconds; 0 if the instance is not the leader.
  uint64_t MillisSinceLeadConfirmed() const;
  void ApplyTable(const std::shared_ptr<const QueueTable>& table);

  EntrySettings settings_;
  const std::string settings_path_;
  std::string settings_text_;
  boost::asio::io_context context_{1};
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
  LoopExecutor executor_;
  JsonLog log_;
  HttpClient client_;
  LinkLoad link_;
  platform::Store store_;
  /// The store as the components use it.
  MeteredStore metered_store_;
  platform::Workers workers_;
  PacedWorkers paced_workers_;
  platform::AdviserClient adviser_;
  platform::Machines machines_;
  platform::Directory directory_;
  platform::Config config_source_;
  HttpCellPeers peers_;
  LiveDirectory live_;
  ConfigFollower config_;
  CellLeader cell_;
  Ingress ingress_;
  platform::Front front_;
  CellPeerService peer_service_;
  HttpServer front_server_;
  HttpServer ready_server_;
  HttpServer peer_server_;
  HttpServer metrics_server_;
  LineLimiter silence_lines_;
  /// Counters of `front_server_` at the last log line about them.
  HttpServerCounters logged_front_;
  bool stopping_ = false;
  bool lead_released_ = false;
  Instant stopping_since_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELLD_ENTRY_DAEMON_H_
