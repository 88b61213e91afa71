// SPDX-License-Identifier: Apache-2.0

/// \file
/// Thread pool for the HTTP server that bounds the connections served.

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

/// Serves up to `threads` connections at a time, each on a thread of its own,
/// started when first needed. Connections past that are answered by one more
/// thread, on which `IsOverloadThread` is true: the server refuses there.
class BoundedQueue : public httplib::TaskQueue {
 public:
  explicit BoundedQueue(size_t threads);
  ~BoundedQueue() override = default;

  void enqueue(std::function<void()> fn) override;
  void shutdown() override;

  static bool IsOverloadThread();

 private:
  void Serve();
  void Refuse();

  size_t most_threads_;
  std::mutex mutex_;
  std::condition_variable work_;
  std::condition_variable refusals_;
  std::deque<std::function<void()>> queue_;
  std::deque<std::function<void()>> refused_;
  std::vector<std::thread> threads_;
  std::thread refuser_;
  size_t busy_ = 0;
  bool stopping_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_BOUNDED_QUEUE_H_
