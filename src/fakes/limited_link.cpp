// SPDX-License-Identifier: Apache-2.0

#include "fakes/limited_link.h"

#include <algorithm>
#include <utility>

namespace doorwood::fakes {
namespace {

constexpr size_t kHeaderBytes = 330;
constexpr size_t kReplyBytes = 220;
constexpr size_t kRunBytes = 80;
constexpr size_t kItemBytes = 120;
constexpr Millis kOrderTimeout{600};
constexpr Millis kLeaseTimeout{700};
constexpr Millis kCommitTimeout{1000};

// Passes a call over the link, and its answer back.
template <typename T>
void CallOverLink(
    VirtualTime& time,
    FakeExecutor& executor,
    LimitedLink& link,
    size_t request_bytes,
    Millis timeout,
    std::error_code on_timeout,
    std::function<size_t(const T&)> reply_bytes,
    std::function<void(std::function<void(std::error_code, T)>)> call,
    std::function<void(std::error_code, T)> done) {
  const auto answered = std::make_shared<bool>(false);
  executor.Schedule(timeout, [answered, on_timeout, done] {
    if (!std::exchange(*answered, true)) {
      done(on_timeout, T{});
    }
  });
  auto deliver = [&time, &executor, &link, answered, done,
                  reply_bytes = std::move(reply_bytes)](std::error_code error,
                                                        T value) {
    const auto delay = std::chrono::ceil<Millis>(
        link.Receive(reply_bytes(value)) - time.now());
    executor.DeliverAnswer(delay,
                           [answered, done, error, value = std::move(value)] {
                             if (!std::exchange(*answered, true)) {
                               done(error, value);
                             }
                           });
  };
  time.RunAt(link.Send(request_bytes),
             [call = std::move(call), deliver = std::move(deliver)] {
               call(deliver);
             });
}

size_t SizeOfReport(const WorkerReport& report) {
  return kReplyBytes + kRunBytes * (report.active.size() + report.ended.size());
}

class LinkedWorkers : public RunWorkerClient {
 public:
  LinkedWorkers(VirtualTime& time,
                FakeExecutor& executor,
                LimitedLink& link,
                RunWorkerClient& workers)
      : time_(time), executor_(executor), link_(link), workers_(workers) {}

  void Poll(const WorkerIncarnation& worker,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    CallOverLink<WorkerReport>(
        time_, executor_, link_, kHeaderBytes, order.max_wait + kOrderTimeout,
        RunErrc::kNoAnswer, SizeOfReport,
        [this, worker, order](Callback<WorkerReport> answer) {
          workers_.Poll(worker, order, std::move(answer));
        },
        std::move(done));
  }
  void Start(const WorkerIncarnation& worker,
             const StartOrder& order,
             Callback<int64_t> done) override {
    const size_t bytes = kHeaderBytes + order.payload.size();
    Order(
        bytes,
        [this, worker, order, bytes](Callback<int64_t> answer) {
          link_.CountStart(bytes);
          workers_.Start(worker, order, std::move(answer));
        },
        std::move(done));
  }
  void Stop(const WorkerIncarnation& worker,
            const StopOrder& order,
            Callback<int64_t> done) override {
    Order(
        kHeaderBytes,
        [this, worker, order](Callback<int64_t> answer) {
          workers_.Stop(worker, order, std::move(answer));
        },
        std::move(done));
  }
  void Pace(const WorkerIncarnation& worker,
            const PaceOrder& order,
            Callback<int64_t> done) override {
    Order(
        kHeaderBytes,
        [this, worker, order](Callback<int64_t> answer) {
          workers_.Pace(worker, order, std::move(answer));
        },
        std::move(done));
  }

 private:
  void Order(size_t bytes,
             std::function<void(Callback<int64_t>)> call,
             Callback<int64_t> done) {
    CallOverLink<int64_t>(
        time_, executor_, link_, bytes, kOrderTimeout, RunErrc::kNoAnswer,
        [](const int64_t&) { return kReplyBytes; }, std::move(call),
        std::move(done));
  }

  VirtualTime& time_;
  FakeExecutor& executor_;
  LimitedLink& link_;
  RunWorkerClient& workers_;
};

size_t SizeOfItems(const std::vector<StoreItem>& items) {
  size_t bytes = kReplyBytes;
  for (const StoreItem& item : items) {
    bytes += kItemBytes + item.key.size() + item.value.size() * 4 / 3;
  }
  return bytes;
}

// Watches are not delayed: they carry little.
class LinkedStore : public RecordStore {
 public:
  LinkedStore(VirtualTime& time,
              FakeExecutor& executor,
              LimitedLink& link,
              RecordStore& store)
      : time_(time), executor_(executor), link_(link), store_(store) {}

  void Get(const std::string& key, Callback<StoreItem> done) override {
    Send<StoreItem>(
        kHeaderBytes, kCommitTimeout,
        [](const StoreItem& item) { return SizeOfItems({item}); },
        [this, key](Callback<StoreItem> answer) {
          store_.Get(key, std::move(answer));
        },
        std::move(done));
  }
  void ReadRevision(const std::string& key, Callback<int64_t> done) override {
    Send<int64_t>(
        kHeaderBytes, kCommitTimeout,
        [](const int64_t&) { return kReplyBytes; },
        [this, key](Callback<int64_t> answer) {
          store_.ReadRevision(key, std::move(answer));
        },
        std::move(done));
  }
  void List(const std::string& prefix, Callback<StoreItems> done) override {
    Send<StoreItems>(
        kHeaderBytes, 2 * kCommitTimeout,
        [](const StoreItems& items) { return SizeOfItems(items.items); },
        [this, prefix](Callback<StoreItems> answer) {
          store_.List(prefix, std::move(answer));
        },
        std::move(done));
  }
  void ListPage(const std::string& prefix,
                const std::string& after,
                Callback<StoreItems> done) override {
    store_.ListPage(prefix, after, std::move(done));
  }
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Callback<StoreItems> done) override {
    store_.Watch(prefix, after, wait, std::move(done));
  }
  void Commit(const StoreTransaction& transaction,
              Callback<StoreCommit> done) override {
    size_t bytes = kHeaderBytes + kItemBytes * transaction.entries();
    for (const StorePut& put : transaction.puts) {
      bytes += put.value.size() * 4 / 3;
    }
    Send<StoreCommit>(
        bytes, kCommitTimeout, [](const StoreCommit&) { return kReplyBytes; },
        [this, transaction](Callback<StoreCommit> answer) {
          store_.Commit(transaction, std::move(answer));
        },
        std::move(done));
  }
  void GrantLease(Millis lifetime, Callback<int64_t> done) override {
    store_.GrantLease(lifetime, std::move(done));
  }
  void RenewLease(int64_t lease, Callback<int64_t> done) override {
    Send<int64_t>(
        kHeaderBytes, kLeaseTimeout, [](const int64_t&) { return kReplyBytes; },
        [this, lease](Callback<int64_t> answer) {
          store_.RenewLease(lease, std::move(answer));
        },
        std::move(done));
  }
  void RevokeLease(int64_t lease, Callback<int64_t> done) override {
    store_.RevokeLease(lease, std::move(done));
  }

 private:
  template <typename T>
  void Send(size_t bytes,
            Millis timeout,
            std::function<size_t(const T&)> reply_bytes,
            std::function<void(Callback<T>)> call,
            Callback<T> done) {
    CallOverLink<T>(time_, executor_, link_, bytes, timeout, KvErrc::kUnknown,
                    std::move(reply_bytes), std::move(call), std::move(done));
  }

  VirtualTime& time_;
  FakeExecutor& executor_;
  LimitedLink& link_;
  RecordStore& store_;
};

}  // namespace

Instant LimitedLink::Transfer(Instant* until, size_t bytes) {
  const std::chrono::duration<double> taken(static_cast<double>(bytes) /
                                            bytes_per_second_);
  *until = std::max(*until, time_.now()) +
           std::chrono::duration_cast<Instant::duration>(taken);
  return *until;
}

std::unique_ptr<RunWorkerClient> MakeLinkedWorkers(VirtualTime& time,
                                                   FakeExecutor& executor,
                                                   LimitedLink& link,
                                                   RunWorkerClient& workers) {
  return std::make_unique<LinkedWorkers>(time, executor, link, workers);
}

std::unique_ptr<RecordStore> MakeLinkedStore(VirtualTime& time,
                                             FakeExecutor& executor,
                                             LimitedLink& link,
                                             RecordStore& store) {
  return std::make_unique<LinkedStore>(time, executor, link, store);
}

}  // namespace doorwood::fakes
