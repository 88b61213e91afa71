// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sends the requests of callers to backend servers and to other instances over
/// HTTP.

#ifndef DOORWOOD_HTTP_ADAPTER_HTTP_SENDER_H_
#define DOORWOOD_HTTP_ADAPTER_HTTP_SENDER_H_

#include <string>

#include "doorwood/router.h"
#include "http.adapter/http_call.h"

namespace doorwood {

// Headers exchanged with callers, backend servers and other instances. See
// docs/OPERATIONS.md.
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
inline constexpr const char* kDeadlineHeader = "X-Doorwood-Deadline-Ms";
inline constexpr const char* kRepeatableHeader = "X-Doorwood-Repeatable";
inline constexpr const char* kMemberHeader = "X-Doorwood-Member";
inline constexpr const char* kOutcomeHeader = "X-Doorwood-Outcome";
inline constexpr const char* kForwardedHeader = "X-Doorwood-Passed-On";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";
/// Set by a backend server on a 503 response if it refused the request before
/// it began to process it.
inline constexpr const char* kRefusedHeader = "X-Refused-Before-Start";

class HttpSender : public RequestSender {
 public:
  /// `peer_token` is sent with forwarded requests and proves to the receiver
  /// that they come from another instance.
  explicit HttpSender(std::string peer_token);

  AttemptResult Send(const BackendTarget& target,
                     const CallerRequest& request,
                     Millis timeout) override;
  AttemptResult Forward(const PeerTarget& target,
                        const CallerRequest& request,
                        Millis timeout) override;

 private:
  httplib::Result Exchange(const std::string& address,
                           const std::string& path,
                           const CallerRequest& request,
                           const httplib::Headers& headers,
                           Millis timeout);

  std::string peer_token_;
  ClientPool clients_;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_HTTP_SENDER_H_
