// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_contacts.h"

#include <utility>

namespace doorwood {
namespace {

// Interval at which further workers are contacted while some are waiting.
constexpr Millis kContactInterval{5};

}  // namespace

void WorkerContacts::Add(std::shared_ptr<WorkerSession> session) {
  waiting_.push_back(std::move(session));
  OpenNext();
}

void WorkerContacts::Clear() {
  waiting_.clear();
  contacts_.clear();
  if (timer_ != 0) {
    executor_.Cancel(timer_);
    timer_ = 0;
  }
}

void WorkerContacts::OpenNext() {
  const Instant now = executor_.Now();
  std::erase_if(contacts_, [&](const Contact& contact) {
    return contact.session->fenced() || contact.session->last_poll_failed() ||
           now - contact.began >= options_.patience;
  });
  while (!waiting_.empty() && contacts_.size() < options_.max_contacts) {
    const auto session = std::move(waiting_.front());
    waiting_.pop_front();
    if (!session->closed()) {
      contacts_.push_back({session, now});
      session->Open();
    }
  }
  if (!waiting_.empty() && timer_ == 0) {
    timer_ = executor_.Schedule(kContactInterval, [this] {
      timer_ = 0;
      OpenNext();
    });
  }
}

}  // namespace doorwood
