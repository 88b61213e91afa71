// SPDX-License-Identifier: Apache-2.0

// Stand-in for a backend server of a latency-critical service. Answers
// "NAME ran REQUEST-ID: BODY". A request's `ms` parameter sets how long it
// runs. Faults: cut (so many more answers break off in the middle).

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
      Note("refused", id);
      response.status = kUnavailable;
      response.set_header(kRefusedHeader, "yes");
      response.set_content("no free slot\n", "text/plain");
      return;
    }
    Note("run", id);
    Work(request);
    busy_.fetch_sub(1);
    Note("ran", id);
    std::string body = role_.name + " ran " + id + ": " + request.body;
    if (TakeCut()) {
      CutOff(std::move(body), response);
      return;
    }
    response.set_content(body, "text/plain");
  }

  Reply Fault(const Json& call) {
    cut_ = call.value("cut", 0);
    return {};
  }

 private:
  void Note(const char* event, const std::string& id) {
    recorder_.Write(
        {{"event", event}, {"backend", role_.name}, {"request", id}});
  }

  void Work(const httplib::Request& request) const {
    int millis = role_.latency_ms;
    if (request.has_param("ms")) {
      millis = std::atoi(request.get_param_value("ms").c_str());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
  }

  bool TakeCut() {
    int left = cut_;
    while (left > 0 && !cut_.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
  }

  // Promises more than it sends.
  static void CutOff(std::string body, httplib::Response& response) {
    const size_t promised = body.size() * 2;
    response.set_content_provider(
        promised, "text/plain",
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
  std::atomic<int> cut_ = 0;
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
                 [&](const Json& body) { return backend.Fault(body); });
  server.http().Get(".*", serve);
  server.http().Post(".*", serve);
  server.http().Put(".*", serve);
  server.http().Delete(".*", serve);
  return server.Run();
}

}  // namespace doorwood::standin
