// SPDX-License-Identifier: Apache-2.0

// Which address is used to reach an incarnation of a worker. Its directory
// entry may be wrong, so an answer of another incarnation counts only at an
// address where this one has answered.

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
    if (std::exchange(other_incarnation_answers_, false)) {
      SchedulePoll(Millis(0));
    }
    return;
  }
  // Leases are extended at the old address until this incarnation answers at
  // the new one.
  life_.address = here;
  if (!next_address_ || next_address_->address != life.address) {
    next_address_ = NextAddress{life.address};
    log_.Write("warn", "worker",
               "directory entry names another address for the worker",
               {{"worker", life_.id}, {"at", here}, {"named", life.address}});
  }
  ProbeNextAddress();
}

void WorkerSession::ProbeNextAddress() {
  if (closed_ || dead_ || next_address_->probe_in_flight) {
    return;
  }
  next_address_->probe_in_flight = true;
  WorkerLife there = life_;
  there.address = next_address_->address;
  HoldOrder order;
  order.token = token_;
  order.last_seen = recorded_end_;
  workers_.Hold(there, order,
                [self = shared_from_this(), address = there.address](
                    std::error_code error, const WorkerReport&) {
                  self->OnNextAddressResponse(address, error);
                });
}

void WorkerSession::OnNextAddressResponse(const std::string& address,
                                          std::error_code error) {
  if (closed_ || dead_ || !next_address_ || next_address_->address != address) {
    return;
  }
  next_address_->probe_in_flight = false;
  if (error) {
    if (!next_address_->failure_logged) {
      next_address_->failure_logged = true;
      log_.Write("warn", "worker",
                 "worker does not answer at the address in its directory entry",
                 {{"worker", life_.id},
                  {"named", address},
                  {"error", error.message()}});
    }
    return;
  }
  log_.Write(
      "info", "worker", "worker answers at its new address",
      {{"worker", life_.id}, {"before", life_.address}, {"at", address}});
  life_.address = address;
  answered_at_ = address;
  next_address_.reset();
  ++version_;
}

void WorkerSession::NoteOtherIncarnation(const std::string& address) {
  if (answered_at_ || other_incarnation_answers_ || life_.address != address) {
    return;
  }
  other_incarnation_answers_ = true;
  log_.Write("warn", "worker",
             "another incarnation answers at the worker's listed address",
             {{"worker", life_.id}, {"named", address}});
}

std::error_code WorkerSession::ClassifyResponse(const std::string& address,
                                                std::error_code error) {
  if (error == make_error_code(RunErrc::kOtherLife) &&
      answered_at_ != address) {
    NoteOtherIncarnation(address);
    return RunErrc::kNoAnswer;
  }
  if (!error && !answered_at_) {
    answered_at_ = address;
    other_incarnation_answers_ = false;
    if (life_.address != address) {
      // The entry changed while the first call was in flight.
      next_address_ = NextAddress{std::exchange(life_.address, address)};
    }
  }
  return error;
}

}  // namespace doorwood
