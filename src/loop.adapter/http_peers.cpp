// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_peers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

// Recording a job may take long if the store is slow; callers wait about 3 s.
constexpr Millis kSubmitTimeout{2400};
// A leader answers within this time, with a refusal if it could not record the
// change. After it, the call is sent again on a new connection; the leader
// recognizes the job by its id.
constexpr Millis kSubmitFirstByteTimeout{1500};
constexpr Millis kStateTimeout{800};
constexpr Millis kSummaryTimeout{1000};
// An instance is expected to answer a call that waits for nothing within this
// time. After it, the call is sent again on a new connection.
constexpr Millis kFirstByteTimeout{400};

constexpr std::array<std::pair<CoreErrc, int>, 5> kStatusOfError = {
    {{CoreErrc::kNoOwner, 409},
     {CoreErrc::kStoreUnavailable, 503},
     {CoreErrc::kOutcomeUnknown, 504},
     {CoreErrc::kNotFound, 404},
     {CoreErrc::kNoCapacity, 429}}};
constexpr int kOk = 200;
constexpr char kStoreAnswerPath[] = "/store-heard";
constexpr char kUnrecordedStartsPath[] = "/unrecorded-starts";
constexpr char kQueueTablePath[] = "/queue-table";
// The queue table may be long; its time limit as that of other answers.
constexpr Millis kMaxTableDuration{8000};
// Version of the queue table by which a job was taken.
constexpr std::string_view kVersionHeader = "Queue-Table-Version";
// JobPlan::known_revision.
constexpr std::string_view kRevisionHeader = "Known-Revision";
constexpr std::string_view kHandOverPath = "/hand-over/";
// Query of a call for a summary that waits while the leader reads its records,
// followed by the longest wait in milliseconds.
constexpr std::string_view kWaitQuery = "wait_ms=";
constexpr Millis kMaxWait{5000};
constexpr Millis kWaitCheckInterval{20};
constexpr int kBadRequest = 400;

constexpr std::array<JobPhase, 5> kJobPhases = {
    JobPhase::kQueued, JobPhase::kRunning, JobPhase::kCompleted,
    JobPhase::kFailed, JobPhase::kCancelled};

int StatusOf(std::error_code error) {
  for (const auto& [errc, status] : kStatusOfError) {
    if (error == make_error_code(errc)) {
      return status;
    }
  }
  return kBadRequest;
}

std::error_code ErrorOf(int status) {
  if (status == kOk) {
    return {};
  }
  for (const auto& [errc, known] : kStatusOfError) {
    if (status == known) {
      return errc;
    }
  }
  return CoreErrc::kInvalid;
}

// Error of a call that changes state. If the call was sent twice, the first
// request may have been carried out or may still be, so a refusal of the second
// does not mean that nothing was changed; the result is kNoAnswer.
std::error_code ErrorOfChange(std::error_code transport,
                              const HttpReply& reply) {
  if (transport) {
    return transport;
  }
  const std::error_code error = ErrorOf(reply.status);
  if (error && reply.sent_before) {
    return PeerErrc::kNoAnswer;
  }
  return error;
}

// "/cell/CELL" or "/cell/CELL/JOB".
std::string CellPath(const CellLead& lead, std::string_view job) {
  std::string target = "/cell/" + lead.cell;
  if (!job.empty()) {
    target += '/';
    target += job;
  }
  return target;
}

HttpCall Call(const CellLead& lead,
              std::string method,
              std::string_view job,
              Millis timeout) {
  HttpCall call;
  call.address = lead.address;
  call.method = std::move(method);
  call.target = CellPath(lead, job);
  call.timeout = timeout;
  return call;
}

// Sets the time limits of a call that the other instance answers at once.
void ExpectAnswerAtOnce(HttpCall* call) {
  call->timeout = kSummaryTimeout;
  call->first_byte_timeout = kFirstByteTimeout;
}

Json EncodeSummary(const CellSummary& summary) {
  return {
      {"cell", summary.cell},        {"epoch", summary.epoch},
      {"pending", summary.pending},  {"waiting_work", summary.waiting_work},
      {"cores", summary.cores},      {"config_version", summary.config_version},
      {"revision", summary.revision}};
}

std::map<std::string, int> DecodePending(const Json& json) {
  std::map<std::string, int> pending;
  const auto found = json.find("pending");
  if (found == json.end()) {
    return pending;
  }
  if (!found->is_object()) {
    throw FieldError("pending");
  }
  for (const auto& [queue, count] : found->items()) {
    pending[queue] = static_cast<int>(
        ToInteger(count, "pending", {0, std::numeric_limits<int>::max()}));
  }
  return pending;
}

std::optional<CellSummary> DecodeSummary(std::string_view text) {
  return DecodeObject(text, [](const Json& json) {
    CellSummary summary;
    summary.cell = ReadStringOrEmpty(json, "cell");
    summary.epoch = ReadIntegerOr(json, "epoch", 0);
    summary.pending = DecodePending(json);
    summary.waiting_work = json.value("waiting_work", 0.0);
    summary.cores = json.value("cores", 0.0);
    summary.config_version = ReadIntegerOr(json, "config_version", 0);
    summary.revision = ReadIntegerOr(json, "revision", 0);
    return summary;
  });
}

HttpClient::Callback DecodeSummaryReply(CellPeers::SummaryCallback done) {
  return
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        const auto summary = DecodeSummary(reply.body);
        error = reply.refused ? PeerErrc::kRefused : error;
        if (!error && (reply.status != kOk || !summary)) {
          error = reply.status == kOk ? make_error_code(CoreErrc::kInvalid)
                                      : ErrorOf(reply.status);
        }
        done(error, summary.value_or(CellSummary{}));
      };
}

// Upper bound of the reported time. An instance that has no cells reports this
// value.
constexpr Millis kMaxAge{86'400'000};

std::optional<int64_t> DecodeInteger(std::string_view text) {
  int64_t value = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return read.ec == std::errc() ? std::optional(value) : std::nullopt;
}

std::optional<Millis> DecodeAge(std::string_view text) {
  int64_t age = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), age);
  const bool valid =
      read.ec == std::errc() && read.ptr == text.data() + text.size();
  return valid && age >= 0 && age <= kMaxAge.count()
             ? std::optional(Millis(age))
             : std::nullopt;
}

}  // namespace

void HttpCellPeers::Submit(const CellLead& lead,
                           const JobPlan& plan,
                           SubmitCallback done) {
  HttpCall call = Call(lead, "POST", plan.id, kSubmitTimeout);
  call.body = Json(plan).dump();
  if (version_) {
    call.headers.emplace_back(kVersionHeader, std::to_string(version_()));
  }
  call.headers.emplace_back(kRevisionHeader,
                            std::to_string(plan.known_revision));
  call.first_byte_timeout = kSubmitFirstByteTimeout;
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        const bool known = reply.body.find("known") != std::string::npos;
        done(ErrorOfChange(error, reply),
             known ? AcceptOutcome::kAlreadyKnown : AcceptOutcome::kAccepted);
      });
}

void HttpCellPeers::Cancel(const CellLead& lead,
                           const std::string& job,
                           CancelCallback done) {
  HttpCall call = Call(lead, "DELETE", job, kSubmitTimeout);
  call.first_byte_timeout = kSubmitFirstByteTimeout;
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        done(ErrorOfChange(error, reply));
      });
}

void HttpCellPeers::FetchJobState(const CellLead& lead,
                                  const std::string& job,
                                  StateCallback done) {
  HttpCall call = Call(lead, "GET", job, kStateTimeout);
  call.first_byte_timeout = kFirstByteTimeout;
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        if (error || reply.status != kOk) {
          done(error ? error : ErrorOf(reply.status), {});
          return;
        }
        for (const JobPhase phase : kJobPhases) {
          if (reply.body == ToString(phase)) {
            done({}, phase);
            return;
          }
        }
        done(CoreErrc::kInvalid, {});
      });
}

void HttpCellPeers::FetchCellSummary(const CellLead& lead,
                                     SummaryCallback done) {
  HttpCall call = Call(lead, "GET", "", kSummaryTimeout);
  ExpectAnswerAtOnce(&call);
  client_.Send(std::move(call), DecodeSummaryReply(std::move(done)));
}

void HttpCellPeers::AwaitAcceptance(const CellLead& lead,
                                    Millis wait,
                                    SummaryCallback done) {
  HttpCall call = Call(lead, "GET", "", kSummaryTimeout + wait);
  call.target += "?" + std::string(kWaitQuery) + std::to_string(wait.count());
  call.first_byte_timeout = wait + kFirstByteTimeout;
  client_.Send(std::move(call), DecodeSummaryReply(std::move(done)));
}

void HttpCellPeers::QueryTimeSinceStoreAnswer(const LiveInstance& instance,
                                              Callback done) {
  HttpCall call;
  call.address = instance.address;
  call.target = kStoreAnswerPath;
  ExpectAnswerAtOnce(&call);
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        const auto age = DecodeAge(reply.body);
        error = reply.refused ? PeerErrc::kRefused : error;
        if (!error && (reply.status != kOk || !age)) {
          error = CoreErrc::kInvalid;
        }
        done(error, age.value_or(Millis(0)));
      });
}

void HttpCellPeers::RequestUnrecordedStartsAgreement(
    const LiveInstance& instance,
    std::function<void(std::error_code)> done) {
  HttpCall call;
  call.address = instance.address;
  call.method = "POST";
  call.target = kUnrecordedStartsPath;
  ExpectAnswerAtOnce(&call);
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        done(error ? error : ErrorOf(reply.status));
      });
}

void HttpCellPeers::FetchQueueTable(const CellLead& lead, TableCallback done) {
  HttpCall call;
  call.address = lead.address;
  call.target = kQueueTablePath;
  ExpectAnswerAtOnce(&call);
  call.max_duration = kMaxTableDuration;
  client_.Send(
      std::move(call),
      [done = std::move(done)](std::error_code error, const HttpReply& reply) {
        done(error ? error : ErrorOf(reply.status), reply.body);
      });
}

void HttpCellPeers::HandOverLead(const LiveInstance& instance,
                                 const std::string& cell,
                                 int64_t epoch) {
  HttpCall call;
  call.address = instance.address;
  call.method = "POST";
  call.target = std::string(kHandOverPath) + cell + "/" + std::to_string(epoch);
  ExpectAnswerAtOnce(&call);
  client_.Send(std::move(call), [](std::error_code, const HttpReply&) {});
}

bool CellPeerService::HandleHandOver(std::string_view rest) {
  const size_t slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return false;
  }
  const std::string_view digits = rest.substr(slash + 1);
  int64_t epoch = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), epoch);
  if (read.ec != std::errc()) {
    return false;
  }
  for (CellLeader* leader : cells_) {
    if (leader->cell() == rest.substr(0, slash)) {
      leader->OnLeadHandedOver(epoch);
    }
  }
  return true;
}

std::optional<Millis> CellPeerService::TimeSinceStoreAnswer() const {
  std::optional<Millis> age = kMaxAge;
  for (CellLeader* leader : cells_) {
    const auto leader_age = leader->ReportTimeSinceStoreAnswer(executor_.Now());
    age = leader_age && age ? std::optional(std::min(*leader_age, *age))
                            : std::nullopt;
  }
  return age;
}

bool CellPeerService::AgreeToUnrecordedStarts() {
  return std::all_of(cells_.begin(), cells_.end(), [](CellLeader* leader) {
    return leader->AgreeToUnrecordedStarts();
  });
}

CellLeader* CellPeerService::FindLeader(const std::string& cell) const {
  for (CellLeader* leader : cells_) {
    if (leader->cell() == cell && leader->leading()) {
      return leader;
    }
  }
  return nullptr;
}

bool CellPeerService::IsReading(const std::string& cell) const {
  return std::any_of(cells_.begin(), cells_.end(),
                     [&cell](const CellLeader* leader) {
                       return leader->cell() == cell && leader->reading();
                     });
}

void CellPeerService::AnswerWhenAccepting(const std::string& cell,
                                          Millis wait,
                                          Answer answer) {
  if (waiting_.empty()) {
    executor_.Schedule(kWaitCheckInterval, [this] { AnswerWaiting(); });
  }
  waiting_.push_back({cell, executor_.Now() + wait, std::move(answer)});
}

void CellPeerService::AnswerWaiting() {
  const Instant now = executor_.Now();
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (WaitingCall& call : waiting) {
    if (const CellLeader* leader = FindLeader(call.cell)) {
      call.answer({}, EncodeSummary(leader->summary()).dump());
    } else if (now >= call.until || !IsReading(call.cell)) {
      call.answer(CoreErrc::kNoOwner, "");
    } else {
      waiting_.push_back(std::move(call));
    }
  }
  if (!waiting_.empty()) {
    executor_.Schedule(kWaitCheckInterval, [this] { AnswerWaiting(); });
  }
}

void CellPeerService::Submit(CellLeader& leader,
                             const HttpRequest& request,
                             Answer answer) {
  auto plan = ParsePlan(request.body);
  if (!plan) {
    answer(CoreErrc::kInvalid, "");
    return;
  }
  plan->known_revision =
      DecodeInteger(request.header(kRevisionHeader)).value_or(0);
  const auto table = table_ ? table_() : nullptr;
  const auto version = DecodeInteger(request.header(kVersionHeader));
  if (table && version && table->HasDropped(plan->queue, *version)) {
    answer(CoreErrc::kNotFound, "");
    return;
  }
  leader.Submit(*plan, [answer = std::move(answer)](std::error_code error,
                                                    AcceptOutcome outcome) {
    const bool known = outcome == AcceptOutcome::kAlreadyKnown;
    answer(error, known ? "known" : "accepted");
  });
}

void CellPeerService::Handle(const HttpRequest& request,
                             HttpServer::Respond respond) {
  constexpr std::string_view kPrefix = "/cell/";
  auto answer = [respond = std::move(respond)](std::error_code error,
                                               std::string body) {
    HttpResponse response;
    response.status = error ? StatusOf(error) : kOk;
    response.body = std::move(body);
    respond(std::move(response));
  };
  if (request.path == kStoreAnswerPath) {
    const auto age = TimeSinceStoreAnswer();
    answer(age ? std::error_code() : make_error_code(CoreErrc::kNoOwner),
           age ? std::to_string(age->count()) : "");
    return;
  }
  if (request.path == kQueueTablePath) {
    const auto table = table_ ? table_() : nullptr;
    answer(table ? std::error_code() : make_error_code(CoreErrc::kNoOwner),
           table ? table->source() : "");
    return;
  }
  if (request.path == kUnrecordedStartsPath) {
    answer(AgreeToUnrecordedStarts() ? std::error_code() : CoreErrc::kNoOwner,
           "");
    return;
  }
  if (request.path.starts_with(kHandOverPath)) {
    const bool parsed = HandleHandOver(
        std::string_view(request.path).substr(kHandOverPath.size()));
    answer(parsed ? std::error_code() : CoreErrc::kInvalid, "");
    return;
  }
  if (!request.path.starts_with(kPrefix)) {
    answer(CoreErrc::kInvalid, "");
    return;
  }
  const std::string rest = request.path.substr(kPrefix.size());
  const size_t slash = rest.find('/');
  const std::string job =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string cell = rest.substr(0, slash);
  CellLeader* leader = FindLeader(cell);
  if (leader == nullptr && job.empty() && IsReading(cell) &&
      request.query.starts_with(kWaitQuery)) {
    const auto wait =
        DecodeAge(std::string_view(request.query).substr(kWaitQuery.size()));
    AnswerWhenAccepting(cell, std::min(wait.value_or(Millis(0)), kMaxWait),
                        std::move(answer));
    return;
  }
  if (leader == nullptr) {
    answer(CoreErrc::kNoOwner, "");
    return;
  }
  if (job.empty()) {
    answer({}, EncodeSummary(leader->summary()).dump());
  } else if (request.method == "POST") {
    Submit(*leader, request, std::move(answer));
  } else if (request.method == "DELETE") {
    leader->Cancel(job, [answer](std::error_code error) { answer(error, ""); });
  } else {
    leader->FetchJobPhase(job, [answer](std::error_code error, JobPhase phase) {
      answer(error, error ? "" : std::string(ToString(phase)));
    });
  }
}

}  // namespace doorwood
