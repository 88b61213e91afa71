// SPDX-License-Identifier: Apache-2.0

#include "doorwood/entry_settings.h"

#include <algorithm>

namespace doorwood {
namespace {

constexpr Range kGraceMillis{500, 600'000};
constexpr Range kLeaseMillis{1000, 600'000};
constexpr Range kStopMillis{0, 60'000};
constexpr Range kRetentionMillis{1000, 86'400'000};
constexpr Range kHeldSubmissions{0, 1000};
constexpr Range kMemoryMegabytes{1, 4096};
constexpr double kSmallestShare = 0.001;
constexpr double kLargestShare = 1024;
constexpr double kLargestLinkMbps = 1e6;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kLargestSetAsideShare = 0.5;
// Copies leave at least half of the free room for work that arrives meanwhile.
constexpr double kLargestBackupShare = 0.5;
// A run continues for this long without contact from a leader. The lease
// outlasts the detection of a leader's failure (2 s) plus its successor's
// takeover and a short outage of all instances. It also outlasts a network
// partition of a data centre of 6 s, as simulated in deploy/days, if the last
// contact was 1.2 s before the partition and the basis of the lease 0.3 s
// earlier. On a clock that is 2% slow it lasts 8.2 s. What is left until the
// 9 s for which a long-running task may be away goes to the record that the
// worker does not respond, the successor's knowledge of it, and the start.
constexpr Millis kRunLease{8000};
// The same in versions before the leases counted from a `LeaseBasis`.
constexpr Millis kEarlierRunLease{8500};
// Added to the lease of a machine's holder, to cover a machine order that
// completes late.
constexpr Millis kHolderLeaseSlack{500};
// Finished jobs are kept, and can be queried, this much longer than the
// settings promise.
constexpr Millis kRetentionSlack{30'000};

}  // namespace

std::optional<EntrySettings> ParseEntrySettings(std::string_view text,
                                                Problems* problems) {
  EntrySettings settings;
  const YAML::Node root = ParseYamlMap(text, problems);
  if (!problems->empty()) {
    return std::nullopt;
  }
  MapReader reader(root, "", problems);
  const std::pair<std::string_view, std::string*> required_texts[] = {
      {"instance", &settings.instance},
      {"data_centre", &settings.data_centre},
      {"front", &settings.client_address},
      {"ready", &settings.readiness_address},
      {"peer", &settings.peer_address},
      {"metrics", &settings.metrics_address},
      {"store", &settings.store_address}};
  for (const auto& [key, out] : required_texts) {
    reader.Require(key);
    reader.Read(key, out);
  }
  reader.Read("adviser", &settings.adviser_address);
  reader.Read("machines", &settings.machine_service_address);
  reader.Read("log_level", &settings.log_level);
  size_t scope = 0;
  reader.ReadChoice("cell_span", {"everywhere", "data_centre"}, &scope);
  settings.cell_scope =
      scope == 0 ? CellScope::kEverywhere : CellScope::kDataCentre;
  reader.Read("cpu_share", kSmallestShare, kLargestShare, &settings.cpu_share);
  reader.Read("link_mbps", 0, kLargestLinkMbps, &settings.link_mbps);
  reader.Read("grace_ms", kGraceMillis, &settings.shutdown_grace);
  reader.Read("longest_run_lease_ms", kLeaseMillis, &settings.max_run_lease);
  reader.Read("longest_stop_ms", kStopMillis, &settings.longest_stop);
  reader.Read("keep_finished_ms", kRetentionMillis,
              &settings.finished_job_retention);
  reader.Read("machine_holder_lease_ms", kLeaseMillis,
              &settings.machine_holder_lease);
  reader.Read("max_held_submissions", kHeldSubmissions,
              &settings.max_held_submissions);
  reader.Read("client_memory_mb", kMemoryMegabytes, &settings.client_memory_mb);
  reader.Read("peer_memory_mb", kMemoryMegabytes, &settings.peer_memory_mb);
  reader.Read("answer_memory_mb", kMemoryMegabytes, &settings.answer_memory_mb);
  reader.Read("set_aside_share", 0, kLargestSetAsideShare,
              &settings.set_aside_share);
  reader.Read("backup_share", 0, kLargestBackupShare, &settings.backup_share);
  reader.ReportUnknownKeys();
  if (!problems->empty()) {
    return std::nullopt;
  }
  return settings;
}

double LinkRate(const EntrySettings& settings) {
  return settings.link_mbps * kBytesPerMegabit;
}

CellOptions MakeCellOptions(const EntrySettings& settings) {
  CellOptions options;
  if (settings.cell_scope == CellScope::kDataCentre) {
    options.cell = settings.data_centre;
    options.data_centre = settings.data_centre;
  } else {
    options.cell = "all";
  }
  options.sessions.run_lease = std::min(kRunLease, settings.max_run_lease);
  options.sessions.earlier_run_lease =
      std::min(kEarlierRunLease, settings.max_run_lease);
  options.sessions.longest_lease = settings.max_run_lease;
  options.longest_stop = settings.longest_stop;
  options.waves.holder_lease =
      settings.machine_holder_lease + kHolderLeaseSlack;
  options.policy.backups.free_share = settings.backup_share;
  options.finished_job_retention =
      settings.finished_job_retention + kRetentionSlack;
  options.policy.reliability.max_set_aside_share = settings.set_aside_share;
  return options;
}

IngressOptions MakeIngressOptions(const EntrySettings& settings) {
  IngressOptions options;
  options.returns.max_held = static_cast<size_t>(settings.max_held_submissions);
  options.forecast.lease_ttl = LiveOptions{}.lease_ttl;
  return options;
}

}  // namespace doorwood
