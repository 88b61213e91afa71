// SPDX-License-Identifier: Apache-2.0

#include "doorwood/config_keeper.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "doorwood/error.h"
#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr const char* kPrefix = "config/";
constexpr const char* kCurrentKey = "config/current";
constexpr const char* kDrainedKey = "config/drained";
constexpr size_t kMaxHistory = 10;
// A value of the key-value service holds at most 1 MB, and the stored value
// contains the history as well as the current text.
constexpr size_t kMaxTextBytes = 64 * 1024;
constexpr int kMaxTries = 5;

// Throws `FieldError` if the fields of a revision do not have the types that
// instances write.
void CheckRevision(const Json& revision) {
  if (!revision.is_object()) {
    throw FieldError("history");
  }
  ReadIntegerOr(revision, "revision", 0);
  for (const char* field : {"operation", "author", "text"}) {
    ReadStringOrEmpty(revision, field);
  }
}

// Returns the stored revision with its history. Any program may have written
// the value; returns nothing if it is not of the form that instances write.
std::optional<Json> ParseStored(std::string_view value) {
  return DecodeObject(value, [](const Json& json) {
    CheckRevision(json);
    for (const Json& earlier : ReadListOrEmpty(json, "history")) {
      CheckRevision(earlier);
    }
    return json;
  });
}

// Returns nothing if the value is not a list of names.
std::optional<std::set<std::string>> ParseDrained(std::string_view value) {
  const auto json = ParseJson(value);
  if (!json || !json->is_array()) {
    return std::nullopt;
  }
  std::set<std::string> drained;
  for (const Json& worker : *json) {
    if (!worker.is_string()) {
      return std::nullopt;
    }
    drained.insert(worker.get<std::string>());
  }
  return drained;
}

uint64_t RevisionOf(const Json& stored) {
  return stored.value("revision", uint64_t{0});
}

// Returns the revision that an operation created, or 0 if neither the stored
// value nor its history contains the operation.
uint64_t RevisionOfOperation(const Json& stored, const std::string& operation) {
  if (stored.value("operation", "") == operation) {
    return RevisionOf(stored);
  }
  for (const Json& earlier : stored.value("history", Json::array())) {
    if (earlier.value("operation", "") == operation) {
      return RevisionOf(earlier);
    }
  }
  return 0;
}

// Returns the stored value that replaces `before` when `change` is applied.
Json MakeNextValue(const Json& before, const ConfigChange& change) {
  Json history = before.value("history", Json::array());
  if (RevisionOf(before) > 0) {
    Json earlier = before;
    earlier.erase("history");
    history.insert(history.begin(), earlier);
  }
  while (history.size() > kMaxHistory) {
    history.erase(history.size() - 1);
  }
  return Json{{"revision", RevisionOf(before) + 1},
              {"operation", change.operation},
              {"author", change.author},
              {"text", change.text},
              {"history", std::move(history)}};
}

}  // namespace

ConfigKeeper::ConfigKeeper(const ConfigKeeperOptions& options,
                           Executor& executor,
                           KvStore& kv,
                           OnChange on_change)
    : options_(options),
      executor_(executor),
      kv_(kv),
      on_change_(std::move(on_change)),
      retry_pause_(options.min_watch_retry),
      configuration_(std::make_shared<Configuration>()) {}

// --- Adopting revisions ---

void ConfigKeeper::Start() {
  // The first read lists all current keys without waiting for a change.
  kv_.List(kPrefix, [self = shared_from_this()](std::error_code error,
                                                std::vector<KvEntry> entries) {
    self->OnWatched(error, entries);
  });
}

void ConfigKeeper::Stop() {
  stopped_ = true;
}

void ConfigKeeper::Watch() {
  if (stopped_) {
    return;
  }
  kv_.Watch(kPrefix, watched_version_,
            [self = shared_from_this()](std::error_code error,
                                        std::vector<KvEntry> entries) {
              self->OnWatched(error, entries);
            });
}

void ConfigKeeper::OnWatched(std::error_code error,
                             const std::vector<KvEntry>& entries) {
  if (error) {
    const auto half = static_cast<uint64_t>(retry_pause_.count() / 2 + 1);
    const Millis pause =
        retry_pause_ / 2 +
        Millis(static_cast<int64_t>(executor_.Random() % half));
    retry_pause_ = std::min(retry_pause_ * 2, options_.max_watch_retry);
    executor_.Schedule(pause, [self = shared_from_this()]() { self->Watch(); });
    return;
  }
  retry_pause_ = options_.min_watch_retry;
  for (const KvEntry& entry : entries) {
    watched_version_ = std::max(watched_version_, entry.version);
    if (entry.key == kCurrentKey) {
      AdoptIfNewer(entry.value);
    } else if (entry.key == kDrainedKey) {
      AdoptDrained(entry.value, entry.version);
    }
  }
  Watch();
}

void ConfigKeeper::AdoptIfNewer(const std::string& value) {
  const auto stored = ParseStored(value);
  if (!stored || RevisionOf(*stored) <= revision_) {
    return;
  }
  const std::string text = stored->value("text", "");
  Problems problems("configuration");
  auto parsed = ParseConfiguration(text, &problems);
  if (!parsed) {
    // The text was validated before it was stored, but possibly by a newer
    // software version. A version that cannot parse it keeps its current
    // configuration.
    return;
  }
  revision_ = RevisionOf(*stored);
  text_ = text;
  value_ = value;
  configuration_ = std::make_shared<Configuration>(std::move(*parsed));
  on_change_();
}

void ConfigKeeper::AdoptDrained(const std::string& value, int64_t version) {
  auto drained = ParseDrained(value);
  if (!drained || version <= drained_version_) {
    return;
  }
  drained_version_ = version;
  if (*drained != drained_) {
    drained_ = std::move(*drained);
    on_change_();
  }
}

Json ConfigKeeper::RevisionHistory() const {
  const auto stored = ParseJson(value_);
  if (!stored) {
    return Json::array();
  }
  Json history = stored->value("history", Json::array());
  Json current = *stored;
  current.erase("history");
  history.insert(history.begin(), current);
  return history;
}

// --- Changes ---

void ConfigKeeper::Apply(const ConfigChange& change,
                         std::function<void(ConfigOutcome)> done) {
  Problems problems("configuration");
  if (change.text.size() > kMaxTextBytes) {
    problems.Add(YAML::Mark::null_mark(), "",
                 "is longer than " + std::to_string(kMaxTextBytes) + " bytes");
  } else {
    ParseConfiguration(change.text, &problems);
  }
  if (!problems.empty()) {
    done({CoreErrc::kInvalid, revision_, problems.lines()});
    return;
  }
  TryApply(change, kMaxTries, std::move(done));
}

void ConfigKeeper::TryApply(const ConfigChange& change,
                            int tries_left,
                            std::function<void(ConfigOutcome)> done) {
  kv_.Read(kCurrentKey, [self = shared_from_this(), change, tries_left, done](
                            std::error_code error, const KvEntry& entry) {
    if (error && error != KvErrc::kNotFound) {
      // A failed read has no effect, so even an unknown outcome is reported as
      // unavailable.
      done({CoreErrc::kStoreUnavailable, self->revision_, {}});
      return;
    }
    self->WriteChange(change, entry, tries_left, done);
  });
}

void ConfigKeeper::WriteChange(const ConfigChange& change,
                               const KvEntry& entry,
                               int tries_left,
                               std::function<void(ConfigOutcome)> done) {
  const Json before = ParseStored(entry.value).value_or(Json::object());
  const uint64_t created_revision =
      RevisionOfOperation(before, change.operation);
  if (created_revision != 0) {
    AdoptIfNewer(entry.value);
    done({std::error_code(), created_revision, {}});
    return;
  }
  const uint64_t newest = RevisionOf(before);
  const bool store_is_older = newest < revision_;
  const bool base_differs = change.base && *change.base != newest;
  if (store_is_older || base_differs) {
    done({CoreErrc::kConflict, newest, {}});
    return;
  }
  const Json next = MakeNextValue(before, change);
  const KvWrite write{.key = kCurrentKey,
                      .value = next.dump(),
                      .expected_version = entry.version,
                      .priority = KvPriority::kConfig};
  kv_.Write(write, [self = shared_from_this(), change, tries_left, done,
                    value = write.value,
                    revision = newest + 1](std::error_code error, int64_t) {
    if (!error) {
      self->AdoptIfNewer(value);
      done({std::error_code(), revision, {}});
      return;
    }
    if (error == KvErrc::kUnknown) {
      self->ConfirmChange(change, done);
      return;
    }
    if (error == KvErrc::kConflict && tries_left > 1) {
      self->TryApply(change, tries_left - 1, done);
      return;
    }
    done({ToCoreError(error), self->revision_, {}});
  });
}

// Called when the answer to a write was lost: reads the value back to determine
// whether the write took effect.
void ConfigKeeper::ConfirmChange(const ConfigChange& change,
                                 std::function<void(ConfigOutcome)> done) {
  kv_.Read(kCurrentKey, [self = shared_from_this(), change, done](
                            std::error_code error, const KvEntry& entry) {
    const auto stored = error ? std::nullopt : ParseStored(entry.value);
    const uint64_t created_revision =
        stored ? RevisionOfOperation(*stored, change.operation) : 0;
    if (created_revision == 0) {
      // The write may still take effect later, so the outcome is unknown.
      done({CoreErrc::kOutcomeUnknown, self->revision_, {}});
      return;
    }
    self->AdoptIfNewer(entry.value);
    done({std::error_code(), created_revision, {}});
  });
}

void ConfigKeeper::SetDrained(const std::string& worker,
                              bool drained,
                              std::function<void(std::error_code)> done) {
  kv_.Read(kDrainedKey, [self = shared_from_this(), worker, drained, done](
                            std::error_code error, const KvEntry& entry) {
    if (error && error != KvErrc::kNotFound) {
      done(CoreErrc::kStoreUnavailable);
      return;
    }
    // If the value is invalid, the workers that are drained here remain so.
    auto workers = error ? std::set<std::string>()
                         : ParseDrained(entry.value).value_or(self->drained_);
    if (drained) {
      workers.insert(worker);
    } else {
      workers.erase(worker);
    }
    const KvWrite write{.key = kDrainedKey,
                        .value = Json(workers).dump(),
                        .expected_version = entry.version,
                        .priority = KvPriority::kConfig};
    self->kv_.Write(write, [self, value = write.value, done](
                               std::error_code write_error, int64_t version) {
      if (!write_error) {
        self->AdoptDrained(value, version);
      }
      done(write_error ? ToCoreError(write_error) : std::error_code());
    });
  });
}

}  // namespace doorwood
