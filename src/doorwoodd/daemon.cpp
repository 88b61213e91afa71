// SPDX-License-Identifier: Apache-2.0

#include "doorwoodd/daemon.h"

#include <csignal>
#include <future>
#include <random>
#include <thread>

namespace doorwood {
namespace {

constexpr Millis kReadyInterval{100};
constexpr Millis kMetricsTimeout{1000};

uint64_t NewIncarnation() {
  std::random_device device;
  const uint64_t high = device();
  // Shifted so that the value fits a signed 64-bit integer, which is how other
  // tools read JSON numbers.
  return ((high << 32) | device()) >> 1;
}

HttpWorkersOptions WorkersOptions(const Settings& settings,
                                  uint64_t incarnation) {
  HttpWorkersOptions options;
  options.holder = settings.instance + "#" + std::to_string(incarnation);
  options.control_lease = settings.control_lease;
  options.task_lease = settings.task_lease;
  return options;
}

KvBudgetOptions BudgetOptions(const Settings& settings) {
  KvBudgetOptions options;
  options.rate = settings.kv_calls;
  options.burst = settings.kv_calls;
  return options;
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : settings_(settings),
      signals_(context_, SIGTERM, SIGINT),
      executor_(context_),
      log_(settings.instance),
      kv_({.address = settings.kv}, executor_),
      budget_(BudgetOptions(settings), executor_, kv_),
      workers_(WorkersOptions(settings, NewIncarnation()), executor_),
      directory_(settings.directory, settings.data_centre, executor_, log_),
      peers_({.listen = settings.peer_listen, .token = settings.peer_token},
             executor_),
      sender_(settings.peer_token),
      router_(sender_, *this, *this),
      policy_(MakeDefaultPolicy()) {
  instance_ = std::make_unique<Instance>(
      MakeInstanceOptions(settings, NewIncarnation()),
      InstancePorts{executor_, budget_, workers_, peers_, directory_, *policy_,
                    *this, log_});
  HttpFrontendOptions front;
  front.listen = settings.listen;
  front.operator_token = settings.operator_token;
  front.peer_token = settings.peer_token;
  front.connections = static_cast<size_t>(settings.connections);
  front.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  front.total_body_bytes = static_cast<size_t>(settings.total_body_bytes);
  front_ = std::make_unique<HttpFrontend>(
      front, router_, static_cast<HttpFrontendEnvironment&>(*this), log_);
}

Daemon::~Daemon() {
  peers_.set_service(nullptr);
}

void Daemon::Run() {
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      OnSignal();
    }
  });
  peers_.set_service(instance_.get());
  instance_->Start();
  const auto poll_readiness = std::make_shared<std::function<void()>>();
  *poll_readiness = [this, poll_readiness]() {
    ready_ = instance_->ready();
    executor_.Schedule(kReadyInterval,
                       [poll_readiness]() { (*poll_readiness)(); });
  };
  (*poll_readiness)();
  const auto work_guard = asio::make_work_guard(context_);
  context_.run();
}

// Planned shutdown. The instance reports itself as not ready at once and
// releases its workers and shards. Then it serves for another
// `shutdown_grace`, so that the load balancer can remove it from rotation, and
// stops the listener once the requests in progress are answered.
void Daemon::OnSignal() {
  if (shutting_down_.exchange(true)) {
    return;
  }
  log_.Write("info", "daemon", "shutdown requested", Json::object());
  instance_->BeginShutdown(settings_.shutdown_timeout,
                           [this]() { FinishShutdown(); });
}

void Daemon::FinishShutdown() {
  executor_.Schedule(settings_.shutdown_grace, [this]() {
    // Stopping waits for requests in progress. Some of them need the control
    // thread, so a separate thread waits.
    std::thread([this]() {
      front_->Stop();
      executor_.Post([this]() {
        log_.Write("info", "daemon", "stopped", Json::object());
        context_.stop();
      });
    }).detach();
  });
}

// --- HttpFrontendEnvironment -------------------------------------------------

void Daemon::HandleOperatorCall(const OperatorCall& call,
                                std::function<void(OperatorReply)> done) {
  executor_.Post([this, call, done = std::move(done)]() {
    instance_->HandleOperatorCall(call, done);
  });
}

bool Daemon::ready() const {
  return ready_ && !shutting_down_;
}

std::string Daemon::Metrics() {
  auto promise = std::make_shared<std::promise<std::vector<MetricSample>>>();
  auto future = promise->get_future();
  executor_.Post([this, promise]() { promise->set_value(ControlSamples()); });
  std::vector<MetricSample> samples;
  if (future.wait_for(kMetricsTimeout) == std::future_status::ready) {
    samples = future.get();
  }
  metrics_.AddSamples(&samples);
  const auto add_calls = [&samples](const std::string& target,
                                    const auto& traffic) {
    for (const auto& [kind, counters] : traffic) {
      const std::map<std::string, std::string> labels = {{"to", target},
                                                         {"kind", kind}};
      samples.push_back(
          {"doorwood_calls", labels, static_cast<double>(counters.calls)});
      samples.push_back(
          {"doorwood_call_bytes", labels, static_cast<double>(counters.bytes)});
    }
  };
  add_calls("kv", kv_.traffic());
  add_calls("worker", workers_.traffic());
  add_calls("directory", directory_.traffic());
  add_calls("peer", peers_.traffic());
  return ToPrometheusText(samples);
}

std::vector<MetricSample> Daemon::ControlSamples() const {
  std::vector<MetricSample> samples;
  const auto add = [&samples](const std::string& name, double value) {
    samples.push_back({name, {}, value});
  };
  add("doorwood_config_revision",
      static_cast<double>(instance_->config().revision()));
  add("doorwood_workers_held",
      static_cast<double>(instance_->holder().held_worker_count()));
  add("doorwood_peers_heard",
      static_cast<double>(instance_->membership().peers().size()));
  const KvBudgetCounters& budget = budget_.counters();
  add("doorwood_kv_calls_started", static_cast<double>(budget.started));
  add("doorwood_kv_calls_waited", static_cast<double>(budget.waited));
  add("doorwood_kv_calls_refused", static_cast<double>(budget.refused));
  OwnerCounters totals;
  size_t open_tasks = 0;
  for (const ShardOwner* owner : instance_->owners()) {
    const OwnerCounters& counters = owner->counters();
    totals.accepted += counters.accepted;
    totals.placed += counters.placed;
    totals.refused += counters.refused;
    totals.ended += counters.ended;
    totals.censuses += counters.censuses;
    totals.resolved_lost += counters.resolved_lost;
    open_tasks += owner->open_tasks();
  }
  add("doorwood_shards_owned", static_cast<double>(instance_->owners().size()));
  add("doorwood_tasks_open", static_cast<double>(open_tasks));
  add("doorwood_jobs_accepted", static_cast<double>(totals.accepted));
  add("doorwood_attempts_placed", static_cast<double>(totals.placed));
  add("doorwood_placements_refused", static_cast<double>(totals.refused));
  add("doorwood_attempts_ended", static_cast<double>(totals.ended));
  add("doorwood_censuses", static_cast<double>(totals.censuses));
  add("doorwood_attempts_lost", static_cast<double>(totals.resolved_lost));
  return samples;
}

// --- RoutingObserver ---------------------------------------------------------

void Daemon::OnBackends(std::vector<BackendTarget> backends) {
  router_.slots().SetBackends(std::move(backends));
}

void Daemon::OnPeers(std::vector<PeerTarget> peers) {
  router_.SetPeers(std::move(peers));
}

void Daemon::OnConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  metrics_.SetConfiguration(configuration);
  router_.SetConfiguration(std::move(configuration));
}

std::vector<std::string> Daemon::ServicesWithFreeSlots() {
  return router_.slots().ServicesWithFreeSlots();
}

int Daemon::SlotsInUse(const std::string& worker) {
  return router_.slots().SlotsInUse(worker);
}

Json Daemon::BurnRates() {
  return Json(metrics_.Burn());
}

// --- IdempotencyKeyStore -----------------------------------------------------

ClaimOutcome Daemon::ClaimIdempotencyKey(const std::string& key,
                                         const std::string& request,
                                         Instant deadline) {
  auto promise = std::make_shared<std::promise<ClaimOutcome>>();
  auto future = promise->get_future();
  executor_.Post([this, key, request, promise]() {
    instance_->ClaimIdempotencyKey(
        key, request,
        [promise](ClaimOutcome outcome) { promise->set_value(outcome); });
  });
  if (future.wait_until(deadline) != std::future_status::ready) {
    return ClaimOutcome::kUnknown;
  }
  return future.get();
}

void Daemon::ReleaseIdempotencyKey(const std::string& key,
                                   const std::string& request) {
  executor_.Post([this, key, request]() {
    instance_->ReleaseIdempotencyKey(key, request);
  });
}

// --- RequestObserver ---------------------------------------------------------

void Daemon::OnRequestFinished(const CallerRequest& request,
                               const CallerResponse& response,
                               Millis duration) {
  metrics_.OnRequest(request, response, duration);
  // Answered requests are logged at debug level only, to limit log volume.
  const bool answered = response.outcome == RequestOutcome::kAnswered;
  const char* level = answered ? "debug" : "info";
  if (!log_.IsEnabled(level)) {
    return;
  }
  log_.Write(level, "request", ToString(response.outcome),
             {{"request", request.id},
              {"service", request.service},
              {"member", request.member},
              {"status", response.status},
              {"took_ms", duration.count()}});
}

}  // namespace doorwood
