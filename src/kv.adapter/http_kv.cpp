// SPDX-License-Identifier: Apache-2.0

#include "kv.adapter/http_kv.h"

#include <exception>
#include <utility>

#include "doorwood/error.h"
#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Maps the result of a call to an error. A call that does not change the store
// has no effect, whatever its outcome, so its failure is never kUnknown.
std::error_code ErrorOf(const CallAnswer& answer, bool mutates) {
  if (answer.outcome == CallOutcome::kNotSent) {
    return KvErrc::kUnavailable;
  }
  const std::error_code ambiguous =
      mutates ? KvErrc::kUnknown : KvErrc::kUnavailable;
  if (answer.outcome == CallOutcome::kNoAnswer) {
    return ambiguous;
  }
  switch (answer.status) {
    case kOk:
      return answer.body.is_object() ? std::error_code() : ambiguous;
    case kNotFound:
      return KvErrc::kNotFound;
    case kConflict:
      return KvErrc::kConflict;
    case kUnavailable:
      return KvErrc::kUnavailable;
    default:
      return ambiguous;
  }
}

KvEntry EntryOf(const Json& json) {
  if (!json.is_object()) {
    throw FieldError("entries");
  }
  return {ReadStringOrEmpty(json, "key"), ReadStringOrEmpty(json, "value"),
          ReadIntegerOr(json, "version", 0, kIdentifierRange)};
}

std::vector<KvEntry> EntriesOf(const Json& json) {
  std::vector<KvEntry> entries;
  for (const Json& item : ReadListOrEmpty(json, "entries")) {
    entries.push_back(EntryOf(item));
  }
  return entries;
}

int64_t VersionOf(const Json& json) {
  return ReadIntegerOr(json, "version", 0, kIdentifierRange);
}

int64_t LeaseOf(const Json& json) {
  return ReadIntegerOr(json, "lease", 0, kIdentifierRange);
}

// Passes what `decode` returns for the answer to `done`. An answer that it
// rejects is reported as `invalid`; a part of it is not used, since the keys
// that are missing would count as absent.
template <typename T>
auto Decoded(KvStore::Callback<T> done,
             KvErrc invalid,
             T (*decode)(const Json&)) {
  return [done = std::move(done), invalid, decode](std::error_code error,
                                                   const Json& json) {
    T value{};
    try {
      value = error ? T{} : decode(json);
    } catch (const std::exception&) {
      error = invalid;
    }
    done(error, std::move(value));
  };
}

}  // namespace

HttpKv::HttpKv(const HttpKvOptions& options, Executor& executor)
    : options_(options),
      executor_(executor),
      caller_(options.connect_timeout, options.call_timeout),
      calls_(options.threads) {}

HttpKv::~HttpKv() {
  // A watch may block for a long time, so the calls in progress are cancelled
  // before the threads are joined.
  caller_.Stop();
  calls_.Stop();
  watches_.Stop();
}

void HttpKv::Start(BlockingPool& pool,
                   const std::string& path,
                   Json body,
                   Millis wait,
                   bool mutates,
                   Finish finish) {
  pool.Run([this, path, body = std::move(body), wait, mutates,
            finish = std::move(finish)]() {
    CallAnswer answer =
        caller_.PostWithTimeout(options_.address, path, body, wait);
    const std::error_code error = ErrorOf(answer, mutates);
    executor_.Post([finish, error, json = std::move(answer.body)]() {
      finish(error, json);
    });
  });
}

void HttpKv::Read(const std::string& key, Callback<KvEntry> done) {
  Start(calls_, "/kv/read", {{"key", key}}, options_.call_timeout,
        /*mutates=*/false,
        Decoded<KvEntry>(
            [done, key](std::error_code error, const KvEntry& entry) {
              done(error, error ? KvEntry{.key = key} : entry);
            },
            KvErrc::kUnavailable, EntryOf));
}

void HttpKv::List(const std::string& prefix,
                  Callback<std::vector<KvEntry>> done) {
  Start(calls_, "/kv/list", {{"prefix", prefix}}, options_.call_timeout,
        /*mutates=*/false,
        Decoded(std::move(done), KvErrc::kUnavailable, EntriesOf));
}

void HttpKv::Write(const KvWrite& write, Callback<int64_t> done) {
  Start(calls_, "/kv/write",
        {{"key", write.key},
         {"value", write.value},
         {"expected_version", write.expected_version},
         {"lease", write.lease}},
        options_.call_timeout, /*mutates=*/true,
        Decoded(std::move(done), KvErrc::kUnknown, VersionOf));
}

void HttpKv::Remove(const std::string& key,
                    int64_t expected_version,
                    Callback<int64_t> done) {
  Start(calls_, "/kv/remove",
        {{"key", key}, {"expected_version", expected_version}},
        options_.call_timeout, /*mutates=*/true,
        [done](std::error_code error, const Json&) { done(error, 0); });
}

void HttpKv::GrantLease(Millis lifetime, Callback<int64_t> done) {
  Start(calls_, "/kv/grant", {{"lifetime_ms", lifetime.count()}},
        options_.call_timeout, /*mutates=*/true,
        Decoded(std::move(done), KvErrc::kUnknown, LeaseOf));
}

void HttpKv::RenewLease(int64_t lease, Callback<int64_t> done) {
  Start(calls_, "/kv/renew", {{"lease", lease}}, options_.call_timeout,
        /*mutates=*/true,
        [done](std::error_code error, const Json&) { done(error, 0); });
}

void HttpKv::Watch(const std::string& prefix,
                   int64_t after,
                   Callback<std::vector<KvEntry>> done) {
  Start(watches_, "/kv/watch",
        {{"prefix", prefix},
         {"after", after},
         {"wait_ms", options_.watch_wait.count()}},
        options_.watch_wait + options_.call_timeout, /*mutates=*/false,
        Decoded(std::move(done), KvErrc::kUnavailable, EntriesOf));
}

}  // namespace doorwood
