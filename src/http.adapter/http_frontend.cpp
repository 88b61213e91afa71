// SPDX-License-Identifier: Apache-2.0

#include "http.adapter/http_frontend.h"

#include <algorithm>
#include <charconv>
#include <future>
#include <memory>
#include <random>
#include <stdexcept>

#include "doorwood/secret.h"
#include "http.adapter/bounded_queue.h"
#include "http.adapter/http_sender.h"
#include "http.adapter/listening_socket.h"

namespace doorwood {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr time_t kKeepAliveSeconds = 5;
constexpr time_t kReadWriteTimeoutSeconds = 10;
constexpr const char* kJsonType = "application/json";

int64_t ParseNumber(const std::string& text, int64_t fallback) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const bool valid = result.ec == std::errc() && result.ptr == end;
  return valid ? value : fallback;
}

// Returns true for headers that are not forwarded to backend servers.
bool IsNotForwarded(const std::string& name) {
  constexpr const char* kNotForwarded[] = {"host",
                                           "connection",
                                           "keep-alive",
                                           "content-length",
                                           "content-type",
                                           "transfer-encoding",
                                           "authorization",
                                           "remote_addr",
                                           "remote_port",
                                           "local_addr",
                                           "local_port",
                                           "accept-encoding",
                                           "x-request-id",
                                           "x-doorwood-passed-on",
                                           "user-agent",
                                           "expect",
                                           "x-doorwood-deadline-ms",
                                           "x-doorwood-member",
                                           "x-doorwood-repeatable",
                                           "idempotency-key"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return std::any_of(std::begin(kNotForwarded), std::end(kNotForwarded),
                     [&](const char* known) { return lower == known; });
}

Json ErrorBody(std::string_view error) {
  return Json{{"error", error}, {"outcome", "not-done"}};
}

}  // namespace

HttpFrontend::HttpFrontend(const HttpFrontendOptions& options,
                           Router& router,
                           HttpFrontendEnvironment& environment,
                           EventLog& log)
    : options_(options), router_(router), environment_(environment), log_(log) {
  request_prefix_ = std::to_string(std::random_device()()) + "-";
  server_.new_task_queue = [this]() {
    return new BoundedQueue(options_.connections,
                            [this] { return server_.CloseLongestWaiting(); });
  };
  server_.set_tcp_nodelay(true);
  server_.set_payload_max_length(options_.max_body_bytes);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_keep_alive_max_count(1'000'000);
  server_.set_read_timeout(kReadWriteTimeoutSeconds);
  server_.set_write_timeout(kReadWriteTimeoutSeconds);
  RequestLimits limits;
  limits.body_bytes = options_.max_body_bytes;
  limits.total_body_bytes = options_.total_body_bytes;
  limits.max_connections = options_.connections;
  limits.timeout = std::chrono::seconds(kReadWriteTimeoutSeconds);
  server_.set_limits(limits);
  AddRoutes();
  AddOperatorRoutes();
  AllowRestartOnly(server_);
  const size_t colon = options_.listen.rfind(':');
  const std::string host = options_.listen.substr(0, colon);
  const auto port =
      static_cast<int>(ParseNumber(options_.listen.substr(colon + 1), -1));
  if (port == 0) {
    port_ = server_.bind_to_any_port(host.c_str());
  } else if (server_.bind_to_port(host.c_str(), port)) {
    port_ = port;
  }
  if (port_ <= 0) {
    throw std::runtime_error("cannot listen on " + options_.listen);
  }
  thread_ = std::thread([this]() { server_.listen_after_bind(); });
}

HttpFrontend::~HttpFrontend() {
  Stop();
}

void HttpFrontend::Stop() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

// --- Routes -----------------------------------------------------------------

void HttpFrontend::AddRoutes() {
  server_.set_pre_routing_handler(
      [](const httplib::Request&, httplib::Response& response) {
        if (!BoundedQueue::IsOverloadThread()) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        response.status = kUnavailable;
        response.set_header("Retry-After", "1");
        response.set_header("Connection", "close");
        response.set_header(kOutcomeHeader,
                            std::string(ToString(RequestOutcome::kNotRun)));
        response.set_content("not run: too many connections\n", "text/plain");
        return httplib::Server::HandlerResponse::Handled;
      });
  const auto caller = [this](const httplib::Request& request,
                             httplib::Response& response) {
    OnCaller(request, response);
  };
  constexpr const char* kServicePath = "/svc/([^/]+)(/.*)?";
  server_.Get(kServicePath, caller);
  server_.Post(kServicePath, caller);
  server_.Put(kServicePath, caller);
  server_.Patch(kServicePath, caller);
  server_.Delete(kServicePath, caller);
  server_.Get("/healthz",
              [](const httplib::Request&, httplib::Response& response) {
                response.set_content("ok\n", "text/plain");
              });
  server_.Get(
      "/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = environment_.ready();
        response.status = ready ? 200 : kUnavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
      });
  server_.Get("/metrics", [this](const httplib::Request&,
                                 httplib::Response& response) {
    response.set_content(environment_.Metrics(), "text/plain; version=0.0.4");
  });
}

void HttpFrontend::AddOperatorRoutes() {
  // The body of a POST is forwarded unchanged; the core validates its fields.
  const auto post = [this](const char* path, const std::string& method) {
    server_.Post(path, [this, method](const httplib::Request& request,
                                      httplib::Response& response) {
      const auto body = ParseJson(request.body.empty() ? "{}" : request.body);
      OnOperator(method, body.value_or(Json()), request, response);
    });
  };
  const auto get = [this](const char* path, const std::string& method) {
    server_.Get(path, [this, method](const httplib::Request& request,
                                     httplib::Response& response) {
      Json body = Json::object();
      for (const auto& [name, value] : request.params) {
        body[name] = value;
      }
      OnOperator(method, body, request, response);
    });
  };
  post("/v1/config", "config.apply");
  get("/v1/config", "config.get");
  get("/v1/config/history", "config.history");
  post("/v1/jobs", "submit");
  get("/v1/jobs", "jobs");
  get("/v1/job", "job.show");
  post("/v1/job/cancel", "job.cancel");
  get("/v1/workers", "workers");
  post("/v1/workers/drain", "drain");
  get("/v1/status", "status");
  get("/v1/explain", "explain");
  get("/v1/burn", "burn");
}

// --- Operators --------------------------------------------------------------

bool HttpFrontend::IsOperator(const httplib::Request& request) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string given = request.get_header_value("Authorization");
  const std::string_view view = given;
  return view.starts_with(kScheme) &&
         SecretsEqual(view.substr(kScheme.size()), options_.operator_token);
}

void HttpFrontend::OnOperator(const std::string& method,
                              const Json& body,
                              const httplib::Request& request,
                              httplib::Response& response) {
  if (!IsOperator(request)) {
    log_.Write("warn", "front", "operator call without a valid token rejected",
               {{"method", method}, {"from", request.remote_addr}});
    response.status = kUnauthorized;
    response.set_header("WWW-Authenticate", "Bearer");
    response.set_content(ErrorBody("a valid bearer token is needed").dump(),
                         kJsonType);
    return;
  }
  auto promise = std::make_shared<std::promise<OperatorReply>>();
  std::future<OperatorReply> reply = promise->get_future();
  environment_.HandleOperatorCall({method, body.dump()},
                                  [promise](OperatorReply answer) {
                                    promise->set_value(std::move(answer));
                                  });
  if (reply.wait_for(options_.operator_timeout) != std::future_status::ready) {
    response.status = kGatewayTimeout;
    response.set_content(Json{{"error",
                               "the call timed out and its outcome is unknown; "
                               "retry with the same id"},
                              {"outcome", "unknown"}}
                             .dump(),
                         kJsonType);
    return;
  }
  const OperatorReply answer = reply.get();
  response.status = answer.status;
  const auto json = ParseJson(answer.body);
  if (json && json->is_object() && json->contains("retry_after")) {
    response.set_header("Retry-After",
                        std::to_string(json->value("retry_after", 1)));
  }
  response.set_content(answer.body, kJsonType);
}

// --- Callers ----------------------------------------------------------------

CallerRequest HttpFrontend::ParseCaller(const httplib::Request& request) const {
  CallerRequest caller;
  caller.service = request.matches[1];
  caller.path = request.matches[2].matched ? request.matches[2].str() : "/";
  const size_t query = request.target.find('?');
  if (query != std::string::npos) {
    caller.path += request.target.substr(query);
  }
  caller.method = request.method;
  caller.body = request.body;
  caller.content_type = request.get_header_value("Content-Type");
  caller.member = request.get_header_value(kMemberHeader);
  caller.idempotency_key = request.get_header_value(kIdempotencyHeader);
  caller.id = request.get_header_value(kRequestIdHeader);
  const std::string repeatable = request.get_header_value(kRepeatableHeader);
  const bool safe = request.method == "GET" || request.method == "HEAD";
  caller.repeatable = repeatable.empty() ? safe : repeatable == "yes";
  caller.forwarded = SecretsEqual(request.get_header_value(kForwardedHeader),
                                  options_.peer_token);
  const int64_t requested_ms =
      ParseNumber(request.get_header_value(kDeadlineHeader),
                  options_.default_deadline.count());
  const Millis deadline =
      std::clamp(Millis(requested_ms), Millis(1), options_.max_deadline);
  caller.deadline = BootClock::now() + deadline;
  for (const auto& [name, value] : request.headers) {
    if (!IsNotForwarded(name)) {
      caller.headers.push_back({name, value});
    }
  }
  return caller;
}

void HttpFrontend::OnCaller(const httplib::Request& request,
                            httplib::Response& response) {
  CallerRequest caller = ParseCaller(request);
  if (caller.id.empty()) {
    caller.id = request_prefix_ + std::to_string(++next_request_);
  }
  const CallerResponse answer = router_.Handle(caller);
  response.status = answer.status;
  for (const HttpHeader& header : answer.headers) {
    response.set_header(header.name.c_str(), header.value);
  }
  response.set_header(kOutcomeHeader, std::string(ToString(answer.outcome)));
  response.set_header(kRequestIdHeader, caller.id);
  if (answer.retry_after > 0) {
    response.set_header("Retry-After", std::to_string(answer.retry_after));
  }
  response.set_content(answer.body, answer.content_type.c_str());
}

}  // namespace doorwood
