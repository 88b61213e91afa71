// SPDX-License-Identifier: Apache-2.0

/// \file
/// Thread pool of the HTTP server that limits the number of connections served
/// at a time.

#ifndef DOORWOOD_HTTP_ADAPTER_BOUNDED_QUEUE_H_
#define DOORWOOD_HTTP_ADAPTER_BOUNDED_QUEUE_H_

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace doorwood {

/// Serves up to `threads` connections at a time, each on its own thread;
/// threads are started when first needed. For a further connection, `make_room`
/// is to end another one; if it returns false, the connection is handled by
/// one extra thread, on which `IsOverloadThread` returns true and the server
/// refuses every request.
class BoundedQueue : public httplib::TaskQueue {
 public:
  BoundedQueue(size_t threads, std::function<bool()> make_room);
  ~BoundedQueue() override = default;

  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

  /// Returns true on the thread that refuses connections above the limit.
  static bool IsOverloadThread();

 private:
  void RunServingThread();
  void RunRefusalThread();

  size_t max_threads_;
  std::function<bool()> make_room_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable refusals_;
  std::deque<std::function<void()>> queue_;
  std::deque<std::function<void()>> refused_;
  std::vector<std::thread> threads_;
  std::thread refusal_thread_;
  size_t busy_ = 0;
  bool stopping_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_BOUNDED_QUEUE_H_
