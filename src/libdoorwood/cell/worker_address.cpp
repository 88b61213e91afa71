// SPDX-License-Identifier: Apache-2.0

// At which address a life of a worker is called. Its entry in the directory may
// be wrong: another life's word counts only where this one has answered.

#include <utility>

#include "doorwood/worker_session.h"

namespace doorwood {

void WorkerSession::TrustAddress() {
  answered_at_ = life_.address;
}

void WorkerSession::Update(const WorkerLife& life) {
  const std::string here = life_.address;
  life_ = life;
  ++version_;
  if (life.address == here) {
    next_address_.reset();
    return;
  }
  if (!answered_at_) {
    if (std::exchange(stranger_answers_, false)) {
      ScheduleLook(Millis(0));
    }
    return;
  }
  // What runs here is prolonged here until this life answers there.
  life_.address = here;
  if (!next_address_ || next_address_->address != life.address) {
    next_address_ = NextAddress{life.address};
    log_.Write("warn", "worker", "an entry names another address",
               {{"worker", life_.id}, {"at", here}, {"named", life.address}});
  }
  AskNextAddress();
}

void WorkerSession::AskNextAddress() {
  if (closed_ || dead_ || next_address_->asked) {
    return;
  }
  next_address_->asked = true;
  WorkerLife there = life_;
  there.address = next_address_->address;
  HoldOrder order;
  order.token = token_;
  order.last_seen = recorded_end_;
  workers_.Hold(there, order,
                [self = shared_from_this(), address = there.address](
                    std::error_code error, const WorkerReport&) {
                  self->OnNextAddress(address, error);
                });
}

void WorkerSession::OnNextAddress(const std::string& address,
                                  std::error_code error) {
  if (closed_ || dead_ || !next_address_ || next_address_->address != address) {
    return;
  }
  next_address_->asked = false;
  if (error) {
    if (!next_address_->failure_told) {
      next_address_->failure_told = true;
      log_.Write("warn", "worker", "this life does not answer where it is said",
                 {{"worker", life_.id},
                  {"named", address},
                  {"error", error.message()}});
    }
    return;
  }
  log_.Write(
      "info", "worker", "a worker answers at another address",
      {{"worker", life_.id}, {"before", life_.address}, {"at", address}});
  life_.address = address;
  answered_at_ = address;
  next_address_.reset();
  ++version_;
}

void WorkerSession::NoteStranger(const std::string& address) {
  if (answered_at_ || stranger_answers_ || life_.address != address) {
    return;
  }
  stranger_answers_ = true;
  log_.Write("warn", "worker", "another life answers where this one is said",
             {{"worker", life_.id}, {"named", address}});
}

std::error_code WorkerSession::JudgeAnswer(const std::string& address,
                                           std::error_code error) {
  if (error == make_error_code(RunErrc::kOtherLife) &&
      answered_at_ != address) {
    NoteStranger(address);
    return RunErrc::kNoAnswer;
  }
  if (!error && !answered_at_) {
    answered_at_ = address;
    stranger_answers_ = false;
    if (life_.address != address) {
      // The entry changed while the first call was out.
      next_address_ = NextAddress{std::exchange(life_.address, address)};
    }
  }
  return error;
}

}  // namespace doorwood
