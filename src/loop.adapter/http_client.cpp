// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/http_client.h"

#include "loop.adapter/http_exchange.h"
#include "loop.adapter/http_open_calls.h"

namespace doorwood {

HttpClient::HttpClient(boost::asio::io_context& context)
    : calls_(std::make_shared<HttpOpenCalls>(context)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, Callback done) {
  std::make_shared<HttpExchange>(calls_, std::move(call), std::move(done))
      ->Begin();
}

void HttpClient::set_on_silence(SilenceHandler handler) {
  calls_->on_silence = std::move(handler);
}

void HttpClient::set_max_response_bytes(size_t bytes) {
  calls_->max_response_bytes = bytes;
}

uint64_t HttpClient::oversized_responses() const {
  return calls_->oversized;
}

uint64_t HttpClient::connect_attempts() const {
  return calls_->connects;
}

const SilentConnectionCounters& HttpClient::silent_connections() const {
  return calls_->silent;
}

bool HttpClient::IsReceiving(std::string_view address,
                             std::string_view in_target) const {
  return calls_->IsReceiving(address, in_target);
}

}  // namespace doorwood
