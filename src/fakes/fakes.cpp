// SPDX-License-Identifier: Apache-2.0

#include "fakes/fakes.h"

#include <algorithm>
#include <utility>

#include "doorwood/error.h"

namespace doorwood::fakes {
namespace {

constexpr Millis kLatency{1};
constexpr Millis kTimeout{800};
constexpr Millis kLate{8000};
constexpr Millis kWatchPollInterval{20};
constexpr int kMaxWatchPolls = 500;

}  // namespace

// --- Time -------------------------------------------------------------------

int64_t VirtualTime::now_ms() const {
  return std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count();
}

void VirtualTime::RunAt(Instant time, std::function<void()> function) {
  queue_.push({std::max(time, now_), ++order_, std::move(function)});
}

bool VirtualTime::Step(Instant limit) {
  if (queue_.empty() || queue_.top().time > limit) {
    return false;
  }
  const Item item = queue_.top();
  queue_.pop();
  now_ = item.time;
  item.function();
  return true;
}

void VirtualTime::Run(Millis duration) {
  const Instant end = now_ + duration;
  while (Step(end)) {
  }
  // The last step may have run past `end`, if a process paused in it; see
  // `FakeExecutor::PauseInNowCall`.
  now_ = std::max(now_, end);
}

void FakeExecutor::Post(std::function<void()> function) {
  time_.RunAt(time_.now(),
              [this, function = std::move(function)]() { Run(function); });
}

Executor::TimerId FakeExecutor::Schedule(Millis delay,
                                         std::function<void()> function) {
  const TimerId id = ++last_timer_;
  time_.RunAt(time_.now() + delay,
              [this, id, function = std::move(function)]() {
                if (cancelled_.erase(id) == 0) {
                  Run(function);
                }
              });
  return id;
}

void FakeExecutor::Cancel(TimerId timer) {
  if (timer != 0) {
    cancelled_.insert(timer);
  }
}

void FakeExecutor::Run(std::function<void()> function) {
  if (killed_) {
    return;
  }
  if (frozen_) {
    deferred_.push_back(std::move(function));
    return;
  }
  function();
}

Instant FakeExecutor::Now() const {
  if (calls_to_pause_ > 0 && !frozen_ && --calls_to_pause_ == 0) {
    auto* self = const_cast<FakeExecutor*>(this);
    self->Freeze();
    time_.Run(pause_);
    self->Thaw();
  }
  return time_.now();
}

void FakeExecutor::PauseInNowCall(int call, Millis pause) {
  calls_to_pause_ = call;
  pause_ = pause;
}

void FakeExecutor::DeliverAnswer(Millis delay, std::function<void()> function) {
  time_.RunAt(time_.now() + delay,
              [this, function = std::move(function)]() mutable {
                if (frozen_ && !killed_) {
                  deferred_answers_.push_back(std::move(function));
                } else {
                  Run(std::move(function));
                }
              });
}

void FakeExecutor::Thaw() {
  frozen_ = false;
  std::vector<std::function<void()>> arrived = std::move(deferred_answers_);
  deferred_answers_.clear();
  std::shuffle(arrived.begin(), arrived.end(), order_random_);
  for (auto& function : arrived) {
    Post(std::move(function));
  }
  std::vector<std::function<void()>> deferred = std::move(deferred_);
  deferred_.clear();
  for (auto& function : deferred) {
    Post(std::move(function));
  }
}

// --- Key-value store --------------------------------------------------------

template <typename T>
void FakeKv::Run(bool changes,
                 std::function<std::error_code(T*)> effect,
                 Callback<T> done) {
  Fault fault = fault_;
  if (changes) {
    ++writes_;
    if (remaining_faulty_writes_ == 0) {
      fault = Fault::kNone;
    } else if (remaining_faulty_writes_ > 0) {
      --remaining_faulty_writes_;
    }
  } else if (remaining_faulty_writes_ >= 0) {
    fault = Fault::kNone;
  }
  const auto answer = [this, done](std::error_code error, T value,
                                   Millis after) {
    time_.RunAt(time_.now() + after, [this, done, error, value]() {
      executor_.Post([done, error, value]() { done(error, value); });
    });
  };
  const std::error_code unclear = changes
                                      ? make_error_code(KvErrc::kUnknown)
                                      : make_error_code(KvErrc::kUnavailable);
  switch (fault) {
    case Fault::kNone:
      time_.RunAt(time_.now() + kLatency, [effect, answer]() {
        T value{};
        const std::error_code error = effect(&value);
        answer(error, value, kLatency);
      });
      return;
    case Fault::kRefused:
      answer(KvErrc::kUnavailable, T{}, kLatency);
      return;
    case Fault::kAnswerLost: {
      T value{};
      effect(&value);
      answer(unclear, T{}, kTimeout);
      return;
    }
    case Fault::kRequestLost:
      answer(unclear, T{}, kTimeout);
      return;
    case Fault::kDelayed:
      time_.RunAt(time_.now() + kLate, [effect]() {
        T value{};
        effect(&value);
      });
      answer(unclear, T{}, kTimeout);
      return;
  }
}

void FakeKv::Read(const std::string& key, Callback<KvEntry> done) {
  Run<KvEntry>(
      false,
      [this, key](KvEntry* out) {
        return model_.Read(key, time_.now_ms(), out);
      },
      done);
}

void FakeKv::List(const std::string& prefix,
                  Callback<std::vector<KvEntry>> done) {
  Run<std::vector<KvEntry>>(
      false,
      [this, prefix](std::vector<KvEntry>* out) {
        *out = model_.List(prefix, time_.now_ms());
        return std::error_code();
      },
      done);
}

void FakeKv::Write(const KvWrite& write, Callback<int64_t> done) {
  Run<int64_t>(
      true,
      [this, write](int64_t* out) {
        return model_.Write(write, time_.now_ms(), out);
      },
      done);
}

void FakeKv::Remove(const std::string& key,
                    int64_t expected_version,
                    Callback<int64_t> done) {
  Run<int64_t>(
      true,
      [this, key, expected_version](int64_t*) {
        return model_.Remove(key, expected_version, time_.now_ms());
      },
      done);
}

void FakeKv::GrantLease(Millis lifetime, Callback<int64_t> done) {
  Run<int64_t>(
      false,
      [this, lifetime](int64_t* out) {
        *out = model_.GrantLease(lifetime.count(), time_.now_ms());
        return std::error_code();
      },
      done);
}

void FakeKv::RenewLease(int64_t lease, Callback<int64_t> done) {
  Run<int64_t>(
      false,
      [this, lease](int64_t*) {
        return model_.RenewLease(lease, time_.now_ms());
      },
      done);
}

void FakeKv::Watch(const std::string& prefix,
                   int64_t after,
                   Callback<std::vector<KvEntry>> done) {
  if (fault_ != Fault::kNone) {
    Run<std::vector<KvEntry>>(
        false, [](std::vector<KvEntry>*) { return std::error_code(); }, done);
    return;
  }
  auto poll = std::make_shared<std::function<void(int)>>();
  *poll = [this, prefix, after, done, poll](int left) {
    const bool has_changes = model_.HighestVersionUnder(prefix) > after;
    if (!has_changes && left > 0 && fault_ == Fault::kNone) {
      time_.RunAt(time_.now() + kWatchPollInterval,
                  [poll, left]() { (*poll)(left - 1); });
      return;
    }
    List(prefix, done);
  };
  (*poll)(kMaxWatchPolls);
}

// --- Workers ----------------------------------------------------------------

template <typename T>
void FakeWorkers::Run(
    const InstanceInfo& worker,
    std::function<std::error_code(standin::WorkerModel&, T*)> effect,
    Callback<T> done) {
  const auto answer = [this, done](std::error_code error, T value,
                                   Millis after) {
    time_.RunAt(time_.now() + after, [this, done, error, value]() {
      executor_.Post([done, error, value]() { done(error, value); });
    });
  };
  const auto model = fleet_.find(worker.address);
  const Fault fault =
      model == fleet_.end() ? Fault::kRefused : faults_[worker.address];
  const std::error_code unreachable = WorkerErrc::kUnreachable;
  switch (fault) {
    case Fault::kNone:
      time_.RunAt(time_.now() + kLatency, [effect, answer, model]() {
        T value{};
        const std::error_code error = effect(*model->second, &value);
        answer(error, value, kLatency);
      });
      return;
    case Fault::kAnswerLost:
      time_.RunAt(time_.now() + kLatency, [effect, model]() {
        T value{};
        effect(*model->second, &value);
      });
      answer(unreachable, T{}, kTimeout);
      return;
    case Fault::kDelayed:
      time_.RunAt(time_.now() + kLate, [effect, model]() {
        T value{};
        effect(*model->second, &value);
      });
      answer(unreachable, T{}, kTimeout);
      return;
    case Fault::kRefused:
    case Fault::kRequestLost:
      answer(unreachable, T{}, kTimeout);
      return;
  }
}

void FakeWorkers::Acquire(const InstanceInfo& worker,
                          Callback<WorkerInventory> done) {
  Run<WorkerInventory>(
      worker,
      [this](standin::WorkerModel& model, WorkerInventory* out) {
        return model.Acquire(holder_, options_.control_lease.count(),
                             options_.task_lease.count(), time_.now_ms(), out);
      },
      done);
}

void FakeWorkers::Send(const InstanceInfo& worker,
                       uint64_t epoch,
                       std::vector<WorkerOrder> orders,
                       Callback<WorkerAnswer> done) {
  Run<WorkerAnswer>(
      worker,
      [this, epoch, orders = std::move(orders)](standin::WorkerModel& model,
                                                WorkerAnswer* out) {
        return model.ApplyOrders(epoch, orders, time_.now_ms(), out);
      },
      done);
}

void FakeWorkers::Release(const InstanceInfo& worker,
                          uint64_t epoch,
                          Callback<bool> done) {
  Run<bool>(
      worker,
      [epoch](standin::WorkerModel& model, bool* out) {
        *out = true;
        return model.Release(epoch);
      },
      done);
}

// --- Peers ------------------------------------------------------------------

void FakeNetwork::SetPartitioned(const std::string& a,
                                 const std::string& b,
                                 bool cut) {
  const auto pair = std::minmax(a, b);
  if (cut) {
    cuts_.insert(pair);
  } else {
    cuts_.erase(pair);
  }
}

bool FakeNetwork::IsPartitioned(const std::string& a,
                                const std::string& b) const {
  return cuts_.contains(std::minmax(a, b));
}

bool FakeNetwork::ConsumeDroppedReply() {
  if (replies_to_drop_ == 0) {
    return false;
  }
  --replies_to_drop_;
  return true;
}

bool FakeNetwork::ConsumeDelayedPlacement(const PeerRequest& request) {
  const bool take =
      placements_to_delay_ > 0 && std::holds_alternative<PlaceRequest>(request);
  placements_to_delay_ -= take ? 1 : 0;
  return take;
}

FakeNetwork::Node* FakeNetwork::FindNode(const std::string& address) {
  const auto node = nodes_.find(address);
  return node == nodes_.end() ? nullptr : &node->second;
}

void FakePeers::Call(const std::string& address,
                     PeerRequest request,
                     Millis timeout,
                     Callback done) {
  // The call completes with the answer or the time-out, whichever is first.
  auto answered = std::make_shared<bool>(false);
  const auto answer = [this, answered, done](std::error_code error,
                                             const PeerReply& reply) {
    executor_.Post([answered, done, error, reply]() {
      if (!*answered) {
        *answered = true;
        done(error, reply);
      }
    });
  };
  const FakeNetwork::Node* found = network_.FindNode(address);
  const bool reachable = found != nullptr && !found->executor->killed() &&
                         !network_.IsPartitioned(address_, address);
  if (!reachable) {
    time_.RunAt(time_.now() + kLatency,
                [answer]() { answer(PeerErrc::kNotSent, PeerReply()); });
    return;
  }
  // A copy, so that a later process at this address does not get the request.
  const FakeNetwork::Node node = *found;
  time_.RunAt(time_.now() + timeout,
              [answer]() { answer(PeerErrc::kNoAnswer, PeerReply()); });
  const bool lose = !std::holds_alternative<Heartbeat>(request) &&
                    network_.ConsumeDroppedReply();
  const Millis delay =
      network_.ConsumeDelayedPlacement(request) ? kLate : kLatency;
  time_.RunAt(time_.now() + delay, [this, node, answer, lose, address,
                                    request = std::move(request)]() {
    node.executor->Post([this, node, answer, lose, address, request]() {
      node.service->Handle(
          request, [this, answer, lose, address](PeerReply reply) {
            if (lose || network_.IsPartitioned(address_, address)) {
              return;
            }
            time_.RunAt(time_.now() + kLatency, [answer, reply]() {
              answer(std::error_code(), reply);
            });
          });
    });
  });
}

// --- Directory and log ------------------------------------------------------

void FakeDirectory::Fetch(Callback done) {
  const bool down = down_;
  executor_.Post([this, down, done]() {
    if (down) {
      done(std::make_error_code(std::errc::host_unreachable), {});
      return;
    }
    done({}, list_);
  });
}

void FakeLog::Write(std::string_view level,
                    std::string_view component,
                    std::string_view message,
                    const Json& fields) {
  trace_.push_back(std::to_string(time_.now_ms()) + " " + name_ + " " +
                   std::string(level) + " " + std::string(component) + " " +
                   std::string(message) + " " + fields.dump());
}

}  // namespace doorwood::fakes
