// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP server for tests of adapters: gives the same answer to each POST.

#ifndef DOORWOOD_HTTP_ADAPTER_ANSWERING_SERVER_H_
#define DOORWOOD_HTTP_ADAPTER_ANSWERING_SERVER_H_

#include <httplib.h>

#include <asio.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "asio.adapter/asio_executor.h"

namespace doorwood {

class AnsweringServer {
 public:
  AnsweringServer() {
    server_.Post(".*",
                 [this](const httplib::Request&, httplib::Response& response) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   response.set_content(answer_, "application/json");
                 });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~AnsweringServer() {
    server_.stop();
    thread_.join();
  }

  AnsweringServer(const AnsweringServer&) = delete;
  AnsweringServer& operator=(const AnsweringServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_answer(std::string answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_ = std::move(answer);
  }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::mutex mutex_;
  std::string answer_;
  std::thread thread_;
};

/// Runs the control thread's functions until `answered` is true.
inline void RunUntil(asio::io_context& context, const bool& answered) {
  constexpr Millis kStep{5};
  while (!answered) {
    context.restart();
    context.run_for(kStep);
  }
}

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_ANSWERING_SERVER_H_
