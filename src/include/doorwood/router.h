// SPDX-License-Identifier: Apache-2.0

/// \file
/// Requests of callers: admission, slots of backend servers, attempts,
/// retries and what the caller is told. Runs on traffic threads; all classes
/// here may be used from any thread. docs/design/requests.md.

#ifndef DOORWOOD_ROUTER_H_
#define DOORWOOD_ROUTER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/config.h"
#include "doorwood/types.h"

namespace doorwood {

/// A backend server whose slots this instance counts.
struct BackendTarget {
  std::string id;
  std::string service;
  /// The worker below it.
  std::string worker;
  std::string address;
  int slots = 0;
  /// False: nothing new is sent there.
  bool open = true;
};

/// Another entry instance that has open slots for a service.
struct PeerTarget {
  std::string instance;
  std::string address;
  std::vector<std::string> services;
};

struct HttpHeader {
  std::string name;
  std::string value;
};

/// A caller's request.
struct CallerRequest {
  std::string id;
  std::string service;
  std::string member;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string content_type;
  bool repeatable = false;
  std::string idempotency_key;
  Instant deadline{};
  /// True if another entry instance passed it on already.
  bool passed_on = false;
};

/// What is known of a request's run.
enum class RequestFate {
  /// The whole answer of the run is at hand.
  kAnswered,
  /// Surely not run.
  kNotRun,
  /// Sent, and nobody can tell whether it ran.
  kUnknown,
};

std::string_view ToString(RequestFate fate);

/// Status of a request whose idempotency key was used before.
inline constexpr int kStatusKeyUsed = 409;

/// What the caller gets.
struct CallerResponse {
  RequestFate fate = RequestFate::kNotRun;
  int status = 503;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string content_type;
  /// Seconds after which asking again makes sense; 0: it does not.
  int retry_after = 0;
};

/// What came of one attempt.
enum class AttemptFate {
  kAnswered,
  /// Surely never reached the backend server.
  kNotSent,
  /// The backend server refused it before the start.
  kRefused,
  kUnknown,
};

struct AttemptResult {
  AttemptFate fate = AttemptFate::kUnknown;
  CallerResponse response;
};

/// Port to backend servers and to the traffic side of peers.
class RequestSender {
 public:
  virtual ~RequestSender() = default;

  /// Blocks for at most `timeout`. An answer counts only if it is whole.
  virtual AttemptResult Send(const BackendTarget& target,
                             const CallerRequest& request,
                             Millis timeout) = 0;
  virtual AttemptResult PassOn(const PeerTarget& target,
                               const CallerRequest& request,
                               Millis timeout) = 0;
};

/// Why no slot was given.
enum class SlotRefusal { kNone, kNoBackend, kQueueFull, kTooLate };

struct SlotGrant {
  SlotRefusal refusal = SlotRefusal::kNone;
  BackendTarget target;
  /// Estimate of when a slot will be free.
  Millis wait{0};
};

/// Counts the slots of backend servers and lets requests wait for them.
/// Members take turns, so that a surge of one does not starve another.
class SlotTable {
 public:
  void SetBackends(std::vector<BackendTarget> backends);

  /// Waits until a slot is free, `deadline`, or refusal, which comes at once
  /// if the queue is full, the estimated wait is past the deadline, or the
  /// service has no backend server. Where all its backend servers are closed
  /// just now, as between two holders, the wait is for one to open.
  /// `avoid` is used only if nothing else is open.
  SlotGrant Acquire(const std::string& service,
                    const std::string& member,
                    const std::string& avoid,
                    int queue_limit,
                    Instant deadline);
  /// True at once or not at all.
  std::optional<BackendTarget> TryAcquire(const std::string& service,
                                          const std::string& avoid);
  /// `held` is how long the slot was in use.
  void Release(const BackendTarget& target, Millis held);

  /// True if a backend server of the service is open, busy or not.
  bool HasSlots(const std::string& service) const;
  /// Services with a free slot and nobody waiting.
  std::vector<std::string> OpenServices() const;
  /// Requests that wait for a slot of the service.
  size_t Waiting(const std::string& service) const;
  /// Slots in use on one worker's backend servers.
  int InUse(const std::string& worker) const;

 private:
  struct Waiter {
    std::string member;
    std::string avoid;
    std::condition_variable ready;
    std::optional<BackendTarget> granted;
  };

  struct Backend {
    BackendTarget target;
    int in_use = 0;
    // Gone from the list, kept until its last slot is released.
    bool listed = true;
  };

  struct Service {
    std::list<Waiter*> waiters;
    // Smoothed time that a slot is held, in milliseconds.
    double mean_held_ms = 10;
    std::string last_member;
  };

  Backend* PickLocked(const std::string& service, const std::string& avoid);
  int SlotsLocked(const std::string& service) const;
  bool IsListedLocked(const std::string& service) const;
  void GrantLocked(const std::string& service);
  std::list<Waiter*>::iterator NextWaiterLocked(Service* service);

  mutable std::mutex mutex_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, Service> services_;
};

/// Lets retries be at most a share of requests.
class RetryBudget {
 public:
  /// Called for each request.
  void Earn(const std::string& service, double share);
  /// True if a retry may be made now.
  bool Spend(const std::string& service);

 private:
  std::mutex mutex_;
  std::map<std::string, double> tokens_;
};

/// Told about each finished request that a caller made here.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;

  virtual void OnRequest(const CallerRequest& request,
                         const CallerResponse& response,
                         Millis took) = 0;
};

/// Outcome of recording an idempotency key.
enum class ClaimOutcome { kClaimed, kTaken, kNotRecorded, kUnknown };

/// Port to the record of idempotency keys, kept by the owner of each key's
/// shard.
class RequestClaims {
 public:
  virtual ~RequestClaims() = default;

  /// Records `key` for `request`; blocks until `deadline` at the latest.
  virtual ClaimOutcome Claim(const std::string& key,
                             const std::string& request,
                             Instant deadline) = 0;
  /// Takes the record back, because the request surely did not run. Does not
  /// block and may fail; the key then stays used up.
  virtual void Release(const std::string& key, const std::string& request) = 0;
};

class Router {
 public:
  Router(RequestSender& sender,
         RequestObserver& observer,
         RequestClaims& claims);

  /// Runs a request to its end and says what became of it. Blocks until the
  /// deadline at the latest; a refusal comes at once.
  CallerResponse Handle(const CallerRequest& request);

  SlotTable& slots() { return slots_; }
  void SetPeers(std::vector<PeerTarget> peers);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

 private:
  // What has become of one request so far.
  struct Progress {
    CallerResponse last;
    // The backend server tried last.
    std::string avoid;
    bool may_have_run = false;
    bool claimed = false;
    // A peer took it and gave no whole answer; no other one is asked.
    bool peer_failed = false;
    // Brought to an end by a peer.
    bool settled = false;
    // How long to wait at most for some instance to open a backend server.
    Instant patience{};

    void Tell(CallerResponse refusal);
  };

  CallerResponse Run(const CallerRequest& request);
  bool TryOnce(const ServiceConfig& service,
               const CallerRequest& request,
               Progress* progress);
  SlotGrant WaitForSlot(const ServiceConfig& service,
                        const CallerRequest& request,
                        Progress* progress);
  bool ClaimFirst(const CallerRequest& request, Progress* progress);
  bool TryPeer(const CallerRequest& request, Progress* progress);
  std::optional<PeerTarget> PickPeer(const std::string& service);
  AttemptResult AttemptOn(const BackendTarget& target,
                          const CallerRequest& request);
  ServiceConfig ServiceOf(const std::string& name) const;

  RequestSender& sender_;
  RequestObserver& observer_;
  RequestClaims& claims_;
  SlotTable slots_;
  RetryBudget budget_;
  mutable std::mutex mutex_;
  std::vector<PeerTarget> peers_;
  std::shared_ptr<const Configuration> configuration_;
  size_t next_peer_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_ROUTER_H_
