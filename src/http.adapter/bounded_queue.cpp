// SPDX-License-Identifier: Apache-2.0

#include "http.adapter/bounded_queue.h"

namespace doorwood {
namespace {

thread_local bool overload_thread = false;

}  // namespace

BoundedQueue::BoundedQueue(size_t threads, std::function<bool()> make_room)
    : max_threads_(threads),
      make_room_(std::move(make_room)),
      refusal_thread_([this]() { RunRefusalThread(); }) {}

void BoundedQueue::enqueue(std::function<void()> fn) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool full = busy_ + queue_.size() >= max_threads_;
  if (full && (queue_.size() >= max_threads_ || !make_room_())) {
    refused_.push_back(std::move(fn));
    refusals_.notify_one();
    return;
  }
  queue_.push_back(std::move(fn));
  const bool idle_thread = threads_.size() >= busy_ + queue_.size();
  if (!idle_thread && threads_.size() < max_threads_) {
    threads_.emplace_back([this]() { RunServingThread(); });
  }
  work_.notify_one();
}

void BoundedQueue::shutdown() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  work_.notify_all();
  refusals_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  refusal_thread_.join();
}

bool BoundedQueue::IsOverloadThread() {
  return overload_thread;
}

void BoundedQueue::RunServingThread() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    work_.wait(lock, [this]() { return stopping_ || !queue_.empty(); });
    if (queue_.empty()) {
      return;
    }
    const std::function<void()> fn = std::move(queue_.front());
    queue_.pop_front();
    ++busy_;
    lock.unlock();
    fn();
    lock.lock();
    --busy_;
  }
}

void BoundedQueue::RunRefusalThread() {
  overload_thread = true;
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    refusals_.wait(lock, [this]() { return stopping_ || !refused_.empty(); });
    if (refused_.empty()) {
      return;
    }
    const std::function<void()> fn = std::move(refused_.front());
    refused_.pop_front();
    lock.unlock();
    fn();
    lock.lock();
  }
}

}  // namespace doorwood
