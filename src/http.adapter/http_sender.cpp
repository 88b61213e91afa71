// SPDX-License-Identifier: Apache-2.0

#include "http.adapter/http_sender.h"

#include <algorithm>

namespace doorwood {
namespace {

constexpr Millis kConnectTimeout{300};
constexpr int kUnavailable = 503;

httplib::Headers HeadersOf(const CallerRequest& request) {
  httplib::Headers headers;
  for (const HttpHeader& header : request.headers) {
    headers.emplace(header.name, header.value);
  }
  headers.emplace(kRequestIdHeader, request.id);
  if (!request.idempotency_key.empty()) {
    headers.emplace(kIdempotencyHeader, request.idempotency_key);
  }
  return headers;
}

// Returns true for hop-by-hop headers and for headers that the library sets
// itself.
bool IsHopHeader(const std::string& name) {
  constexpr const char* kHop[] = {"connection",     "keep-alive",
                                  "content-length", "transfer-encoding",
                                  "content-type",   "local_addr"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return std::any_of(std::begin(kHop), std::end(kHop),
                     [&](const char* hop) { return lower == hop; });
}

// Returns true if the body is known to be complete. Without a declared length
// the library cannot distinguish a complete body from a truncated one.
bool IsComplete(const httplib::Response& response, const std::string& method) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool bodiless = method == "HEAD" || response.status == kNoContent ||
                        response.status == kNotModified;
  return bodiless || response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding");
}

CallerResponse ResponseOf(const httplib::Response& response) {
  CallerResponse answer;
  answer.outcome = RequestOutcome::kAnswered;
  answer.status = response.status;
  answer.body = response.body;
  answer.content_type = response.get_header_value("Content-Type");
  for (const auto& [name, value] : response.headers) {
    if (!IsHopHeader(name)) {
      answer.headers.push_back({name, value});
    }
  }
  return answer;
}

AttemptOutcome OutcomeOfFailure(httplib::Error error) {
  return IsNotSent(error) ? AttemptOutcome::kNotSent : AttemptOutcome::kUnknown;
}

}  // namespace

HttpSender::HttpSender(std::string peer_token)
    : peer_token_(std::move(peer_token)), clients_(kConnectTimeout) {}

httplib::Result HttpSender::Exchange(const std::string& address,
                                     const std::string& path,
                                     const CallerRequest& request,
                                     const httplib::Headers& headers,
                                     Millis timeout) {
  std::unique_ptr<httplib::Client> client = clients_.Take(address);
  client->set_read_timeout(timeout);
  client->set_write_timeout(timeout);
  httplib::Request message;
  message.method = request.method;
  message.path = path;
  message.headers = headers;
  message.body = request.body;
  if (!request.content_type.empty()) {
    message.set_header("Content-Type", request.content_type);
  }
  httplib::Result result = client->send(message);
  if (result) {
    clients_.Return(address, std::move(client));
  }
  return result;
}

AttemptResult HttpSender::Send(const BackendTarget& target,
                               const CallerRequest& request,
                               Millis timeout) {
  const httplib::Result result = Exchange(target.address, request.path, request,
                                          HeadersOf(request), timeout);
  if (!result) {
    return {.outcome = OutcomeOfFailure(result.error())};
  }
  const bool refused =
      result->status == kUnavailable && result->has_header(kRefusedHeader);
  if (refused) {
    return {.outcome = AttemptOutcome::kRefused};
  }
  if (!IsComplete(*result, request.method)) {
    return {.outcome = AttemptOutcome::kUnknown};
  }
  return {AttemptOutcome::kAnswered, ResponseOf(*result)};
}

AttemptResult HttpSender::Forward(const PeerTarget& target,
                                  const CallerRequest& request,
                                  Millis timeout) {
  httplib::Headers headers = HeadersOf(request);
  headers.emplace(kForwardedHeader, peer_token_);
  headers.emplace(kDeadlineHeader, std::to_string(timeout.count()));
  headers.emplace(kRepeatableHeader, request.repeatable ? "yes" : "no");
  headers.emplace(kMemberHeader, request.member);
  const httplib::Result result =
      Exchange(target.address, "/svc/" + request.service + request.path,
               request, headers, timeout);
  if (!result) {
    return {.outcome = OutcomeOfFailure(result.error())};
  }
  const std::string outcome = result->get_header_value(kOutcomeHeader);
  if (outcome == ToString(RequestOutcome::kNotRun)) {
    return {.outcome = AttemptOutcome::kRefused};
  }
  const bool reported_unknown = outcome == ToString(RequestOutcome::kUnknown);
  if (!reported_unknown && outcome != ToString(RequestOutcome::kAnswered)) {
    return {.outcome = AttemptOutcome::kUnknown};
  }
  AttemptResult answered{AttemptOutcome::kAnswered, ResponseOf(*result)};
  if (reported_unknown) {
    // The other instance reports that the outcome of the request is unknown.
    // Its report is a complete response, so the request is not sent again.
    answered.response.outcome = RequestOutcome::kUnknown;
  }
  std::erase_if(answered.response.headers, [](const HttpHeader& header) {
    return header.name == kOutcomeHeader || header.name == kRequestIdHeader;
  });
  return answered;
}

}  // namespace doorwood
