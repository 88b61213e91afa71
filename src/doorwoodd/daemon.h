// SPDX-License-Identifier: Apache-2.0

/// \file
/// One running entry instance: wires the adapters to the control core.

#ifndef DOORWOOD_DOORWOODD_DAEMON_H_
#define DOORWOOD_DOORWOODD_DAEMON_H_

#include <asio.hpp>
#include <atomic>
#include <memory>

#include "asio.adapter/asio_executor.h"
#include "directory.adapter/http_directory.h"
#include "doorwood/instance.h"
#include "doorwood/kv_budget.h"
#include "doorwood/settings.h"
#include "doorwoodd/metrics.h"
#include "http.adapter/http_frontend.h"
#include "http.adapter/http_sender.h"
#include "kv.adapter/http_kv.h"
#include "log.adapter/json_log.h"
#include "peer.adapter/peer_network.h"
#include "worker.adapter/http_workers.h"

namespace doorwood {

/// Process-level object of an entry instance. Requests are served on the
/// threads of the HTTP front end; control work runs on one executor.
class Daemon : private HttpFrontendEnvironment,
               private RoutingObserver,
               private IdempotencyKeyStore,
               private RequestObserver {
 public:
  /// Binds the listening addresses; throws std::runtime_error if one cannot be
  /// bound.
  explicit Daemon(const Settings& settings);
  ~Daemon() override;

  /// Serves until SIGTERM or SIGINT, then performs a planned shutdown.
  void Run();

 private:
  // HttpFrontendEnvironment:
  void HandleOperatorCall(const OperatorCall& call,
                          std::function<void(OperatorReply)> done) override;
  bool ready() const override;
  std::string Metrics() override;

  // RoutingObserver:
  void OnBackends(std::vector<BackendTarget> backends) override;
  void OnPeers(std::vector<PeerTarget> peers) override;
  void OnConfiguration(
      std::shared_ptr<const Configuration> configuration) override;
  std::vector<std::string> ServicesWithFreeSlots() override;
  int SlotsInUse(const std::string& worker) override;
  Json BurnRates() override;

  // IdempotencyKeyStore:
  ClaimOutcome ClaimIdempotencyKey(const std::string& key,
                                   const std::string& request,
                                   Instant deadline) override;
  void ReleaseIdempotencyKey(const std::string& key,
                             const std::string& request) override;

  // RequestObserver:
  void OnRequestFinished(const CallerRequest& request,
                         const CallerResponse& response,
                         Millis duration) override;

  void OnSignal();
  void FinishShutdown();
  std::vector<MetricSample> ControlSamples() const;

  Settings settings_;
  asio::io_context context_;
  asio::signal_set signals_;
  AsioExecutor executor_;
  JsonLog log_;
  RequestMetrics metrics_;
  HttpKv kv_;
  KvBudget budget_;
  HttpWorkers workers_;
  HttpDirectory directory_;
  RpcPeerNetwork peers_;
  HttpSender sender_;
  Router router_;
  std::unique_ptr<PlacementPolicy> policy_;
  std::unique_ptr<Instance> instance_;
  std::unique_ptr<HttpFrontend> front_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> shutting_down_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_DOORWOODD_DAEMON_H_
