// SPDX-License-Identifier: Apache-2.0

// Minimal forwarding hop: measures what forwarding costs with the same HTTP
// library and nothing else. It is the baseline for the router.

#include <httplib.h>

#include <asio.hpp>
#include <csignal>
#include <iostream>
#include <thread>

#include "bench/bench.h"
#include "http.adapter/http_call.h"
#include "http.adapter/listening_socket.h"

namespace doorwood::bench {

int RunHop(const HopOptions& options) {
  httplib::Server server;
  server.new_task_queue = []() { return new httplib::ThreadPool(96); };
  server.set_tcp_nodelay(true);
  AllowRestartOnly(server);
  server.set_keep_alive_max_count(10'000'000);
  server.Post(".*", [&options](const httplib::Request& request,
                               httplib::Response& response) {
    thread_local std::unique_ptr<httplib::Client> client;
    if (!client) {
      const HostPort target = ParseHostPort(options.target);
      client = std::make_unique<httplib::Client>(target.host, target.port);
      client->set_tcp_nodelay(true);
      client->set_keep_alive(true);
    }
    const httplib::Headers headers = {
        {"X-Request-Id", request.get_header_value("X-Request-Id")}};
    const auto result = client->Post(request.target.c_str(), headers,
                                     request.body, "text/plain");
    response.status = result ? result->status : 502;
    response.set_content(result ? result->body : "", "text/plain");
  });
  const HostPort listen = ParseHostPort(options.listen);
  if (!server.bind_to_port(listen.host.c_str(), listen.port)) {
    std::cerr << "cannot listen on " << options.listen << "\n";
    return 1;
  }
  std::thread thread([&server]() { server.listen_after_bind(); });
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  asio::steady_timer lifetime(context,
                              std::chrono::seconds(options.lifetime_s));
  signals.async_wait([&](const asio::error_code&, int) { context.stop(); });
  lifetime.async_wait([&](const asio::error_code&) { context.stop(); });
  context.run();
  server.stop();
  thread.join();
  return 0;
}

}  // namespace doorwood::bench
