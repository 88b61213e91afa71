// SPDX-License-Identifier: Apache-2.0

#include "http_call.h"

#include <charconv>

#include "doorwood/lenient_json.h"

namespace doorwood {
namespace {

constexpr size_t kMaxIdlePerAddress = 64;
// Shorter than the keep-alive timeout of common servers.
constexpr Millis kMaxIdleTime{3000};
constexpr int kHighestPort = 65535;

// Bytes that the library sends besides the path, the address, the content
// length and the body: the method, the version, and the headers Accept,
// Connection, Content-Length, Content-Type, Host and User-Agent.
constexpr uint64_t kFixedRequestBytes = 155;
constexpr uint64_t kStatusLineBytes = 19;
// ": " and the line end.
constexpr uint64_t kHeaderExtraBytes = 4;

uint64_t RequestBytes(const std::string& address,
                      const std::string& path,
                      const std::string& body) {
  return kFixedRequestBytes + address.size() + path.size() +
         std::to_string(body.size()).size() + body.size();
}

uint64_t ResponseBytes(const httplib::Response& response) {
  uint64_t bytes = kStatusLineBytes + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size() + kHeaderExtraBytes;
  }
  return bytes;
}

}  // namespace

HostPort ParseHostPort(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  int port = 0;
  const char* end = address.data() + address.size();
  const auto result = std::from_chars(address.data() + colon + 1, end, port);
  const bool valid = result.ec == std::errc() && result.ptr == end &&
                     port >= 0 && port <= kHighestPort;
  if (!valid) {
    return {};
  }
  return {std::string(address.substr(0, colon)), port};
}

bool IsNotSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::BindIPAddress;
}

// --- Connections ------------------------------------------------------------

ClientPool::ClientPool(Millis connect_timeout)
    : connect_timeout_(connect_timeout) {}

std::unique_ptr<httplib::Client> ClientPool::Take(const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[address];
    const Instant oldest = BootClock::now() - kMaxIdleTime;
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (last.since >= oldest) {
        return std::move(last.client);
      }
    }
  }
  const HostPort target = ParseHostPort(address);
  auto client = std::make_unique<httplib::Client>(target.host, target.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_connection_timeout(connect_timeout_);
  return client;
}

void ClientPool::Return(const std::string& address,
                        std::unique_ptr<httplib::Client> client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({std::move(client), BootClock::now()});
  }
}

// --- JSON calls -------------------------------------------------------------

HttpCaller::HttpCaller(Millis connect_timeout, Millis read_timeout)
    : read_timeout_(read_timeout), clients_(connect_timeout) {}

CallAnswer HttpCaller::Post(const std::string& address,
                            const std::string& path,
                            const Json& body) {
  return PostWithTimeout(address, path, body, read_timeout_);
}

CallAnswer HttpCaller::PostWithTimeout(const std::string& address,
                                       const std::string& path,
                                       const Json& body,
                                       Millis timeout) {
  std::unique_ptr<httplib::Client> client = clients_.Take(address);
  client->set_read_timeout(timeout);
  client->set_write_timeout(read_timeout_);
  const std::string text = body.dump();
  CallAnswer answer;
  if (!BeginCall(client.get())) {
    return answer;
  }
  const httplib::Result result =
      client->Post(path.c_str(), text, "application/json");
  EndCall(client.get());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    CallTraffic& traffic = traffic_[path];
    ++traffic.calls;
    traffic.bytes += RequestBytes(address, path, text);
    if (result) {
      traffic.bytes += ResponseBytes(*result);
    }
  }
  if (!result) {
    answer.outcome = IsNotSent(result.error()) ? CallOutcome::kNotSent
                                               : CallOutcome::kNoAnswer;
    return answer;
  }
  answer.outcome = CallOutcome::kAnswered;
  answer.status = result->status;
  answer.body = ParseJsonLeniently(result->body).value_or(Json());
  clients_.Return(address, std::move(client));
  return answer;
}

bool HttpCaller::BeginCall(httplib::Client* client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) {
    return false;
  }
  active_clients_.insert(client);
  return true;
}

void HttpCaller::EndCall(httplib::Client* client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  active_clients_.erase(client);
}

void HttpCaller::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  for (httplib::Client* client : active_clients_) {
    client->stop();
  }
}

std::map<std::string, CallTraffic> HttpCaller::traffic() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return traffic_;
}

}  // namespace doorwood
