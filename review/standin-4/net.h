// A small HTTP/1.1 server on one thread, and a blocking client.
#ifndef REVIEW_NET_H_
#define REVIEW_NET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

int64_t NowMs();  // steady clock

struct Request {
  std::string method, path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // lower-case names
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

class Net;

// Answers one request; may be kept and called later, once.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Respond)>;

enum class Mode {
  kServe,
  kSilent,  // connections stay open; nothing is read or answered
  kRefuse,  // nothing listens; open connections are reset
  kReset,   // connections are accepted and reset
};

struct Connection;

struct Listener {
  int port = 0;
  int fd = -1;
  Mode mode = Mode::kServe;
  Handler handler;
  std::list<std::shared_ptr<Connection>> connections;
};

// All handlers and timers run on one thread, with `mutex` held.
class Net {
 public:
  Net();
  ~Net();
  void Stop();
  // Binds 127.0.0.1; port 0 picks a free one.
  Listener* Listen(Handler handler, int port = 0);
  void SetMode(Listener* listener, Mode mode);
  void ResetConnections(Listener* listener);
  // The open connections say and hear nothing more; new ones work.
  void Silence(Listener* listener);
  void After(int64_t ms, std::function<void()> call);
  std::recursive_mutex mutex;

 private:
  void Loop();
  void OpenSocket(Listener* listener);
  void Accept(Listener* listener);
  void ReadFrom(Listener* listener, const std::shared_ptr<Connection>& c);
  void HandleInput(Listener* listener, const std::shared_ptr<Connection>& c);
  void Flush(const std::shared_ptr<Connection>& c);
  void Wake();
  std::list<Listener> listeners_;
  std::multimap<int64_t, std::function<void()>> timers_;
  bool stop_ = false;
  int wake_[2];
  std::thread thread_;
};

// Result 0: no answer (refused, reset or timed out).
struct Answer {
  int status = 0;
  std::string body;
  int retry_after = 0;
};
Answer Call(int port,
            const std::string& method,
            const std::string& path,
            const std::string& host,
            const std::string& body,
            int timeout_ms);

int FreePort();

#endif
