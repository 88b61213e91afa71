// SPDX-License-Identifier: Apache-2.0

#include "standin/standin.h"

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include "http.adapter/http_call.h"
#include "http.adapter/listening_socket.h"

namespace doorwood::standin {

int64_t MonotonicMillis() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Recorder::Recorder(const std::string& file) {
  if (!file.empty()) {
    out_.open(file, std::ios::app);
  }
}

void Recorder::Write(Json event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  event["t"] = MonotonicMillis();
  if (out_) {
    out_ << event.dump() << std::endl;
  }
}

Server::Server(const ServerOptions& options) : options_(options) {
  http_.new_task_queue = [threads = options.threads]() {
    return new httplib::ThreadPool(threads);
  };
  http_.set_tcp_nodelay(true);
  AllowRestartOnly(http_);
  // An idle connection occupies a thread, and stopping waits for that thread;
  // the keep-alive timeout (in seconds) is therefore short.
  http_.set_keep_alive_timeout(1);
  http_.set_keep_alive_max_count(10'000'000);
}

void Server::AddCall(const std::string& path, Handler handler) {
  http_.Post(path,
             [handler = std::move(handler)](const httplib::Request& request,
                                            httplib::Response& response) {
               const auto body = ParseJson(request.body);
               Reply reply{400, Json{{"error", "not JSON"}}};
               try {
                 if (body) {
                   reply = handler(*body);
                 }
               } catch (const Json::exception& e) {
                 reply = {400, Json{{"error", e.what()}}};
               }
               response.status = reply.status;
               response.set_content(reply.body.dump(), "application/json");
             });
}

int Server::Run() {
  const HostPort address = ParseHostPort(options_.listen);
  int port = address.port;
  bool bound = false;
  if (port == 0) {
    port = http_.bind_to_any_port(address.host.c_str());
    bound = port > 0;
  } else {
    bound = http_.bind_to_port(address.host.c_str(), port);
  }
  if (!bound) {
    std::cerr << "cannot listen on " << options_.listen << "\n";
    return 1;
  }
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  asio::steady_timer lifetime(context,
                              std::chrono::seconds(options_.lifetime_s));
  signals.async_wait([&](const asio::error_code&, int) { context.stop(); });
  lifetime.async_wait([&](const asio::error_code&) { context.stop(); });
  std::thread thread([this]() { http_.listen_after_bind(); });
  std::cout << "listening on " << address.host << ":" << port << std::endl;
  context.run();
  if (on_stop_) {
    on_stop_();
  }
  http_.stop();
  thread.join();
  return 0;
}

}  // namespace doorwood::standin
