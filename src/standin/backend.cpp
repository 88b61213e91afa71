// SPDX-License-Identifier: Apache-2.0

// Stand-in for a backend server of a latency-critical service. Replies
// "NAME ran REQUEST-ID: BODY". A request's `ms` parameter sets how long it
// runs. Fault: `cut` (number of further replies that are truncated).

#include <atomic>
#include <chrono>
#include <thread>

#include "http.adapter/http_sender.h"
#include "standin/standin.h"

namespace doorwood::standin {
namespace {

constexpr int kUnavailable = 503;

class Backend {
 public:
  Backend(const BackendRole& role, Recorder& recorder)
      : role_(role), recorder_(recorder) {}

  void Serve(const httplib::Request& request, httplib::Response& response) {
    const std::string id = request.get_header_value(kRequestIdHeader);
    if (busy_.fetch_add(1) >= role_.slots) {
      busy_.fetch_sub(1);
      RecordEvent("refused", id);
      response.status = kUnavailable;
      response.set_header(kRefusedHeader, "yes");
      response.set_content("no free slot\n", "text/plain");
      return;
    }
    RecordEvent("run", id);
    SimulateWork(request);
    busy_.fetch_sub(1);
    RecordEvent("ran", id);
    std::string body = role_.name + " ran " + id + ": " + request.body;
    if (ConsumeTruncation()) {
      SendTruncated(std::move(body), response);
      return;
    }
    response.set_content(body, "text/plain");
  }

  Reply SetFault(const Json& call) {
    truncations_left_ = call.value("cut", 0);
    return {};
  }

 private:
  void RecordEvent(const char* event, const std::string& id) {
    recorder_.Write(
        {{"event", event}, {"backend", role_.name}, {"request", id}});
  }

  void SimulateWork(const httplib::Request& request) const {
    int millis = role_.latency_ms;
    if (request.has_param("ms")) {
      millis = std::atoi(request.get_param_value("ms").c_str());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
  }

  bool ConsumeTruncation() {
    int left = truncations_left_;
    while (left > 0 &&
           !truncations_left_.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
  }

  // Announces twice the length of the body, so that the reply is truncated.
  static void SendTruncated(std::string body, httplib::Response& response) {
    const size_t announced_length = body.size() * 2;
    response.set_content_provider(
        announced_length, "text/plain",
        [body](size_t offset, size_t, httplib::DataSink& sink) {
          if (offset > 0) {
            return false;
          }
          sink.write(body.data(), body.size());
          return true;
        });
  }

  BackendRole role_;
  Recorder& recorder_;
  std::atomic<int> busy_ = 0;
  std::atomic<int> truncations_left_ = 0;
};

}  // namespace

int RunBackend(const BackendRole& role) {
  Server server(role.server);
  Recorder recorder(role.server.record);
  Backend backend(role, recorder);
  const auto serve = [&](const httplib::Request& request,
                         httplib::Response& response) {
    backend.Serve(request, response);
  };
  server.AddCall("/fault",
                 [&](const Json& body) { return backend.SetFault(body); });
  server.http().Get(".*", serve);
  server.http().Post(".*", serve);
  server.http().Put(".*", serve);
  server.http().Delete(".*", serve);
  return server.Run();
}

}  // namespace doorwood::standin
