// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_open_calls.h"

#include <algorithm>
#include <chrono>

#include "loop.adapter/http_exchange.h"

namespace doorwood {
namespace {

// A long response counts as arriving for so long after its last piece.
constexpr Millis kMaxPieceInterval{250};
// Connections to an address that has answered no new one for so long are
// suspect no longer: each call has its own time limit.
constexpr std::chrono::seconds kMaxSuspicion{60};

}  // namespace

void HttpOpenCalls::Add(HttpExchange* exchange) {
  open_.insert(exchange);
}

void HttpOpenCalls::Remove(HttpExchange* exchange) {
  open_.erase(exchange);
  receiving_.erase(exchange);
}

void HttpOpenCalls::SetReceiving(HttpExchange* exchange, bool receiving) {
  if (receiving) {
    receiving_.insert(exchange);
  } else {
    receiving_.erase(exchange);
  }
}

void HttpOpenCalls::OnSilence(const std::string& address, Instant sent) {
  ++silent.unanswered;
  silent.closed += pool.CloseOlderThan(address, sent);
  const Instant now = BootClock::now();
  std::erase_if(suspect_since_, [now](const auto& entry) {
    return now - entry.second >= kMaxSuspicion;
  });
  Instant& since = suspect_since_[address];
  since = std::max(since, sent);
}

void HttpOpenCalls::OnNewConnectionAnswered(const std::string& address) {
  const auto suspect = suspect_since_.extract(address);
  if (suspect.empty()) {
    return;
  }
  const Instant sent = suspect.mapped();
  const auto resent = static_cast<size_t>(
      std::count_if(open_.begin(), open_.end(), [&](HttpExchange* exchange) {
        return exchange->ResendIfOlderThan(address, sent);
      }));
  ++silent.confirmed;
  silent.resent += resent;
  if (on_silence) {
    on_silence({address,
                std::chrono::duration_cast<Millis>(BootClock::now() - sent),
                resent});
  }
}

bool HttpOpenCalls::HasRoom(size_t bytes) const {
  return response_bytes <= max_response_bytes ||
         bytes <= max_response_bytes / std::max<size_t>(receiving_.size(), 1);
}

bool HttpOpenCalls::IsReceiving(std::string_view address,
                                std::string_view in_target) const {
  const Instant now = BootClock::now();
  return std::any_of(
      receiving_.begin(), receiving_.end(), [&](const HttpExchange* exchange) {
        const HttpCall& call = exchange->call();
        return now - exchange->last_piece_at() < kMaxPieceInterval &&
               (address.empty() || call.address == address) &&
               call.target.find(in_target) != std::string::npos;
      });
}

}  // namespace doorwood
