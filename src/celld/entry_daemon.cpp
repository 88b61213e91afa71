// SPDX-License-Identifier: Apache-2.0

#include "celld/entry_daemon.h"

#include <csignal>
#include <utility>

#include "doorwood/settings_file.h"
#include "log.adapter/bounded_appender.h"

namespace doorwood {
namespace {

constexpr Millis kFlushInterval{50};
constexpr Millis kSettingsCheckInterval{2000};
constexpr Millis kConfigVersionCheckInterval{100};
constexpr Millis kIdleCheckInterval{50};
// The balancer removes an instance after two failed readiness checks, one per
// second. New requests arrive until the balancer has removed it.
constexpr Millis kBalancerRemovalTime{2600};
// Part of the grace time that is reserved for the exit of the process.
constexpr Millis kExitReserve{700};
// The store is treated as unreachable after this time without an answer.
constexpr Millis kStoreTimeout{6000};
constexpr Millis kClosedConnectionsCheckInterval{1000};
constexpr int kServiceUnavailable = 503;
// Connections for readiness checks and for metrics; few processes ask for
// these.
constexpr size_t kMaxCheckConnections = 64;
// Share of the network link for calls to the store and to workers. Callers and
// other instances use the rest.
constexpr double kCallsLinkShare = 0.95;
constexpr size_t kBytesPerMegabyte = 1024UL * 1024;

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

LiveInstance MakeOwnInstance(const EntrySettings& settings) {
  LiveInstance self;
  self.name = settings.instance;
  self.data_centre = settings.data_centre;
  self.address = settings.peer_address;
  self.cpu_share = settings.cpu_share;
  return self;
}

HttpServerLimits MakeLimits(int memory_mb) {
  HttpServerLimits limits;
  limits.total_bytes = static_cast<size_t>(memory_mb) * kBytesPerMegabyte;
  return limits;
}

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings, std::string settings_path)
    : settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      settings_text_(ReadTextFile(settings_path_).value_or("")),
      stop_signals_(context_, SIGTERM, SIGINT),
      reload_signals_(context_, SIGHUP),
      executor_(context_),
      log_(settings_.instance),
      client_(context_),
      link_(kCallsLinkShare * LinkRate(settings_)),
      store_(client_, settings_.store_address),
      metered_store_(executor_, store_, link_),
      workers_(client_),
      paced_workers_(executor_, workers_, link_, WorkerPacingOptions{}),
      adviser_(client_, settings_.adviser_address),
      machines_(client_, store_, settings_.machine_service_address),
      directory_(metered_store_, log_),
      config_source_(metered_store_, store_),
      peers_(client_, [this] { return config_.version(); }),
      live_(executor_,
            metered_store_,
            peers_,
            log_,
            LiveOptions{},
            MakeOwnInstance(settings_)),
      config_(executor_, config_source_, log_, ConfigFollowerOptions{}),
      cell_(executor_,
            metered_store_,
            directory_,
            paced_workers_,
            settings_.adviser_address.empty() ? nullptr : &adviser_,
            settings_.machine_service_address.empty() ? nullptr : &machines_,
            live_,
            log_,
            UnixMillis,
            MakeCellOptions(settings_)),
      ingress_(executor_,
               metered_store_,
               peers_,
               live_,
               log_,
               {&cell_},
               MakeIngressOptions(settings_)),
      front_(
          ingress_,
          log_,
          [this] { return config_.current_table(); },
          [this](platform::Front::TableCallback done) {
            config_.AwaitCurrent(std::move(done));
          },
          UnixMillis),
      peer_service_(executor_, {&cell_}, [this] { return config_.table(); }),
      front_server_(
          context_,
          [this](const HttpRequest& request, HttpServer::Respond respond) {
            front_.Handle(request, std::move(respond));
          }),
      ready_server_(
          context_,
          [this](const HttpRequest&, const HttpServer::Respond& respond) {
            HttpResponse response;
            response.status = IsReady() ? 200 : kServiceUnavailable;
            respond(std::move(response));
          }),
      peer_server_(
          context_,
          [this](const HttpRequest& request, HttpServer::Respond respond) {
            peer_service_.Handle(request, std::move(respond));
          }),
      metrics_server_(
          context_,
          [this](const HttpRequest&, const HttpServer::Respond& respond) {
            respond(EncodeMetrics());
          }) {}

void EntryDaemon::Run() {
  std::signal(SIGPIPE, SIG_IGN);
  front_server_.SetLimits(MakeLimits(settings_.client_memory_mb));
  peer_server_.SetLimits(MakeLimits(settings_.peer_memory_mb));
  client_.set_max_response_bytes(
      static_cast<size_t>(settings_.answer_memory_mb) * kBytesPerMegabyte);
  front_server_.Listen(settings_.client_address);
  ready_server_.Listen(settings_.readiness_address);
  peer_server_.Listen(settings_.peer_address);
  metrics_server_.Listen(settings_.metrics_address);
  log_.Write("info", "daemon", "started",
             {{"data_centre", settings_.data_centre},
              {"front", settings_.client_address},
              {"store", settings_.store_address},
              {"cpu_share", settings_.cpu_share}});
  client_.set_on_silence(
      [this](const SilentConnections& silent) { LogSilence(silent); });
  live_.Start([this] {
    cell_.OnLiveChange();
    ingress_.OnLiveChange();
  });
  config_.set_fallback([this](QueueTableSource::Callback done) {
    ReadConfigFromLeader(std::move(done));
  });
  config_.Start([this](const std::shared_ptr<const QueueTable>& table) {
    ApplyTable(table);
  });
  cell_.Start();
  ingress_.Start();
  WaitForSignal();
  WaitForReload();
  ReloadChangedSettingsPeriodically();
  FlushLogPeriodically();
  LogClosedConnectionsPeriodically();
  FollowLeadersConfigPeriodically();
  context_.run();
  FlushLog();
}

void EntryDaemon::ApplyTable(const std::shared_ptr<const QueueTable>& table) {
  HttpServerLimits limits = MakeLimits(settings_.client_memory_mb);
  limits.header_bytes = table->limits().header_bytes;
  limits.body_bytes = table->limits().body_bytes;
  limits.header_timeout = table->limits().header_timeout;
  limits.idle_timeout = table->limits().idle_timeout;
  front_server_.SetLimits(limits);
  cell_.OnQueueTable(table);
  ingress_.OnQueueTable(*table);
}

bool EntryDaemon::IsReady() const {
  const bool store_reachable =
      executor_.Now() - live_.last_store_answer_at() < kStoreTimeout;
  return !stopping_ && config_.current_table() != nullptr &&
         ingress_.HasReachableLeader() && (store_reachable || cell_.leading());
}

// --- Signals and settings ---

void EntryDaemon::WaitForSignal() {
  stop_signals_.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        log_.Write("info", "daemon", "shutdown signal received",
                   {{"signal", number}});
        BeginShutdown();
      });
}

void EntryDaemon::WaitForReload() {
  reload_signals_.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (error) {
          return;
        }
        Reload("SIGHUP");
        WaitForReload();
      });
}

void EntryDaemon::ReloadChangedSettingsPeriodically() {
  if (ReadTextFile(settings_path_).value_or("") != settings_text_) {
    Reload("the file changed");
  }
  executor_.Schedule(kSettingsCheckInterval,
                     [this] { ReloadChangedSettingsPeriodically(); });
}

void EntryDaemon::Reload(std::string_view cause) {
  const std::string text = ReadTextFile(settings_path_).value_or("");
  Problems problems(settings_path_);
  const auto reloaded = ParseEntrySettings(text, &problems);
  if (!reloaded) {
    log_.Write("error", "daemon",
               "settings rejected; keeping the previous ones",
               {{"cause", cause}, {"problems", problems.lines()}});
    return;
  }
  const bool changed = text != settings_text_;
  settings_text_ = text;
  settings_.store_address = reloaded->store_address;
  settings_.shutdown_grace = reloaded->shutdown_grace;
  settings_.log_level = reloaded->log_level;
  store_.SetAddress(reloaded->store_address);
  log_.Write("info", "daemon", "settings reloaded",
             {{"cause", cause}, {"changed", changed}});
}

void EntryDaemon::FlushLogPeriodically() {
  FlushLog();
  executor_.Schedule(kFlushInterval, [this] { FlushLogPeriodically(); });
}

void EntryDaemon::LogClosedConnectionsPeriodically() {
  const HttpServerCounters& now = front_server_.counters();
  if (now != logged_front_) {
    log_.Write(
        "warn", "front", "connections or requests of clients refused",
        {{"closed_for_connections",
          now.closed_for_connections - logged_front_.closed_for_connections},
         {"closed_for_memory",
          now.closed_for_memory - logged_front_.closed_for_memory},
         {"refused_for_memory",
          now.refused_for_memory - logged_front_.refused_for_memory},
         {"unreadable", now.unreadable - logged_front_.unreadable},
         {"connections", front_server_.connections()}});
    logged_front_ = now;
  }
  executor_.Schedule(kClosedConnectionsCheckInterval,
                     [this] { LogClosedConnectionsPeriodically(); });
}

void EntryDaemon::FollowLeadersConfigPeriodically() {
  config_.set_reads_sparsely(!live_.follows_instances());
  config_.set_leads(cell_.leading());
  config_.ReadIfOlder(ingress_.NewestConfigVersion());
  executor_.Schedule(kConfigVersionCheckInterval,
                     [this] { FollowLeadersConfigPeriodically(); });
}

void EntryDaemon::ReadConfigFromLeader(QueueTableSource::Callback done) {
  for (const auto& [cell, lead] : live_.leads()) {
    if (lead.instance == settings_.instance) {
      continue;
    }
    peers_.FetchQueueTable(
        lead, [done = std::move(done)](std::error_code error,
                                       const std::string& text) {
          QueueTableSource::Snapshot snapshot;
          snapshot.table = error ? nullptr : platform::DecodeConfig(text);
          snapshot.malformed = !error && !snapshot.table;
          done(error, snapshot);
        });
    return;
  }
  done(CoreErrc::kNoOwner, {});
}

void EntryDaemon::LogSilence(const SilentConnections& silent) {
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      executor_.Now().time_since_epoch());
  if (const auto left_out = silence_lines_.Allow(second.count())) {
    log_.Write("warn", "connections",
               "open connections were silent while a new one was answered",
               {{"address", silent.address},
                {"silent_ms", silent.duration.count()},
                {"calls_sent_again", silent.resent},
                {"lines_left_out", *left_out}});
  }
}

// --- Planned shutdown ---

void EntryDaemon::BeginShutdown() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopping_since_ = executor_.Now();
  front_server_.Drain();
  ingress_.StopHolding();
  live_.AnnounceLeaving();
  cell_.ShutDown([this] { lead_released_ = true; },
                 settings_.shutdown_grace - kExitReserve);
  FinishWhenIdle();
}

void EntryDaemon::FinishWhenIdle() {
  const auto since = executor_.Now() - stopping_since_;
  const bool idle = lead_released_ && front_server_.open_requests() == 0 &&
                    peer_server_.open_requests() == 0 &&
                    since >= kBalancerRemovalTime;
  if (!idle && since < settings_.shutdown_grace - kExitReserve) {
    executor_.Schedule(kIdleCheckInterval, [this] { FinishWhenIdle(); });
    return;
  }
  log_.Write("info", "daemon", "stopped",
             {{"open_requests", front_server_.open_requests()},
              {"lead_given_up", lead_released_}});
  config_.Stop();
  live_.Stop();
  // Leaves time to send the last answers and to release the lease.
  executor_.Schedule(kIdleCheckInterval, [this] { context_.stop(); });
}

// --- Metrics ---

uint64_t EntryDaemon::MillisSinceLeadConfirmed() const {
  if (!cell_.leading()) {
    return 0;
  }
  const auto ago = executor_.Now() - cell_.proof().confirmed_at();
  return std::chrono::duration_cast<Millis>(ago).count();
}

HttpResponse EntryDaemon::EncodeMetrics() const {
  const CellCounters& counters = cell_.counters();
  const ReturnCounters& returns = ingress_.return_counters();
  const TicketCounters& tickets = cell_.tickets().counters();
  const std::pair<const char*, uint64_t> rows[] = {
      {"doorwood_jobs_accepted_total", counters.accepted},
      {"doorwood_starts_total", counters.starts},
      {"doorwood_starts_refused_total", counters.starts_refused},
      {"doorwood_starts_not_sent_total", counters.starts_not_sent},
      {"doorwood_adviser_calls_total", tickets.sent},
      {"doorwood_adviser_calls_beside_overdue_total",
       tickets.sent_beside_overdue},
      {"doorwood_adviser_calls_failed_total", tickets.failed},
      {"doorwood_worker_calls_waiting", paced_workers_.waiting()},
      {"doorwood_order_delay_ms",
       static_cast<uint64_t>(paced_workers_.OrderDelay().count())},
      {"doorwood_job_memory_bytes", counters.job_memory_bytes},
      {"doorwood_jobs_refused_for_memory_total", counters.refused_for_memory},
      {"doorwood_runs_done_total", counters.ends_done},
      {"doorwood_runs_failed_total", counters.ends_failed},
      {"doorwood_runs_lost_total", counters.ends_lost},
      {"doorwood_runs_lost_at_departure_total",
       counters.runs_lost_at_departure},
      {"doorwood_late_ends_total{end=\"done\"}", counters.late_done},
      {"doorwood_late_ends_total{end=\"failed\"}", counters.late_failed},
      {"doorwood_late_ends_total{end=\"other\"}", counters.late_other},
      {"doorwood_runs_overdue_total", counters.overdue},
      {"doorwood_worker_crashes_total", counters.worker_crashes},
      {"doorwood_jobs_given_up_total", counters.jobs_given_up},
      {"doorwood_workers_set_aside", cell_.reliability().set_aside()},
      {"doorwood_workers_set_aside_total", counters.workers_set_aside},
      {"doorwood_copies_started_total", counters.copies_started},
      {"doorwood_copies_won_total", counters.copies_won},
      {"doorwood_copies_stopped_total", counters.copies_stopped},
      {"doorwood_copies_over_budget_total", counters.copies_over_budget},
      {"doorwood_stops_total", counters.stops},
      {"doorwood_paces_total", counters.paces},
      {"doorwood_directory_reads_failed_total",
       counters.directory_reads_failed},
      {"doorwood_jobs_archived_total", counters.jobs_archived},
      {"doorwood_jobs_withdrawn_total", counters.jobs_withdrawn},
      {"doorwood_takeover_read_ms", counters.takeover_read_ms},
      {"doorwood_held_tasks{reason=\"recorded_placement\"}",
       counters.held_tasks.recorded_placement},
      {"doorwood_held_tasks{reason=\"recorded_task_list\"}",
       counters.held_tasks.recorded_task},
      {"doorwood_held_tasks{reason=\"any_task\"}",
       counters.held_tasks.any_task},
      {"doorwood_held_long_running_tasks", counters.held_tasks.long_running},
      {"doorwood_held_tasks_longest_left_ms",
       static_cast<uint64_t>(counters.held_tasks.longest_left.count())},
      {"doorwood_takeovers_total", counters.takeovers},
      {"doorwood_step_downs_total", counters.step_downs},
      {"doorwood_submissions_held", ingress_.held()},
      {"doorwood_submissions_held_total", returns.held},
      {"doorwood_held_submissions_released_total", returns.released},
      {"doorwood_held_submissions_accepted_total", returns.accepted_after_hold},
      {"doorwood_callers_told_to_return_total", returns.told_to_return},
      {"doorwood_callers_refused_for_good_total", returns.refused_for_good},
      {"doorwood_longest_hold_ms",
       static_cast<uint64_t>(returns.longest_hold.count())},
      {"doorwood_leads_removed_total", counters.leads_removed},
      {"doorwood_no_leader_ms_total",
       static_cast<uint64_t>(counters.without_leader.count())},
      {"doorwood_commits_total", cell_.journal().commits()},
      {"doorwood_records_waiting", cell_.journal().waiting()},
      {"doorwood_batches_under_way", cell_.journal().flow().in_flight()},
      {"doorwood_store_answer_ms",
       static_cast<uint64_t>(cell_.journal().flow().answer_time().count())},
      {"doorwood_store_calls_total", store_.calls()},
      {"doorwood_directory_watches_refused_total", live_.watches_over_budget()},
      {"doorwood_instance_queries_total", live_.queries()},
      {"doorwood_connects_total", client_.connect_attempts()},
      {"doorwood_silent_connections_total{answered_elsewhere=\"any\"}",
       client_.silent_connections().unanswered},
      {"doorwood_silent_connections_total{answered_elsewhere=\"yes\"}",
       client_.silent_connections().confirmed},
      {"doorwood_silent_connections_closed_total",
       client_.silent_connections().closed},
      {"doorwood_calls_resent_after_silence_total",
       client_.silent_connections().resent},
      {"doorwood_config_version", static_cast<uint64_t>(config_.version())},
      {"doorwood_config_newest_reported",
       static_cast<uint64_t>(config_.newest_reported())},
      {"doorwood_config_age_ms", static_cast<uint64_t>(config_.Age().count())},
      {"doorwood_config_reads_failed_total", config_.counters().reads_failed},
      {"doorwood_config_watches_failed_total",
       config_.counters().watches_failed},
      {"doorwood_config_tables_rejected_total",
       config_.counters().tables_rejected},
      {"doorwood_requests_waited_for_config_total",
       config_.counters().requests_waited},
      {"doorwood_requests_refused_outdated_total",
       config_.counters().requests_refused},
      {"doorwood_polls_failed_total{reason=\"not_sent\"}",
       workers_.failed_polls(PollFailure::kNotSent)},
      {"doorwood_polls_failed_total{reason=\"no_response\"}",
       workers_.failed_polls(PollFailure::kNoResponse)},
      {"doorwood_polls_failed_total{reason=\"refused\"}",
       workers_.failed_polls(PollFailure::kRefused)},
      {"doorwood_polls_failed_total{reason=\"unreadable\"}",
       workers_.failed_polls(PollFailure::kUnreadable)},
      {"doorwood_log_lines_dropped_total", DroppedLogLines()},
      {"doorwood_entries_refused",
       directory_.rejected_entries().distinct_rejection_count()},
      {"doorwood_entries_refused_total",
       directory_.rejected_entries().rejection_count()},
      {"doorwood_leading", cell_.leading() ? 1U : 0U},
      {"doorwood_lead_seen_ms_ago", MillisSinceLeadConfirmed()},
      {"doorwood_front_connections", front_server_.connections()},
      {"doorwood_front_open_requests", front_server_.open_requests()},
      {"doorwood_answers_too_large_total", client_.oversized_responses()},
      {"doorwood_front_connections_closed_total{reason=\"connections\"}",
       front_server_.counters().closed_for_connections},
      {"doorwood_front_connections_closed_total{reason=\"memory\"}",
       front_server_.counters().closed_for_memory},
      {"doorwood_front_requests_refused_total{reason=\"memory\"}",
       front_server_.counters().refused_for_memory},
      {"doorwood_front_memory_bytes", front_server_.held_bytes()},
      {"doorwood_front_requests_unreadable_total",
       front_server_.counters().unreadable}};
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  for (const auto& [name, value] : rows) {
    response.body += std::string(name) + " " + std::to_string(value) + "\n";
  }
  return response;
}

}  // namespace doorwood
