// SPDX-License-Identifier: Apache-2.0

#include "doorwood/types.h"

#include <ctime>

namespace doorwood {

BootClock::time_point BootClock::now() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

Resources operator+(const Resources& a, const Resources& b) {
  return {a.cpu_millis + b.cpu_millis, a.memory_mib + b.memory_mib,
          a.accelerators + b.accelerators};
}

Resources operator-(const Resources& a, const Resources& b) {
  return {a.cpu_millis - b.cpu_millis, a.memory_mib - b.memory_mib,
          a.accelerators - b.accelerators};
}

bool Fits(const Resources& requested, const Resources& available) {
  return requested.cpu_millis <= available.cpu_millis &&
         requested.memory_mib <= available.memory_mib &&
         requested.accelerators <= available.accelerators;
}

std::string ToString(const ShardId& shard) {
  return shard.data_centre + "/" + std::to_string(shard.index);
}

std::string ToString(const AttemptId& attempt) {
  return std::to_string(attempt.epoch) + "." + std::to_string(attempt.counter);
}

std::string_view ToString(WorkClass work_class) {
  return work_class == WorkClass::kService ? "service" : "batch";
}

std::string ToString(const TaskId& task) {
  return task.job + "/" + task.name;
}

std::string_view ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kSucceeded:
      return "succeeded";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kStopped:
      return "stopped";
    case AttemptEnd::kNotStarted:
      return "not-started";
    case AttemptEnd::kLost:
      return "lost";
  }
  return "lost";
}

}  // namespace doorwood
