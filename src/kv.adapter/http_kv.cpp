// SPDX-License-Identifier: Apache-2.0

#include "kv.adapter/http_kv.h"

#include "doorwood/error.h"

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
  return {json.value("key", ""), json.value("value", ""),
          json.value("version", int64_t{0})};
}

std::vector<KvEntry> EntriesOf(const Json& json) {
  std::vector<KvEntry> entries;
  for (const Json& item : json.value("entries", Json::array())) {
    entries.push_back(EntryOf(item));
  }
  return entries;
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
        [done, key](std::error_code error, const Json& json) {
          done(error, error ? KvEntry{.key = key} : EntryOf(json));
        });
}

void HttpKv::List(const std::string& prefix,
                  Callback<std::vector<KvEntry>> done) {
  Start(calls_, "/kv/list", {{"prefix", prefix}}, options_.call_timeout,
        /*mutates=*/false, [done](std::error_code error, const Json& json) {
          done(error, error ? std::vector<KvEntry>() : EntriesOf(json));
        });
}

void HttpKv::Write(const KvWrite& write, Callback<int64_t> done) {
  Start(calls_, "/kv/write",
        {{"key", write.key},
         {"value", write.value},
         {"expected_version", write.expected_version},
         {"lease", write.lease}},
        options_.call_timeout, /*mutates=*/true,
        [done](std::error_code error, const Json& json) {
          done(error, error ? 0 : json.value("version", int64_t{0}));
        });
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
        [done](std::error_code error, const Json& json) {
          done(error, error ? 0 : json.value("lease", int64_t{0}));
        });
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
        [done](std::error_code error, const Json& json) {
          done(error, error ? std::vector<KvEntry>() : EntriesOf(json));
        });
}

}  // namespace doorwood
