// SPDX-License-Identifier: Apache-2.0

/// \file
/// A network link of a given rate between one instance and everything else, in
/// virtual time. Data queues in each direction; a call whose answer comes after
/// its time limit ends without one, although it was carried out.

#ifndef DOORWOOD_FAKES_LIMITED_LINK_H_
#define DOORWOOD_FAKES_LIMITED_LINK_H_

#include <functional>
#include <memory>

#include "doorwood/record_store.h"
#include "doorwood/run_worker.h"
#include "fakes/fakes.h"

namespace doorwood::fakes {

class LimitedLink {
 public:
  LimitedLink(VirtualTime& time, double bytes_per_second)
      : time_(time), bytes_per_second_(bytes_per_second) {}

  /// When so many bytes that are queued now have been transferred.
  Instant Send(size_t bytes) { return Transfer(&sent_until_, bytes); }
  Instant Receive(size_t bytes) { return Transfer(&received_until_, bytes); }
  /// Bytes of start orders that were transferred.
  uint64_t start_bytes() const { return start_bytes_; }
  void CountStart(size_t bytes) { start_bytes_ += bytes; }

 private:
  Instant Transfer(Instant* until, size_t bytes);

  VirtualTime& time_;
  double bytes_per_second_;
  Instant sent_until_{};
  Instant received_until_{};
  uint64_t start_bytes_ = 0;
};

std::unique_ptr<RunWorkerClient> MakeLinkedWorkers(VirtualTime& time,
                                                   FakeExecutor& executor,
                                                   LimitedLink& link,
                                                   RunWorkerClient& workers);
std::unique_ptr<RecordStore> MakeLinkedStore(VirtualTime& time,
                                             FakeExecutor& executor,
                                             LimitedLink& link,
                                             RecordStore& store);

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_LIMITED_LINK_H_
