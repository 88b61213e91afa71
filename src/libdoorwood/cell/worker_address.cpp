// SPDX-License-Identifier: Apache-2.0

// Which address is used to reach an incarnation of a worker. Its directory
// entry may be wrong. The answer of another incarnation therefore proves that
// this one has ended only at an address at which this one has answered before.

#include <utility>

#include "doorwood/worker_session.h"

namespace doorwood {

void WorkerSession::MarkVerified() {
  answered_at_ = incarnation_.address;
  answered_started_at_ = incarnation_.started_at;
}

void WorkerSession::UpdateFromDirectory(const WorkerIncarnation& incarnation) {
  const std::string here = incarnation_.address;
  incarnation_ = incarnation;
  ++version_;
  if (incarnation.address == here) {
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
  incarnation_.address = here;
  if (!next_address_ || next_address_->address != incarnation.address) {
    next_address_ = NextAddress{incarnation.address};
    log_.Write("warn", "worker",
               "directory entry names another address for the worker",
               {{"worker", incarnation_.id},
                {"at", here},
                {"named", incarnation.address}});
  }
  ProbeNextAddress();
}

void WorkerSession::ProbeNextAddress() {
  if (closed_ || dead_ || next_address_->probe_in_flight) {
    return;
  }
  next_address_->probe_in_flight = true;
  WorkerIncarnation there = incarnation_;
  there.address = next_address_->address;
  PollOrder order;
  order.token = token_;
  workers_.Poll(there, order,
                [self = shared_from_this(), address = there.address](
                    std::error_code error, const WorkerReport& report) {
                  self->OnNextAddressResponse(address, error, report);
                });
}

void WorkerSession::OnNextAddressResponse(const std::string& address,
                                          std::error_code error,
                                          const WorkerReport& report) {
  if (closed_ || dead_ || !next_address_ || next_address_->address != address) {
    return;
  }
  next_address_->probe_in_flight = false;
  if (error) {
    if (!next_address_->failure_logged) {
      next_address_->failure_logged = true;
      log_.Write("warn", "worker",
                 "poll failed at the address in the worker's directory entry",
                 {{"worker", incarnation_.id},
                  {"named", address},
                  {"error", error.message()}});
    }
    return;
  }
  switch (SenderOf(report, /*clock_at_send=*/0)) {
    case Sender::kThis:
      break;
    case Sender::kEarlier:
      return;
    case Sender::kNext:
      MarkRestarted(address, report.started_at);
      return;
  }
  log_.Write("info", "worker", "worker answers at its new address",
             {{"worker", incarnation_.id},
              {"before", incarnation_.address},
              {"at", address}});
  incarnation_.address = address;
  answered_at_ = address;
  next_address_.reset();
  ++version_;
}

void WorkerSession::NoteOtherIncarnation(const std::string& address) {
  if (answered_at_ || other_incarnation_answers_ ||
      incarnation_.address != address) {
    return;
  }
  other_incarnation_answers_ = true;
  log_.Write("warn", "worker",
             "another incarnation answers at the worker's listed address",
             {{"worker", incarnation_.id}, {"named", address}});
}

std::error_code WorkerSession::ClassifyResponse(const std::string& address,
                                                std::error_code error) {
  if (error == make_error_code(RunErrc::kOtherIncarnation) &&
      answered_at_ != address) {
    NoteOtherIncarnation(address);
    return RunErrc::kNoAnswer;
  }
  if (!error && !answered_at_) {
    answered_at_ = address;
    other_incarnation_answers_ = false;
    if (incarnation_.address != address) {
      // The entry changed while the call was in flight. The address now listed
      // has to be verified before it is used.
      next_address_ = NextAddress{std::exchange(incarnation_.address, address)};
    }
  }
  return error;
}

}  // namespace doorwood
