// SPDX-License-Identifier: Apache-2.0

// Operators' calls: answered locally, or forwarded to the instance that can
// answer them.

#include <algorithm>

#include "doorwood/error.h"
#include "doorwood/instance.h"
#include "doorwood/manifest.h"

namespace doorwood {
namespace {

constexpr uint32_t kMaxHops = 3;
constexpr int kRetryAfterSeconds = 1;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

OperatorReply MakeReply(const Json& body) {
  return {kOk, body.dump()};
}

int StatusOf(std::error_code error) {
  if (error == make_error_code(CoreErrc::kInvalid)) {
    return kBadRequest;
  }
  if (error == make_error_code(CoreErrc::kNotFound)) {
    return kNotFound;
  }
  if (error == make_error_code(CoreErrc::kConflict)) {
    return kConflict;
  }
  return kUnavailable;
}

OperatorReply MakeErrorReply(std::error_code error,
                             const std::vector<std::string>& problems = {}) {
  const int status = StatusOf(error);
  const bool unknown = error == make_error_code(CoreErrc::kOutcomeUnknown);
  Json body{{"error", error.message()},
            {"outcome", unknown ? "unknown" : "not-done"}};
  if (!problems.empty()) {
    body["problems"] = problems;
  }
  if (status == kUnavailable) {
    body["retry_after"] = kRetryAfterSeconds;
  }
  return {status, body.dump()};
}

// Extracts the shard from a job id, "<data centre>.<shard>.<token>".
std::optional<ShardId> ShardOfJob(const std::string& job) {
  const size_t last = job.rfind('.');
  if (last == std::string::npos || last == 0) {
    return std::nullopt;
  }
  const size_t first = job.rfind('.', last - 1);
  if (first == std::string::npos) {
    return std::nullopt;
  }
  const std::string index = job.substr(first + 1, last - first - 1);
  const bool digits =
      !index.empty() && index.size() <= 4 &&
      index.find_first_not_of("0123456789") == std::string::npos;
  if (!digits) {
    return std::nullopt;
  }
  return ShardId{job.substr(0, first),
                 static_cast<uint32_t>(std::stoul(index))};
}

bool IsValidToken(const std::string& text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
  constexpr size_t kMaxLength = 64;
  return !text.empty() && text.size() <= kMaxLength &&
         text.find_first_not_of(kAllowed) == std::string::npos;
}

std::string ToHex(uint64_t number) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(number >> shift) & 0xf];
  }
  return text;
}

}  // namespace

void Instance::HandleOperatorCall(const OperatorCall& call, OperatorDone done) {
  const auto body = ParseJson(call.body.empty() ? "{}" : call.body);
  if (!body || !body->is_object()) {
    done(MakeErrorReply(CoreErrc::kInvalid, {"the body is not a JSON object"}));
    return;
  }
  try {
    if (call.method == "submit") {
      HandleSubmitCall(*body, call, done);
    } else if (call.method == "job.show" || call.method == "job.cancel" ||
               call.method == "explain") {
      HandleJobCall(*body, call, done);
    } else if (call.method == "claim" || call.method == "unclaim") {
      HandleKeyCall(*body, call, done);
    } else if (call.method == "jobs") {
      HandleJobsCall(*body, call, done);
    } else if (call.method == "config.apply") {
      HandleConfigApplyCall(*body, done);
    } else if (call.method == "config.get") {
      HandleConfigGetCall(done);
    } else if (call.method == "config.history") {
      done(MakeReply({{"revisions", config_->RevisionHistory()}}));
    } else if (call.method == "workers") {
      HandleWorkersCall(call, done);
    } else if (call.method == "drain") {
      HandleDrainCall(*body, done);
    } else if (call.method == "status") {
      HandleStatusCall(done);
    } else if (call.method == "burn") {
      HandleBurnCall(call, done);
    } else {
      done(MakeErrorReply(CoreErrc::kNotFound));
    }
  } catch (const Json::exception&) {
    done(MakeErrorReply(CoreErrc::kInvalid,
                        {"a field of the body has the wrong type"}));
  }
}

// --- Jobs ---

void Instance::HandleSubmitCall(const Json& body,
                                const OperatorCall& call,
                                OperatorDone done) {
  if (body.contains("job")) {
    const auto shard = ShardOfJob(body["job"].value("id", ""));
    if (!shard) {
      done(MakeErrorReply(CoreErrc::kInvalid, {"the job's id is malformed"}));
      return;
    }
    ForwardToOwner(*shard, call, done);
    return;
  }
  Problems problems(body.value("file", "manifest"));
  auto job = ParseManifest(body.value("manifest", ""), &problems);
  if (!job) {
    done(MakeErrorReply(CoreErrc::kInvalid, problems.lines()));
    return;
  }
  const bool unknown_member =
      FindMember(config_->configuration(), job->member) == nullptr;
  if (unknown_member) {
    done(MakeErrorReply(CoreErrc::kInvalid,
                        {"member: '" + job->member +
                         "' is not in the configuration in force (revision " +
                         std::to_string(config_->revision()) + ")"}));
    return;
  }
  const std::string token = body.value("token", ToHex(executor_.Random()));
  if (!IsValidToken(token)) {
    done(
        MakeErrorReply(CoreErrc::kInvalid,
                       {"token: must be 1 to 64 letters, digits, '-' or '_'"}));
    return;
  }
  if (job->home.empty()) {
    job->home = options_.self.data_centre;
  }
  const ShardId shard{job->home,
                      ShardIndexOf(job->member, options_.shard_count)};
  job->id = shard.data_centre + "." + std::to_string(shard.index) + "." + token;
  ForwardToOwner(shard, {call.method, Json{{"job", *job}}.dump(), call.hops},
                 done);
}

void Instance::HandleJobCall(const Json& body,
                             const OperatorCall& call,
                             OperatorDone done) {
  const auto shard = ShardOfJob(body.value("id", ""));
  if (!shard) {
    done(MakeErrorReply(CoreErrc::kNotFound));
    return;
  }
  ForwardToOwner(*shard, call, done);
}

void Instance::HandleKeyCall(const Json& body,
                             const OperatorCall& call,
                             OperatorDone done) {
  const std::string key = body.value("key", "");
  ForwardToOwner(
      {options_.self.data_centre, ShardIndexOf(key, options_.shard_count)},
      call, done);
}

void Instance::AnswerAsOwner(ShardOwner& owner,
                             const OperatorCall& call,
                             const Json& body,
                             OperatorDone done) {
  const auto finish = [done](const Json& success_body) {
    return [done, success_body](std::error_code error) {
      done(error ? MakeErrorReply(error) : MakeReply(success_body));
    };
  };
  const std::string id = body.value("id", "");
  if (call.method == "submit") {
    const auto job = body.at("job").get<JobSpec>();
    owner.Submit(job, finish({{"id", job.id}, {"home", job.home}}));
  } else if (call.method == "job.cancel") {
    owner.Cancel(id, finish({{"id", id}, {"cancelled", true}}));
  } else if (call.method == "claim") {
    owner.ClaimIdempotencyKey(body.value("key", ""), body.value("request", ""),
                              finish(Json::object()));
  } else if (call.method == "unclaim") {
    owner.ReleaseIdempotencyKey(body.value("key", ""),
                                body.value("request", ""));
    done(MakeReply(Json::object()));
  } else if (call.method == "explain") {
    Json records = Json::array();
    for (const DecisionRecord& record :
         owner.Explain({id, body.value("task", "")})) {
      records.push_back({{"at_ms", record.at_ms},
                         {"what", record.what},
                         {"detail", record.detail}});
    }
    done(records.empty() ? MakeErrorReply(CoreErrc::kNotFound)
                         : MakeReply({{"records", std::move(records)}}));
  } else {
    const Json job = owner.JobJson(id);
    done(job.is_null() ? MakeErrorReply(CoreErrc::kNotFound) : MakeReply(job));
  }
}

void Instance::HandleJobsCall(const Json& body,
                              const OperatorCall& call,
                              OperatorDone done) {
  Json own = Json::array();
  for (const auto& [shard, ownership] : shards_) {
    if (ownership.active) {
      for (Json& job : ownership.owner->JobsJson(body.value("member", ""))) {
        own.push_back(std::move(job));
      }
    }
  }
  GatherFromPeers(call, std::move(own), std::move(done));
}

// --- Configuration ---

void Instance::HandleConfigApplyCall(const Json& body, OperatorDone done) {
  ConfigChange change;
  change.text = body.value("text", "");
  change.author = body.value("author", "");
  change.operation = body.value("operation", ToHex(executor_.Random()));
  if (body.contains("base")) {
    change.base = body["base"].get<uint64_t>();
  }
  config_->Apply(change, [done](const ConfigOutcome& outcome) {
    if (outcome.error) {
      done(MakeErrorReply(outcome.error, outcome.problems));
      return;
    }
    done(MakeReply({{"revision", outcome.revision}}));
  });
}

void Instance::HandleConfigGetCall(OperatorDone done) {
  done(MakeReply(
      {{"revision", config_->revision()}, {"text", config_->text()}}));
}

// --- Workers and status ---

void Instance::HandleWorkersCall(const OperatorCall& call, OperatorDone done) {
  Json own = Json::array();
  for (const HeldWorkerStatus& row : holder_.DescribeHeldWorkers()) {
    own.push_back({{"worker", row.worker},
                   {"holder", options_.self.id},
                   {"state", row.state},
                   {"epoch", row.epoch},
                   {"capacity", row.capacity},
                   {"free", row.free},
                   {"attempts", row.attempts},
                   {"drained", row.drained}});
  }
  GatherFromPeers(call, std::move(own), std::move(done));
}

void Instance::HandleDrainCall(const Json& body, OperatorDone done) {
  const std::string worker = body.value("worker", "");
  const auto& list = membership_.list();
  const bool known =
      std::any_of(list.begin(), list.end(), [&](const InstanceInfo& info) {
        return info.role == InstanceRole::kWorker && info.id == worker;
      });
  if (!known) {
    done(MakeErrorReply(CoreErrc::kNotFound, {"no worker '" + worker + "'"}));
    return;
  }
  const bool drained = body.value("drained", true);
  config_->SetDrained(
      worker, drained, [done, worker, drained](std::error_code error) {
        done(error ? MakeErrorReply(error)
                   : MakeReply({{"worker", worker}, {"drained", drained}}));
      });
}

void Instance::HandleStatusCall(OperatorDone done) {
  const auto state = [](const Heartbeat& heartbeat) {
    Json shards = Json::array();
    for (const OwnedShard& owned : heartbeat.shards) {
      shards.push_back(ToString(owned.shard));
    }
    return Json{{"instance", heartbeat.instance},
                {"data_centre", heartbeat.data_centre},
                {"leaving", heartbeat.leaving},
                {"revision", heartbeat.config_revision},
                {"lowest_revision", heartbeat.lowest_revision},
                {"workers", heartbeat.workers},
                {"shards", std::move(shards)}};
  };
  Json instances = Json::array();
  instances.push_back(state(MakeHeartbeat()));
  for (const auto& [id, peer] : membership_.peers()) {
    instances.push_back(state(peer.heartbeat));
  }
  const Millis registered = std::chrono::duration_cast<Millis>(
      registration_valid_until_ - executor_.Now());
  done(MakeReply({{"instance", options_.self.id},
                  {"data_centre", options_.self.data_centre},
                  {"revision", config_->revision()},
                  {"store_reachable", registered.count() > 0},
                  {"list_known", membership_.list_received()},
                  {"instances", std::move(instances)}}));
}

void Instance::HandleBurnCall(const OperatorCall& call, OperatorDone done) {
  GatherFromPeers(call, routes_.BurnRates(), std::move(done));
}

// --- Idempotency keys ---

void Instance::ClaimIdempotencyKey(const std::string& key,
                                   const std::string& request,
                                   std::function<void(ClaimOutcome)> done) {
  const Json body{{"key", key}, {"request", request}};
  HandleOperatorCall(
      {"claim", body.dump()}, [done](const OperatorReply& reply) {
        if (reply.status == kOk) {
          done(ClaimOutcome::kClaimed);
          return;
        }
        if (reply.status == kConflict) {
          done(ClaimOutcome::kAlreadyUsed);
          return;
        }
        const auto json = ParseJson(reply.body);
        const bool unknown = !json || json->value("outcome", "") == "unknown";
        done(unknown ? ClaimOutcome::kUnknown : ClaimOutcome::kNotRecorded);
      });
}

void Instance::ReleaseIdempotencyKey(const std::string& key,
                                     const std::string& request) {
  const Json body{{"key", key}, {"request", request}};
  HandleOperatorCall({"unclaim", body.dump()}, [](const OperatorReply&) {});
}

// --- Forwarding calls ---

void Instance::ForwardToOwner(const ShardId& shard,
                              const OperatorCall& call,
                              OperatorDone done) {
  if (shard.data_centre != options_.self.data_centre) {
    ForwardToDataCentre(shard.data_centre, call, done);
    return;
  }
  if (ShardOwner* owner = ActiveOwner(shard)) {
    AnswerAsOwner(*owner, call, Json::parse(call.body), done);
    return;
  }
  const std::string owner = FindOwningPeer(shard);
  if (owner.empty()) {
    done(MakeErrorReply(CoreErrc::kNoOwner));
    return;
  }
  ForwardToInstance(owner, call, done);
}

void Instance::ForwardToDataCentre(const std::string& data_centre,
                                   const OperatorCall& call,
                                   OperatorDone done) {
  const std::vector<InstanceInfo> instances =
      membership_.EntryInstancesOf(data_centre);
  if (instances.empty()) {
    done(MakeErrorReply(
        CoreErrc::kNotFound,
        {"no entry instance of data centre '" + data_centre + "' is known"}));
    return;
  }
  ForwardToInstance(instances.front().id, call, done);
}

void Instance::ForwardToInstance(const std::string& instance,
                                 const OperatorCall& call,
                                 OperatorDone done) {
  if (call.hops >= kMaxHops) {
    done(MakeErrorReply(CoreErrc::kNoOwner));
    return;
  }
  OperatorCall forwarded = call;
  ++forwarded.hops;
  CallInstance(instance, forwarded, options_.call_timeout,
               [done](std::error_code error, const PeerReply& reply) {
                 const auto* answer = std::get_if<OperatorReply>(&reply);
                 if (!error && answer != nullptr) {
                   done(*answer);
                   return;
                 }
                 const bool sent = error != make_error_code(PeerErrc::kNotSent);
                 done(MakeErrorReply(sent ? CoreErrc::kOutcomeUnknown
                                          : CoreErrc::kNoOwner));
               });
}

void Instance::GatherFromPeers(const OperatorCall& call,
                               Json own,
                               OperatorDone done) {
  struct Progress {
    size_t pending = 1;
    Json rows;
    std::vector<std::string> unanswered;
  };
  auto progress = std::make_shared<Progress>();
  progress->rows = std::move(own);
  const auto finish = [progress, done]() {
    if (--progress->pending == 0) {
      done(MakeReply(
          {{"rows", progress->rows}, {"silent", progress->unanswered}}));
    }
  };
  if (call.hops == 0) {
    OperatorCall forwarded = call;
    forwarded.hops = kMaxHops;
    for (const auto& [id, peer] : membership_.peers()) {
      if (peer.heartbeat.data_centre != options_.self.data_centre) {
        continue;
      }
      ++progress->pending;
      CallInstance(id, forwarded, options_.call_timeout,
                   [progress, finish, id = id](std::error_code error,
                                               const PeerReply& reply) {
                     const auto* answer = std::get_if<OperatorReply>(&reply);
                     const auto json = !error && answer != nullptr
                                           ? ParseJson(answer->body)
                                           : std::nullopt;
                     if (!json || !json->contains("rows")) {
                       progress->unanswered.push_back(id);
                     } else {
                       for (const Json& row : (*json)["rows"]) {
                         progress->rows.push_back(row);
                       }
                     }
                     finish();
                   });
    }
  }
  finish();
}

}  // namespace doorwood
