// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON calls over HTTP to the platform's services, shared by the adapters.

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

/// IP number and port, parsed from "127.0.0.1:8080".
struct HostPort {
  std::string host;
  int port = 0;
};

/// Port 0 if the text is not an address.
HostPort ParseHostPort(std::string_view address);

enum class CallFate {
  /// An HTTP answer came, whole.
  kAnswered,
  /// The connection could not be opened; nothing was sent.
  kNotSent,
  /// Sent, and no whole answer came.
  kNoAnswer,
};

struct CallAnswer {
  CallFate fate = CallFate::kNotSent;
  int status = 0;
  Json body;
};

/// Calls and bytes, of headers and bodies, by path. What TCP and IP add is
/// not in it.
struct CallTraffic {
  uint64_t calls = 0;
  uint64_t bytes = 0;
};

/// Idle connections by address; may be used from several threads.
class ClientPool {
 public:
  explicit ClientPool(Millis connect_timeout);

  /// A connection for one call. A connection that idled for long is not used
  /// again: the other side may be closing it just now.
  std::unique_ptr<httplib::Client> Take(const std::string& address);
  /// Gives a connection back after a whole answer.
  void Give(const std::string& address,
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

/// Keeps connections open, one call at a time on each; may be used from
/// several threads.
class HttpCaller {
 public:
  HttpCaller(Millis connect_timeout, Millis read_timeout);

  /// Posts a JSON body and blocks for the JSON answer.
  CallAnswer Post(const std::string& address,
                  const std::string& path,
                  const Json& body);
  /// As `Post`, with a wait of its own instead of the read time-out.
  CallAnswer PostAndWait(const std::string& address,
                         const std::string& path,
                         const Json& body,
                         Millis wait);

  /// Breaks off the calls under way, and all later ones.
  void Stop();

  std::map<std::string, CallTraffic> traffic() const;

 private:
  /// False after `Stop`.
  bool Enter(httplib::Client* client);
  void Exit(httplib::Client* client);

  Millis read_timeout_;
  ClientPool clients_;
  mutable std::mutex mutex_;
  std::map<std::string, CallTraffic> traffic_;
  std::set<httplib::Client*> under_way_;
  bool stopped_ = false;
};

/// True if the library's error means that nothing was sent.
bool IsNotSent(httplib::Error error);

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_HTTP_CALL_H_
