// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ended_jobs.h"

#include <array>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr std::array<std::pair<JobOutcome, std::string_view>, 3> kOutcomes = {{
    {JobOutcome::kCompleted, "completed"},
    {JobOutcome::kFailed, "failed"},
    {JobOutcome::kCancelled, "cancelled"},
}};

std::optional<JobOutcome> ParseOutcome(std::string_view text) {
  for (const auto& [outcome, name] : kOutcomes) {
    if (name == text) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EndedJobsPrefix(std::string_view cell) {
  return "doorwood/ended/" + std::string(cell) + "/";
}

std::string EndedJobKey(std::string_view cell, std::string_view job) {
  return EndedJobsPrefix(cell) + std::string(job);
}

std::string EncodeEndedJob(const EndedJob& job) {
  Json value{{"finished_at", job.finished_at}};
  for (const auto& [outcome, name] : kOutcomes) {
    if (outcome == job.outcome) {
      value["outcome"] = name;
    }
  }
  if (!job.reason.empty()) {
    value["reason"] = job.reason;
  }
  if (job.withdrawn) {
    value["withdrawn"] = true;
  }
  return value.dump();
}

std::optional<EndedJob> DecodeEndedJob(std::string_view text) {
  const auto job =
      DecodeObject(text, [](const Json& json) -> std::optional<EndedJob> {
        const auto outcome = ParseOutcome(ReadNonEmptyString(json, "outcome"));
        if (!outcome) {
          return std::nullopt;
        }
        return EndedJob{*outcome, json.value("reason", ""),
                        ReadIntegerOr(json, "finished_at", 0, kIdentifierRange),
                        json.value("withdrawn", false)};
      });
  return job.value_or(std::nullopt);
}

EndedJobs::EndedJobs(Executor& executor,
                     RecordStore& store,
                     EventLog& log,
                     const EndedJobsOptions& options,
                     std::string cell)
    : executor_(executor),
      store_(store),
      log_(log),
      options_(options),
      cell_(std::move(cell)),
      prefix_(EndedJobsPrefix(cell_)) {}

void EndedJobs::Open() {
  Close();
  open_ = true;
  opened_at_ = executor_.Now();
  ScheduleRead(options_.read_delay);
}

void EndedJobs::Close() {
  ++generation_;
  open_ = false;
  complete_ = false;
  read_up_to_.clear();
  pages_ = 0;
  failed_reads_ = 0;
  malformed_ = 0;
  jobs_.clear();
}

void EndedJobs::Add(const std::string& job, const EndedJob& ended) {
  if (open_) {
    jobs_[job] = {ended.finished_at, ended.outcome, ended.withdrawn};
  }
}

std::optional<JobOutcome> EndedJobs::Find(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() || found->second.withdrawn
             ? std::nullopt
             : std::optional(found->second.outcome);
}

bool EndedJobs::IsWithdrawn(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.withdrawn;
}

void EndedJobs::Fetch(const std::string& job, FindCallback done) {
  const auto known = Find(job);
  if (!open_ || known || complete_) {
    done(open_ ? std::error_code() : CoreErrc::kNoOwner, known);
    return;
  }
  store_.Get(EndedJobKey(cell_, job),
             [this, generation = generation_, done = std::move(done)](
                 std::error_code error, const StoreItem& item) {
               if (generation != generation_) {
                 done(CoreErrc::kNoOwner, std::nullopt);
                 return;
               }
               if (error == make_error_code(KvErrc::kNotFound)) {
                 done({}, std::nullopt);
                 return;
               }
               const auto ended =
                   error ? std::nullopt : DecodeEndedJob(item.value);
               if (!ended) {
                 done(CoreErrc::kStoreUnavailable, std::nullopt);
                 return;
               }
               done({}, ended->withdrawn ? std::nullopt
                                         : std::optional(ended->outcome));
             });
}

std::vector<std::string> EndedJobs::TakeOld(int64_t finished_before) {
  std::vector<std::string> old;
  if (!complete_) {
    return old;
  }
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const int64_t finished_at = it->second.finished_at;
    if (finished_at > 0 && finished_at < finished_before) {
      old.push_back(it->first);
      it = jobs_.erase(it);
    } else {
      ++it;
    }
  }
  return old;
}

void EndedJobs::ScheduleRead(Millis delay) {
  executor_.Schedule(delay, [this, generation = generation_] {
    if (generation == generation_) {
      ReadPage();
    }
  });
}

void EndedJobs::ReadPage() {
  store_.ListPage(prefix_, read_up_to_,
                  [this, generation = generation_](std::error_code error,
                                                   const StoreItems& page) {
                    if (generation == generation_) {
                      OnPage(error, page);
                    }
                  });
}

void EndedJobs::OnPage(std::error_code error, const StoreItems& page) {
  if (error) {
    ++failed_reads_;
    ScheduleRead(options_.retry_pause);
    return;
  }
  ++pages_;
  for (const StoreItem& item : page.items) {
    const auto ended = DecodeEndedJob(item.value);
    if (!ended) {
      ++malformed_;
      continue;
    }
    jobs_.try_emplace(
        item.key.substr(prefix_.size()),
        Entry{ended->finished_at, ended->outcome, ended->withdrawn});
  }
  if (page.more) {
    read_up_to_ = page.items.back().key;
    ScheduleRead(options_.page_pause);
    return;
  }
  complete_ = true;
  log_.Write(malformed_ == 0 ? "info" : "error", "cell",
             "read the archive of ended jobs",
             {{"cell", cell_},
              {"jobs", jobs_.size()},
              {"pages", pages_},
              {"failed_reads", failed_reads_},
              {"malformed", malformed_},
              {"after_ms",
               std::chrono::duration_cast<Millis>(executor_.Now() - opened_at_)
                   .count()}});
}

}  // namespace doorwood
