// SPDX-License-Identifier: Apache-2.0

#include "doorwood/config_follower.h"

#include <algorithm>
#include <utility>

namespace doorwood {
namespace {

constexpr Millis kAgeCheckInterval{500};
// A watch that ends earlier than this without a change is not repeated at once.
constexpr Millis kMinWatchTime{20};

Millis ToMillis(Instant::duration duration) {
  return std::chrono::duration_cast<Millis>(duration);
}

}  // namespace

ConfigFollower::ConfigFollower(Executor& executor,
                               QueueTableSource& source,
                               EventLog& log,
                               const ConfigFollowerOptions& options)
    : executor_(executor), source_(source), log_(log), options_(options) {}

void ConfigFollower::Start(ChangeHandler on_change) {
  on_change_ = std::move(on_change);
  as_of_ = executor_.Now();
  BeginRead();
  CheckAge();
}

void ConfigFollower::set_reads_sparsely(bool sparse) {
  if (std::exchange(reads_sparsely_, sparse) != sparse && !reading_) {
    ScheduleNextRead();
  }
}

void ConfigFollower::set_leads(bool leads) {
  if (std::exchange(leads_, leads) != leads && !reading_) {
    ScheduleNextRead();
  }
}

Millis ConfigFollower::Age() const {
  return ToMillis(executor_.Now() - as_of_);
}

// --- Full reads ---

Millis ConfigFollower::ReadInterval() const {
  Millis interval = options_.read_interval;
  if (leads_) {
    interval = options_.leader_read_interval;
  } else if (reads_sparsely_) {
    interval = options_.sparse_read_interval;
  }
  return read_duration_ <= options_.slow_read
             ? interval
             : std::max(interval,
                        ToMillis(read_duration_) * options_.slow_read_factor);
}

void ConfigFollower::ScheduleNextRead() {
  if (!table_ || IsOutdated() || reads_failed_ > 0) {
    ScheduleRead(options_.retry_pause);
    return;
  }
  const Instant due = read_began_ + ReadInterval();
  ScheduleRead(
      std::max(Millis(0), std::chrono::ceil<Millis>(due - executor_.Now())));
}

void ConfigFollower::ScheduleRead(Millis delay) {
  if (read_timer_ != 0) {
    executor_.Cancel(read_timer_);
  }
  read_timer_ = executor_.Schedule(delay, [this] {
    read_timer_ = 0;
    BeginRead();
  });
}

void ConfigFollower::BeginRead() {
  if (stopped_ || reading_) {
    return;
  }
  // The answer that is arriving has the newest table; another one would only
  // share the link with it.
  if (table_ && source_.IsReceiving()) {
    ScheduleRead(options_.receiving_check_pause);
    return;
  }
  reading_ = true;
  read_began_ = executor_.Now();
  source_.Read(
      [this, began = read_began_](std::error_code error,
                                  const QueueTableSource::Snapshot& snapshot) {
        reading_ = false;
        if (!stopped_) {
          OnRead(began, error, snapshot);
        }
      });
}

void ConfigFollower::OnRead(Instant began,
                            std::error_code error,
                            const QueueTableSource::Snapshot& snapshot) {
  if (error) {
    ++counters_.reads_failed;
    read_error_ = error;
    read_problem_ = snapshot.problem;
    if (++reads_failed_ == 1) {
      LogState("cannot read the configuration");
    }
    ReadFallback();
    ScheduleNextRead();
    return;
  }
  read_duration_ = executor_.Now() - began;
  if (std::exchange(reads_failed_, 0) > 0) {
    log_.Write("info", "config", "configuration is readable again",
               {{"version", version()}, {"age_ms", Age().count()}});
  }
  as_of_ = std::max(as_of_, began);
  watch_revision_ = std::max(watch_revision_, snapshot.revision);
  ApplyIfNewer(snapshot, "read");
  if (began >= reported_at_) {
    ReadFallback();
  }
  ScheduleNextRead();
  if (table_ && !watching_) {
    Watch();
  }
}

void ConfigFollower::ReadFallback() {
  if (!IsOutdated() || !read_fallback_ || reading_fallback_) {
    return;
  }
  reading_fallback_ = true;
  read_fallback_([this](std::error_code error,
                        const QueueTableSource::Snapshot& snapshot) {
    reading_fallback_ = false;
    if (!error && !stopped_) {
      ApplyIfNewer(snapshot, "another instance");
    }
  });
}

// --- Watch ---

void ConfigFollower::Watch() {
  if (stopped_ || watching_) {
    return;
  }
  watching_ = true;
  source_.WaitForChange(
      watch_revision_,
      reads_sparsely_ ? options_.sparse_watch_wait : options_.watch_wait,
      [this, began = executor_.Now()](
          std::error_code error, const QueueTableSource::Snapshot& snapshot) {
        watching_ = false;
        if (!stopped_) {
          OnWatch(began, error, snapshot);
        }
      });
}

void ConfigFollower::OnWatch(Instant began,
                             std::error_code error,
                             const QueueTableSource::Snapshot& snapshot) {
  if (error) {
    ++counters_.watches_failed;
    if (!std::exchange(watch_failing_, true)) {
      log_.Write("info", "config", "watch of the configuration ended",
                 {{"error", error.message()},
                  {"problem", snapshot.problem},
                  {"after_ms", ToMillis(executor_.Now() - began).count()},
                  {"watch_revision", watch_revision_},
                  {"version", version()}});
    }
    if (error == make_error_code(KvErrc::kCompacted)) {
      BeginRead();  // It yields the next position, and begins the next watch.
      return;
    }
    executor_.Schedule(options_.retry_pause, [this] { Watch(); });
    return;
  }
  watch_failing_ = false;
  if (snapshot.table || snapshot.changed) {
    watch_revision_ = std::max(watch_revision_, snapshot.revision);
    as_of_ = std::max(as_of_, began);
    ApplyIfNewer(snapshot, "watch");
  } else if (executor_.Now() - began < kMinWatchTime) {
    executor_.Schedule(options_.retry_pause, [this] { Watch(); });
    return;
  }
  Watch();
}

// --- Versions ---

void ConfigFollower::ReadIfOlder(int64_t version) {
  if (stopped_ || !table_ || version <= newest_reported_) {
    return;
  }
  newest_reported_ = version;
  reported_at_ = executor_.Now();
  if (!IsOutdated()) {
    return;
  }
  log_.Write("info", "config", "another instance has a newer configuration",
             {{"version", this->version()},
              {"newest", version},
              {"age_ms", Age().count()},
              {"reading", reading_},
              {"receiving", source_.IsReceiving()}});
  BeginRead();
}

void ConfigFollower::ApplyIfNewer(const QueueTableSource::Snapshot& snapshot,
                                  std::string_view received_by) {
  if (!snapshot.table) {
    RejectTable(snapshot);
    return;
  }
  if (snapshot.table->version() <= version()) {
    return;
  }
  log_.Write("info", "config", "new configuration in force",
             {{"version", snapshot.table->version()},
              {"before", version()},
              {"queues", snapshot.table->queues().size()},
              {"revision", snapshot.revision},
              {"received_by", received_by},
              {"age_ms", Age().count()}});
  table_ = snapshot.table;
  on_change_(table_);
  if (!IsOutdated()) {
    ReleaseWaiting(table_);
  }
}

void ConfigFollower::RejectTable(const QueueTableSource::Snapshot& snapshot) {
  if (!snapshot.malformed || snapshot.revision == rejected_revision_) {
    return;
  }
  rejected_revision_ = snapshot.revision;
  ++counters_.tables_rejected;
  log_.Write("error", "config",
             "configuration cannot be decoded; keeping the previous one",
             {{"version", version()}, {"revision", snapshot.revision}});
}

void ConfigFollower::AwaitCurrent(TableCallback done) {
  if (!IsOutdated()) {
    done(table_);
    return;
  }
  if (waiting_.size() >= options_.max_waiting_requests) {
    RefuseRequest(done);
    return;
  }
  ++counters_.requests_waited;
  const uint64_t number = ++requests_;
  const auto timer =
      executor_.Schedule(options_.max_request_wait, [this, number] {
        RefuseRequest(waiting_.extract(number).mapped().done);
      });
  waiting_.emplace(number, WaitingRequest{std::move(done), timer});
}

void ConfigFollower::RefuseRequest(const TableCallback& done) {
  ++counters_.requests_refused;
  if (refused_for_ != newest_reported_) {
    refused_for_ = newest_reported_;
    LogState("requests are refused until a newer configuration is read");
  }
  done(nullptr);
}

void ConfigFollower::ReleaseWaiting(
    const std::shared_ptr<const QueueTable>& table) {
  for (auto& [number, request] : std::exchange(waiting_, {})) {
    executor_.Cancel(request.timer);
    request.done(table);
  }
}

// --- Age ---

void ConfigFollower::CheckAge() {
  if (stopped_) {
    return;
  }
  const bool late = Age() > ReadInterval() + options_.late_margin;
  if (late != std::exchange(late_, late)) {
    if (late) {
      LogState("the configuration in force may be out of date");
    } else {
      log_.Write("info", "config", "the configuration in force is confirmed",
                 {{"version", version()}, {"age_ms", Age().count()}});
    }
  }
  executor_.Schedule(kAgeCheckInterval, [this] { CheckAge(); });
}

void ConfigFollower::LogState(std::string_view message) const {
  const auto reading =
      reading_ ? executor_.Now() - read_began_ : Instant::duration::zero();
  log_.Write("warn", "config", message,
             {{"version", version()},
              {"newest_reported", newest_reported_},
              {"age_ms", Age().count()},
              {"reads_failed", reads_failed_},
              {"error", reads_failed_ > 0 ? read_error_.message() : ""},
              {"problem", read_problem_},
              {"reading_ms", ToMillis(reading).count()},
              {"watch_failing", watch_failing_},
              {"watch_revision", watch_revision_}});
}

}  // namespace doorwood
