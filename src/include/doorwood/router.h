// SPDX-License-Identifier: Apache-2.0

/// \file
/// Routing of callers' requests: admission, slots of backend servers,
/// attempts, retries and the response to the caller. Runs on the threads of the
/// HTTP server; SlotTable, RetryBudget and Router are thread-safe. See
/// docs/design/requests.md.

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

/// A backend server of this data centre. It is open only on the instance that
/// holds its worker, which counts its slots in use.
struct BackendTarget {
  std::string id;
  std::string service;
  /// The worker that the backend server runs on.
  std::string worker;
  std::string address;
  int slots = 0;
  /// False: no new requests are sent to it.
  bool open = true;
};

/// Another entry instance that has free slots for some services.
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
  /// True if another entry instance has forwarded the request. This instance
  /// then does not forward it again.
  bool forwarded = false;
};

/// Whether a request was executed, as far as is known.
enum class RequestOutcome {
  /// The request was executed and its complete response was received.
  kAnswered,
  /// The request was definitely not executed.
  kNotRun,
  /// The request, or an earlier one with the same idempotency key, may or may
  /// not have been executed.
  kUnknown,
};

std::string_view ToString(RequestOutcome outcome);

/// HTTP status for a request whose idempotency key was already used.
inline constexpr int kStatusKeyUsed = 409;

/// The response to the caller.
struct CallerResponse {
  RequestOutcome outcome = RequestOutcome::kNotRun;
  int status = 503;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string content_type;
  /// Seconds after which the caller may retry; 0: no retry is suggested.
  int retry_after = 0;
};

/// Outcome of sending a request once, to a backend server or to a peer.
enum class AttemptOutcome {
  /// A complete response was received. A peer's response may itself report
  /// RequestOutcome::kUnknown.
  kAnswered,
  /// The request definitely did not reach the receiver.
  kNotSent,
  /// The receiver refused the request before executing it.
  kRefused,
  /// The request may or may not have been executed.
  kUnknown,
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  CallerResponse response;
};

/// Interface for sending requests to backend servers and to the HTTP servers of
/// peers (other entry instances). `timeout` limits each wait to send or receive
/// data. Opening a connection has a limit of its own, so that a call can take
/// longer than `timeout`.
class RequestSender {
 public:
  virtual ~RequestSender() = default;

  /// Sends the request to a backend server and blocks until the call has ended.
  /// An incomplete response counts as AttemptOutcome::kUnknown.
  virtual AttemptResult Send(const BackendTarget& target,
                             const CallerRequest& request,
                             Millis timeout) = 0;
  /// Forwards the request to a peer, tells it `timeout` as the time left until
  /// the request's deadline, and blocks until the call has ended. An incomplete
  /// response counts as AttemptOutcome::kUnknown.
  virtual AttemptResult Forward(const PeerTarget& target,
                                const CallerRequest& request,
                                Millis timeout) = 0;
};

/// Why no slot was granted.
enum class SlotRefusal {
  kNone,
  /// No backend server of the service is listed, or all are closed and the
  /// request may not wait any longer for one to open.
  kNoBackend,
  kQueueFull,
  kDeadlineExceeded
};

struct SlotGrant {
  SlotRefusal refusal = SlotRefusal::kNone;
  BackendTarget target;
  /// Time until the request gets a slot, as estimated when it was queued or
  /// refused; 0: a slot was free at once, or `refusal` is kNoBackend.
  Millis wait{0};
};

/// Counts the slots in use on backend servers and queues requests that wait
/// for a slot. Workspaces (`member`) are served round robin, so that a surge of
/// one does not starve another.
class SlotTable {
 public:
  /// Replaces the list of backend servers. A server that is no longer listed
  /// is closed and kept until its last slot is released.
  void SetBackends(std::vector<BackendTarget> backends);

  /// Grants a free slot at once if no request waits for the service. Otherwise
  /// blocks until a slot is granted or `deadline` is reached, but refuses
  /// immediately if `queue_limit` requests already wait, the estimated wait is
  /// past the deadline, or no backend server of the service is listed. If all
  /// listed ones are closed, as happens while a worker is handed over to
  /// another instance, the call is not refused for that reason and waits for
  /// one of them to open. The backend server `avoid` is used only if no other
  /// one has a free slot.
  SlotGrant Acquire(const std::string& service,
                    const std::string& member,
                    const std::string& avoid,
                    int queue_limit,
                    Instant deadline);
  /// Acquires a slot without waiting. Empty if none is free or if other
  /// requests already wait for the service.
  std::optional<BackendTarget> TryAcquire(const std::string& service,
                                          const std::string& avoid);
  /// Releases a slot. `held` is how long the slot was in use; the estimate
  /// of waiting times is computed from these durations.
  void Release(const BackendTarget& target, Millis held);

  /// True if a backend server of the service is open, even if all its slots
  /// are in use.
  bool HasOpenBackend(const std::string& service) const;
  /// Services with a free slot and no waiting requests.
  std::vector<std::string> ServicesWithFreeSlots() const;
  /// Number of requests that wait for a slot of the service.
  size_t WaitingCount(const std::string& service) const;
  /// Number of slots in use on one worker's backend servers.
  int SlotsInUse(const std::string& worker) const;

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
    // False: no longer in the list; kept until its last slot is released.
    bool listed = true;
  };

  struct Service {
    std::list<Waiter*> waiters;
    // Moving average of the time that a slot is held, in milliseconds.
    double mean_held_ms = 10;
    std::string last_member;
  };

  Backend* PickBackendLocked(const std::string& service,
                             const std::string& avoid);
  int SlotCountOfOpenBackendsLocked(const std::string& service) const;
  bool HasListedBackendLocked(const std::string& service) const;
  void GrantToWaitersLocked(const std::string& service);
  std::list<Waiter*>::iterator NextWaiterLocked(Service* service);

  mutable std::mutex mutex_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, Service> services_;
};

/// Limits retries to a share of the requests of each service. The budget of a
/// service starts with one retry.
class RetryBudget {
 public:
  /// Adds `share` of a retry to the budget, up to its upper limit; call once
  /// for each request.
  void Deposit(const std::string& service, double share);
  /// Takes one retry out of the budget. False if there is none left.
  bool TryWithdraw(const std::string& service);

 private:
  std::mutex mutex_;
  std::map<std::string, double> tokens_;
};

/// Observer of the finished requests that callers sent to this instance.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;

  virtual void OnRequestFinished(const CallerRequest& request,
                                 const CallerResponse& response,
                                 Millis duration) = 0;
};

/// Outcome of recording an idempotency key. kAlreadyUsed: another request has
/// used the key. kNotRecorded: the record was definitely not written. kUnknown:
/// the record may or may not have been written.
enum class ClaimOutcome { kClaimed, kAlreadyUsed, kNotRecorded, kUnknown };

/// Interface to the records of used idempotency keys. The owner of a key's
/// shard keeps its record.
class IdempotencyKeyStore {
 public:
  virtual ~IdempotencyKeyStore() = default;

  /// Records `key` for `request`; blocks until `deadline` at the latest.
  virtual ClaimOutcome ClaimIdempotencyKey(const std::string& key,
                                           const std::string& request,
                                           Instant deadline) = 0;
  /// Deletes the record, because the request was definitely not executed.
  /// Does not block and may fail; the key then stays used.
  virtual void ReleaseIdempotencyKey(const std::string& key,
                                     const std::string& request) = 0;
};

/// Routes each request to a backend server of its service, or to a peer that
/// has a free slot for it.
class Router {
 public:
  Router(RequestSender& sender,
         RequestObserver& observer,
         IdempotencyKeyStore& claims);

  /// Executes a request and returns its response. The deadline is checked
  /// before each attempt, but not again after a peer has been tried or the
  /// idempotency key recorded, so that an attempt on a local slot may begin
  /// after the deadline; see RequestSender for how long an attempt may take.
  /// Waits for a slot only if the queue has room and the estimated wait ends
  /// before the deadline; while all backend servers of the service are closed,
  /// gives up about 4 s after the start, or after half of the time to the
  /// deadline if that is less.
  CallerResponse Handle(const CallerRequest& request);

  SlotTable& slots() { return slots_; }
  void SetPeers(std::vector<PeerTarget> peers);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

 private:
  // State of one request across its attempts.
  struct Progress {
    CallerResponse last;
    // The backend server of the last attempt; the next attempt prefers other
    // servers.
    std::string avoid;
    bool may_have_run = false;
    bool claimed = false;
    // The request was forwarded to a peer, which may have executed it but sent
    // no complete response. After that, no peer is tried.
    bool peer_outcome_unknown = false;
    // Forwarding to a peer has determined the final outcome.
    bool ended_by_peer = false;
    // Until when to wait while all local backend servers of the service are
    // closed.
    Instant closed_wait_deadline{};

    void RecordRefusal(CallerResponse refusal);
  };

  CallerResponse RunAttempts(const CallerRequest& request);
  bool TryOnce(const ServiceConfig& service,
               const CallerRequest& request,
               Progress* progress);
  SlotGrant ForwardOrWaitForSlot(const ServiceConfig& service,
                                 const CallerRequest& request,
                                 Progress* progress);
  bool ClaimKeyIfNeeded(const CallerRequest& request, Progress* progress);
  bool TryPeer(const CallerRequest& request, Progress* progress);
  std::optional<PeerTarget> PickPeer(const std::string& service);
  AttemptResult SendAndReleaseSlot(const BackendTarget& target,
                                   const CallerRequest& request);
  ServiceConfig ServiceConfigOf(const std::string& name) const;

  RequestSender& sender_;
  RequestObserver& observer_;
  IdempotencyKeyStore& claims_;
  SlotTable slots_;
  RetryBudget budget_;
  mutable std::mutex mutex_;
  std::vector<PeerTarget> peers_;
  std::shared_ptr<const Configuration> configuration_;
  size_t next_peer_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_ROUTER_H_
