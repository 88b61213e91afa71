// SPDX-License-Identifier: Apache-2.0

#include "doorwood/router.h"

#include <algorithm>

namespace doorwood {
namespace {

constexpr int kMaxAttempts = 4;
// Upper limit of a service's retry budget.
constexpr double kMaxRetryBudget = 10;
constexpr int kRetryAfterSeconds = 1;
// While all local backend servers of its service are closed, a request waits
// until kMaxClosedWait after its start, or half of the time to its deadline if
// that is less, and tries a peer again at least every kPeerPollInterval. The
// last wait may end up to kPeerPollInterval later.
constexpr Millis kMaxClosedWait{4000};
constexpr Millis kPeerPollInterval{50};

constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

Millis ElapsedSince(Instant begin) {
  return std::chrono::duration_cast<Millis>(BootClock::now() - begin);
}

Millis TimeUntil(Instant end) {
  return std::chrono::duration_cast<Millis>(end - BootClock::now());
}

CallerResponse NotRunResponse(int status,
                              std::string_view reason,
                              int retry_after) {
  CallerResponse response;
  response.outcome = RequestOutcome::kNotRun;
  response.status = status;
  response.content_type = "text/plain";
  response.body = "not run: " + std::string(reason) + "\n";
  response.retry_after = retry_after;
  return response;
}

CallerResponse UnknownResponse(std::string_view reason) {
  CallerResponse response;
  response.outcome = RequestOutcome::kUnknown;
  response.status = kStatusBadGateway;
  response.content_type = "text/plain";
  response.body =
      "not known whether the request ran: " + std::string(reason) + "\n";
  return response;
}

int CeilToSeconds(Millis wait) {
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t seconds =
      (wait.count() + kMillisPerSecond - 1) / kMillisPerSecond;
  return static_cast<int>(std::max<int64_t>(1, seconds));
}

CallerResponse SlotRefusalResponse(const SlotGrant& grant) {
  switch (grant.refusal) {
    case SlotRefusal::kQueueFull:
      return NotRunResponse(kStatusTooManyRequests,
                            "too many requests are already waiting",
                            CeilToSeconds(grant.wait));
    case SlotRefusal::kDeadlineExceeded:
      return NotRunResponse(kStatusGatewayTimeout,
                            "no slot before the deadline",
                            CeilToSeconds(grant.wait));
    default:
      return NotRunResponse(kStatusUnavailable, "no backend server is open now",
                            kRetryAfterSeconds);
  }
}

}  // namespace

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void RetryBudget::Deposit(const std::string& service, double share) {
  const std::lock_guard<std::mutex> lock(mutex_);
  double& tokens = tokens_.try_emplace(service, 1.0).first->second;
  tokens = std::min(kMaxRetryBudget, tokens + share);
}

bool RetryBudget::TryWithdraw(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  double& tokens = tokens_.try_emplace(service, 1.0).first->second;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

void Router::Progress::RecordRefusal(CallerResponse refusal) {
  // After an attempt of unknown outcome, a later refusal must not report the
  // request as not run.
  if (!may_have_run) {
    last = std::move(refusal);
  }
}

Router::Router(RequestSender& sender,
               RequestObserver& observer,
               IdempotencyKeyStore& claims)
    : sender_(sender),
      observer_(observer),
      claims_(claims),
      configuration_(std::make_shared<Configuration>()) {}

void Router::SetPeers(std::vector<PeerTarget> peers) {
  const std::lock_guard<std::mutex> lock(mutex_);
  peers_ = std::move(peers);
}

void Router::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  const std::lock_guard<std::mutex> lock(mutex_);
  configuration_ = std::move(configuration);
}

ServiceConfig Router::ServiceConfigOf(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const ServiceConfig* service = FindService(*configuration_, name);
  return service == nullptr ? ServiceConfig() : *service;
}

CallerResponse Router::Handle(const CallerRequest& request) {
  const Instant begin = BootClock::now();
  CallerResponse response = RunAttempts(request);
  // For a request that a peer forwarded, that peer calls its own observer.
  if (!request.forwarded) {
    observer_.OnRequestFinished(request, response, ElapsedSince(begin));
  }
  return response;
}

CallerResponse Router::RunAttempts(const CallerRequest& request) {
  const ServiceConfig service = ServiceConfigOf(request.service);
  if (service.name.empty()) {
    return NotRunResponse(kStatusNotFound, "no such service", 0);
  }
  budget_.Deposit(request.service, service.retry_share);
  Progress progress;
  const auto now = BootClock::now();
  progress.closed_wait_deadline =
      std::min(now + (request.deadline - now) / 2, now + kMaxClosedWait);
  progress.last =
      NotRunResponse(kStatusUnavailable, "the deadline had already passed",
                     kRetryAfterSeconds);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (TimeUntil(request.deadline) <= Millis(0)) {
      break;
    }
    if (attempt > 0 && !budget_.TryWithdraw(request.service)) {
      break;
    }
    if (!TryOnce(service, request, &progress)) {
      break;
    }
  }
  const bool release_claim =
      progress.claimed && progress.last.outcome == RequestOutcome::kNotRun;
  if (release_claim) {
    claims_.ReleaseIdempotencyKey(request.idempotency_key, request.id);
  }
  return progress.last;
}

// Makes one attempt on a local slot unless a peer finishes the request. Returns
// false if `progress->last` is final.
bool Router::TryOnce(const ServiceConfig& service,
                     const CallerRequest& request,
                     Progress* progress) {
  auto target = slots_.TryAcquire(request.service, progress->avoid);
  if (!target) {
    const SlotGrant grant = ForwardOrWaitForSlot(service, request, progress);
    if (progress->ended_by_peer) {
      return false;
    }
    if (grant.refusal != SlotRefusal::kNone) {
      progress->RecordRefusal(SlotRefusalResponse(grant));
      return false;
    }
    target = grant.target;
  }
  if (!ClaimKeyIfNeeded(request, progress)) {
    slots_.Release(*target, Millis(0));
    return false;
  }
  const AttemptResult result = SendAndReleaseSlot(*target, request);
  progress->avoid = target->id;
  switch (result.outcome) {
    case AttemptOutcome::kAnswered:
      progress->last = result.response;
      return false;
    case AttemptOutcome::kUnknown:
      progress->may_have_run = true;
      progress->last =
          UnknownResponse("no complete response from the backend server");
      return request.repeatable;
    default:
      progress->RecordRefusal(NotRunResponse(
          kStatusUnavailable, "no backend server that was tried accepted it",
          kRetryAfterSeconds));
      return true;
  }
}

// Forwards the request to a peer. If that finishes the request, sets
// `progress->ended_by_peer`, and the returned grant has no meaning; otherwise
// waits for a local slot. While all local backend servers of the service are
// closed, a peer is tried again at least every kPeerPollInterval: while a
// worker is handed over between instances, for a short time no instance has a
// slot on it.
SlotGrant Router::ForwardOrWaitForSlot(const ServiceConfig& service,
                                       const CallerRequest& request,
                                       Progress* progress) {
  while (true) {
    if (TryPeer(request, progress)) {
      progress->ended_by_peer = true;
      return {};
    }
    const auto now = BootClock::now();
    const bool open_locally = slots_.HasOpenBackend(request.service);
    if (!open_locally && now >= progress->closed_wait_deadline) {
      return {.refusal = SlotRefusal::kNoBackend};
    }
    const Instant until =
        open_locally ? request.deadline
                     : std::min(request.deadline, now + kPeerPollInterval);
    SlotGrant grant =
        slots_.Acquire(request.service, request.member, progress->avoid,
                       service.queue_limit, until);
    const bool poll_again =
        grant.refusal == SlotRefusal::kDeadlineExceeded && !open_locally;
    if (!poll_again) {
      return grant;
    }
  }
}

// Records the idempotency key of a request that needs it. Returns false if the
// request must not be executed. The key is recorded after the slot has been
// acquired, so that a refusal for lack of a slot does not use up the key.
bool Router::ClaimKeyIfNeeded(const CallerRequest& request,
                              Progress* progress) {
  const bool needed = !request.repeatable && !request.idempotency_key.empty() &&
                      !progress->claimed;
  if (!needed) {
    return true;
  }
  switch (claims_.ClaimIdempotencyKey(request.idempotency_key, request.id,
                                      request.deadline)) {
    case ClaimOutcome::kClaimed:
      progress->claimed = true;
      return true;
    case ClaimOutcome::kAlreadyUsed:
      progress->last = UnknownResponse(
          "an earlier request with the same idempotency key "
          "may have run; this one was not run");
      progress->last.status = kStatusKeyUsed;
      return false;
    case ClaimOutcome::kNotRecorded:
      progress->RecordRefusal(NotRunResponse(
          kStatusUnavailable, "the idempotency key cannot be recorded now",
          kRetryAfterSeconds));
      return false;
    case ClaimOutcome::kUnknown:
      break;
  }
  // The record may still be written and would use up the key, so the key
  // counts as claimed and is released afterwards.
  progress->claimed = true;
  progress->RecordRefusal(
      NotRunResponse(kStatusUnavailable,
                     "it is not known whether the idempotency key was recorded",
                     kRetryAfterSeconds));
  return false;
}

// Forwards the request to one peer that has free slots for the service, if any.
// Returns true if `progress->last` is then final. After a peer that did not
// receive or that refused the request, a later call may try the same or another
// peer; after an incomplete response, later calls try none.
bool Router::TryPeer(const CallerRequest& request, Progress* progress) {
  if (request.forwarded || progress->peer_outcome_unknown) {
    return false;
  }
  const auto target = PickPeer(request.service);
  if (!target) {
    return false;
  }
  const AttemptResult result =
      sender_.Forward(*target, request, TimeUntil(request.deadline));
  if (result.outcome == AttemptOutcome::kAnswered) {
    progress->last = result.response;
    return true;
  }
  if (result.outcome != AttemptOutcome::kUnknown) {
    return false;
  }
  progress->may_have_run = true;
  progress->peer_outcome_unknown = true;
  progress->last = UnknownResponse(
      "no complete response from the peer that it was forwarded to");
  return !request.repeatable;
}

std::optional<PeerTarget> Router::PickPeer(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++next_peer_;
  for (size_t i = 0; i < peers_.size(); ++i) {
    const PeerTarget& peer = peers_[(next_peer_ + i) % peers_.size()];
    const auto& services = peer.services;
    if (std::find(services.begin(), services.end(), service) !=
        services.end()) {
      return peer;
    }
  }
  return std::nullopt;
}

AttemptResult Router::SendAndReleaseSlot(const BackendTarget& target,
                                         const CallerRequest& request) {
  const Instant begin = BootClock::now();
  AttemptResult result =
      sender_.Send(target, request, TimeUntil(request.deadline));
  slots_.Release(target, ElapsedSince(begin));
  return result;
}

}  // namespace doorwood
