// SPDX-License-Identifier: Apache-2.0

/// \file
/// The archive of a cell's ended jobs: one small record a job, under a prefix
/// that a new leader does not read before it leads. What the reading of the
/// records costs at a takeover then depends on open work alone.

#ifndef DOORWOOD_ENDED_JOBS_H_
#define DOORWOOD_ENDED_JOBS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/job_table.h"
#include "doorwood/record_store.h"
#include "doorwood/types.h"

namespace doorwood {

/// What is kept of a job once its plan and state are removed.
struct EndedJob {
  JobOutcome outcome = JobOutcome::kCompleted;
  /// `Job::reason`.
  std::string reason;
  /// Milliseconds since 1970; 0: not known.
  int64_t finished_at = 0;
  /// No job, but the record that a job which was not known was cancelled; see
  /// `CellJournal::Withdraw`. Earlier versions take it for a cancelled job.
  bool withdrawn = false;
};

/// "doorwood/ended/CELL/"
std::string EndedJobsPrefix(std::string_view cell);
std::string EndedJobKey(std::string_view cell, std::string_view job);
std::string EncodeEndedJob(const EndedJob& job);
/// Empty: the text is not of the form that leaders write.
std::optional<EndedJob> DecodeEndedJob(std::string_view text);

struct EndedJobsOptions {
  /// Time from the begin of a term until the archive is read, so that the first
  /// orders come before it.
  Millis read_delay{300};
  /// Pause between two pages.
  Millis page_pause{50};
  Millis retry_pause{500};
};

/// The archived jobs of the cell that this process leads. `CellJournal` writes
/// and removes their records. Until the archive has been read, single jobs are
/// looked up in the store.
class EndedJobs {
 public:
  /// Empty outcome: the job is not archived, or withdrawn. Errors:
  /// CoreErrc::kNoOwner (the term has ended) or kStoreUnavailable.
  using FindCallback =
      std::function<void(std::error_code, std::optional<JobOutcome>)>;

  EndedJobs(Executor& executor,
            RecordStore& store,
            EventLog& log,
            const EndedJobsOptions& options,
            std::string cell);

  /// Begins a term: forgets all jobs, and reads the archive in the background.
  void Open();
  void Close();
  /// The job's record is stored.
  void Add(const std::string& job, const EndedJob& ended);
  /// The job's record is replaced by an accepted job.
  void Forget(const std::string& job) { jobs_.erase(job); }
  /// Empty: the job is not archived, withdrawn, or not read yet (see
  /// `complete`).
  std::optional<JobOutcome> Find(const std::string& job) const;
  /// False also if the record is not read yet.
  bool IsWithdrawn(const std::string& job) const;
  /// Looks the job up in the store if the archive is not read yet. Otherwise
  /// `done` runs before this call returns.
  void Fetch(const std::string& job, FindCallback done);
  /// Forgets the jobs that finished before `finished_before` and returns them.
  /// Returns none until the archive is read: a job that was removed while the
  /// page with its record was on its way would be added again.
  std::vector<std::string> TakeOld(int64_t finished_before);
  /// All records from before this term are read.
  bool complete() const { return complete_; }
  size_t size() const { return jobs_.size(); }

 private:
  /// Reasons are left in the store.
  struct Entry {
    int64_t finished_at = 0;
    JobOutcome outcome = JobOutcome::kCompleted;
    bool withdrawn = false;
  };

  void ScheduleRead(Millis delay);
  void ReadPage();
  void OnPage(std::error_code error, const StoreItems& page);

  Executor& executor_;
  RecordStore& store_;
  EventLog& log_;
  const EndedJobsOptions options_;
  const std::string cell_;
  const std::string prefix_;

  /// Increases with each `Open` and `Close`; answers from before are dropped.
  uint64_t generation_ = 0;
  bool open_ = false;
  bool complete_ = false;
  Instant opened_at_{};
  /// The last key read.
  std::string read_up_to_;
  size_t pages_ = 0;
  size_t failed_reads_ = 0;
  size_t malformed_ = 0;
  std::unordered_map<std::string, Entry> jobs_;
};

}  // namespace doorwood

#endif  // DOORWOOD_ENDED_JOBS_H_
