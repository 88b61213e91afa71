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
/// threads are started when first needed. Further connections are handled by
/// one extra thread, on which `IsOverloadThread` returns true and the server
/// refuses every request.
class BoundedQueue : public httplib::TaskQueue {
 public:
  explicit BoundedQueue(size_t threads);
  ~BoundedQueue() override = default;

  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

  /// Returns true on the thread that refuses connections above the limit.
  static bool IsOverloadThread();

 private:
  void RunServingThread();
  void RunRefusalThread();

  size_t max_threads_;
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
