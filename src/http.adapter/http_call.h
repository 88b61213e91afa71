// SPDX-License-Identifier: Apache-2.0

/// \file
/// Blocking JSON calls over HTTP to the services of the platform, shared by the
/// adapters.

#ifndef DOORWOOD_HTTP_ADAPTER_HTTP_CALL_H_
#define DOORWOOD_HTTP_ADAPTER_HTTP_CALL_H_

#include <httplib.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "doorwood/json_codec.h"
#include "doorwood/types.h"

namespace doorwood {

/// IP address and port, parsed from text such as "127.0.0.1:8080".
struct HostPort {
  std::string host;
  int port = 0;
};

/// Returns port 0 if the text is not an address with a port.
HostPort ParseHostPort(std::string_view address);

enum class CallOutcome {
  /// A complete HTTP response was received.
  kAnswered,
  /// The connection could not be opened; nothing was sent.
  kNotSent,
  /// The request may have been sent, but no complete response was received.
  kNoAnswer,
};

struct CallAnswer {
  CallOutcome outcome = CallOutcome::kNotSent;
  int status = 0;
  Json body;
};

/// Number of calls of one path and the bytes of their headers and bodies,
/// without the overhead of TCP and IP.
struct CallTraffic {
  uint64_t calls = 0;
  uint64_t bytes = 0;
};

/// Pool of idle connections by address. Thread-safe.
class ClientPool {
 public:
  explicit ClientPool(Millis connect_timeout);

  /// Returns a connection for one call: an idle one or a new one. Connections
  /// that were idle for too long are not reused, because the server may be
  /// closing them.
  std::unique_ptr<httplib::Client> Take(const std::string& address);
  /// Returns a connection to the pool after a complete response.
  void Return(const std::string& address,
              std::unique_ptr<httplib::Client> client);

 private:
  struct Idle {
    std::unique_ptr<httplib::Client> client;
    Instant since;
  };

  Millis connect_timeout_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
};

/// Makes calls over persistent connections, one call at a time on each.
/// Thread-safe.
class HttpCaller {
 public:
  HttpCaller(Millis connect_timeout, Millis read_timeout);

  /// Posts a JSON body and blocks until the response arrives or a timeout
  /// elapses. The body of the answer is null if the response is not JSON.
  CallAnswer Post(const std::string& address,
                  const std::string& path,
                  const Json& body);
  /// Like `Post`, but `timeout` replaces the read timeout.
  CallAnswer PostWithTimeout(const std::string& address,
                             const std::string& path,
                             const Json& body,
                             Millis timeout);

  /// Cancels the calls in progress; later calls fail at once.
  void Stop();

  std::map<std::string, CallTraffic> traffic() const;

 private:
  /// Registers a call, so that `Stop` can cancel it. Returns false after
  /// `Stop`.
  bool BeginCall(httplib::Client* client);
  void EndCall(httplib::Client* client);

  Millis read_timeout_;
  ClientPool clients_;
  mutable std::mutex mutex_;
  std::map<std::string, CallTraffic> traffic_;
  std::set<httplib::Client*> active_clients_;
  bool stopped_ = false;
};

/// Returns true if the error of the HTTP library means that nothing was sent.
bool IsNotSent(httplib::Error error);

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_HTTP_CALL_H_
