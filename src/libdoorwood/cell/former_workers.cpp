// SPDX-License-Identifier: Apache-2.0

#include "doorwood/former_workers.h"

#include <set>

#include "doorwood/earlier_life_fence.h"

namespace doorwood {
namespace {

constexpr Millis kLatestExecution = EarlierLifeFence::kLatestExecution;

}  // namespace

void FormerWorkers::NoteRemoved(std::string_view id,
                                uint64_t token,
                                Instant now) {
  std::erase_if(removed_, [now](const auto& entry) {
    return now - entry.second.at >= kLatestExecution;
  });
  removed_[std::string(id)] = {token, now};
}

std::optional<uint64_t> FormerWorkers::LatestToken(std::string_view id,
                                                   Instant now) const {
  const auto found = removed_.find(id);
  if (found == removed_.end() || now - found->second.at >= kLatestExecution) {
    return std::nullopt;
  }
  return found->second.token;
}

void FormerWorkers::NoteReplaced(const WorkerIncarnation& incarnation) {
  replaced_[incarnation.id] = incarnation;
}

bool FormerWorkers::IsReplaced(const WorkerIncarnation& entry) const {
  const auto found = replaced_.find(entry.id);
  return found != replaced_.end() && found->second.address == entry.address &&
         found->second.started_at >= entry.started_at;
}

void FormerWorkers::ForgetUnlisted(std::span<const WorkerIncarnation> listed) {
  if (replaced_.empty()) {
    return;
  }
  std::set<std::string_view> ids;
  for (const WorkerIncarnation& incarnation : listed) {
    ids.insert(incarnation.id);
  }
  std::erase_if(replaced_, [&ids](const auto& entry) {
    return !ids.contains(entry.first);
  });
}

void FormerWorkers::Clear() {
  removed_.clear();
  replaced_.clear();
}

}  // namespace doorwood
