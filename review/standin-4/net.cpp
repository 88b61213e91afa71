#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>

struct Connection {
  int fd = -1;
  std::string in, out;
  bool busy = false;   // a request is being answered
  bool close = false;  // after the answer
  bool dead = false;
  bool mute = false;  // silent for good
};

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

static void Reset(int fd) {
  linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

static void NonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}

static sockaddr_in Local(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

Net::Net() {
  if (pipe(wake_) != 0)
    abort();
  NonBlocking(wake_[0]);
  NonBlocking(wake_[1]);
  thread_ = std::thread([this] { Loop(); });
}

void Net::Stop() {
  if (!thread_.joinable())
    return;
  {
    std::lock_guard lock(mutex);
    stop_ = true;
  }
  Wake();
  thread_.join();
}

Net::~Net() {
  Stop();
}

void Net::Wake() {
  char c = 0;
  if (write(wake_[1], &c, 1) < 0)
    return;
}

void Net::OpenSocket(Listener* l) {
  l->fd = socket(AF_INET, SOCK_STREAM, 0);
  NonBlocking(l->fd);
  int on = 1;
  setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Local(l->port);
  for (int i = 0;
       bind(l->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
       ++i) {
    if (i > 100) {
      perror("bind");
      exit(2);
    }
    usleep(10000);
  }
  listen(l->fd, 512);
  socklen_t size = sizeof(address);
  getsockname(l->fd, reinterpret_cast<sockaddr*>(&address), &size);
  l->port = ntohs(address.sin_port);
}

Listener* Net::Listen(Handler handler, int port) {
  std::lock_guard lock(mutex);
  Listener& l = listeners_.emplace_back();
  l.handler = std::move(handler);
  l.port = port != 0 ? port : FreePort();
  OpenSocket(&l);
  Wake();
  return &l;
}

void Net::ResetConnections(Listener* l) {
  std::lock_guard lock(mutex);
  for (auto& c : l->connections) {
    if (!c->dead)
      Reset(c->fd);
    c->dead = true;
  }
  l->connections.clear();
}

void Net::SetMode(Listener* l, Mode mode) {
  std::lock_guard lock(mutex);
  // What a cut held up is lost.
  if (l->mode == Mode::kSilent && mode != Mode::kSilent) {
    Accept(l);
    ResetConnections(l);
  }
  l->mode = mode;
  if (mode == Mode::kRefuse && l->fd >= 0) {
    close(l->fd);
    l->fd = -1;
  }
  if (mode != Mode::kRefuse && l->fd < 0)
    OpenSocket(l);
  if (mode == Mode::kRefuse || mode == Mode::kReset)
    ResetConnections(l);
  Wake();
}

void Net::Silence(Listener* l) {
  std::lock_guard lock(mutex);
  for (auto& c : l->connections)
    c->mute = true;
}

void Net::After(int64_t ms, std::function<void()> call) {
  std::lock_guard lock(mutex);
  timers_.emplace(NowMs() + ms, std::move(call));
  Wake();
}

void Net::Loop() {
  std::unique_lock lock(mutex);
  while (!stop_) {
    std::vector<pollfd> fds{{wake_[0], POLLIN, 0}};
    std::vector<std::pair<Listener*, std::shared_ptr<Connection>>> who{
        {nullptr, nullptr}};
    for (Listener& l : listeners_) {
      if (l.fd >= 0 && l.mode != Mode::kSilent) {
        fds.push_back({l.fd, POLLIN, 0});
        who.push_back({&l, nullptr});
      }
      l.connections.remove_if([](const auto& c) { return c->dead; });
      if (l.mode == Mode::kSilent)
        continue;
      for (auto& c : l.connections) {
        if (c->mute)
          continue;
        short events = 0;
        if (!c->busy)
          events |= POLLIN;
        if (!c->out.empty())
          events |= POLLOUT;
        fds.push_back({c->fd, events, 0});
        who.push_back({&l, c});
      }
    }
    int wait = 1000;
    if (!timers_.empty())
      wait = static_cast<int>(
          std::clamp<int64_t>(timers_.begin()->first - NowMs(), 0, 1000));
    lock.unlock();
    poll(fds.data(), fds.size(), wait);
    lock.lock();
    char buffer[256];
    while (read(wake_[0], buffer, sizeof(buffer)) > 0) {
    }
    while (!timers_.empty() && timers_.begin()->first <= NowMs()) {
      auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
    }
    for (size_t i = 1; i < fds.size(); ++i) {
      Listener* l = who[i].first;
      auto& c = who[i].second;
      if (fds[i].revents == 0 || l->mode == Mode::kSilent)
        continue;
      if (!c) {
        if (l->fd == fds[i].fd)
          Accept(l);
      } else if (!c->dead) {
        if (fds[i].revents & POLLOUT)
          Flush(c);
        if (!c->dead && (fds[i].revents & (POLLIN | POLLHUP | POLLERR)))
          ReadFrom(l, c);
      }
    }
  }
}

void Net::Accept(Listener* l) {
  for (;;) {
    const int fd = accept(l->fd, nullptr, nullptr);
    if (fd < 0)
      return;
    NonBlocking(fd);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (l->mode == Mode::kReset) {
      Reset(fd);
      continue;
    }
    auto c = std::make_shared<Connection>();
    c->fd = fd;
    l->connections.push_back(c);
  }
}

void Net::ReadFrom(Listener* l, const std::shared_ptr<Connection>& c) {
  char buffer[65536];
  const ssize_t n = read(c->fd, buffer, sizeof(buffer));
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0) {
    close(c->fd);
    c->dead = true;
    return;
  }
  c->in.append(buffer, static_cast<size_t>(n));
  if (!c->busy)
    HandleInput(l, c);
}

static std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out +=
          static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

static bool ParseHead(const std::string& head, Request* r) {
  size_t end = head.find("\r\n");
  const std::string first = head.substr(0, end);
  const size_t a = first.find(' '), b = first.rfind(' ');
  if (a == std::string::npos || a == b)
    return false;
  r->method = first.substr(0, a);
  std::string target = first.substr(a + 1, b - a - 1);
  const size_t mark = target.find('?');
  r->path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1);
    while (!rest.empty()) {
      const size_t amp = rest.find('&');
      const std::string pair = rest.substr(0, amp);
      const size_t eq = pair.find('=');
      if (eq != std::string::npos)
        r->query[pair.substr(0, eq)] = Unescape(pair.substr(eq + 1));
      rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
    }
  }
  while (end != std::string::npos && end + 2 < head.size()) {
    const size_t next = head.find("\r\n", end + 2);
    const std::string line =
        head.substr(end + 2, next == std::string::npos ? next : next - end - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon), value = line.substr(colon + 1);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      value.erase(0, value.find_first_not_of(' '));
      r->headers[name] = value;
    }
    end = next;
  }
  return true;
}

void Net::HandleInput(Listener* l, const std::shared_ptr<Connection>& c) {
  const size_t head_end = c->in.find("\r\n\r\n");
  if (head_end == std::string::npos)
    return;
  Request r;
  if (!ParseHead(c->in.substr(0, head_end), &r)) {
    Reset(c->fd);
    c->dead = true;
    return;
  }
  const size_t length = r.headers.count("content-length")
                            ? std::stoul(r.headers["content-length"])
                            : 0;
  if (c->in.size() < head_end + 4 + length)
    return;
  r.body = c->in.substr(head_end + 4, length);
  c->in.erase(0, head_end + 4 + length);
  c->busy = true;
  c->close = r.headers["connection"] == "close";
  l->handler(r, [this, l, c](Response response) {
    std::lock_guard lock(mutex);
    if (c->dead || !c->busy)
      return;
    c->busy = false;
    c->out += "HTTP/1.1 " + std::to_string(response.status) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    Flush(c);
    if (!c->dead && !c->in.empty())
      After(0, [this, l, c] {
        if (!c->dead && !c->busy)
          HandleInput(l, c);
      });
    Wake();
  });
}

void Net::Flush(const std::shared_ptr<Connection>& c) {
  if (c->mute)
    return;
  while (!c->out.empty()) {
    const ssize_t n = send(c->fd, c->out.data(), c->out.size(), MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    if (n <= 0) {
      close(c->fd);
      c->dead = true;
      return;
    }
    c->out.erase(0, static_cast<size_t>(n));
  }
  if (c->close && !c->busy) {
    close(c->fd);
    c->dead = true;
  }
}

// Below the ports that the kernel gives to callers.
int FreePort() {
  static int next = 10000 + (getpid() * 37) % 20000;
  for (;;) {
    if (++next > 31000)
      next = 10000;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Local(next);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free)
      return next;
  }
}

Answer Call(int port,
            const std::string& method,
            const std::string& path,
            const std::string& host,
            const std::string& body,
            int timeout_ms) {
  Answer answer;
  const int64_t until = NowMs() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  NonBlocking(fd);
  sockaddr_in address = Local(port);
  const auto wait = [&](short events) {
    pollfd p{fd, events, 0};
    const int64_t left = until - NowMs();
    return left > 0 && poll(&p, 1, static_cast<int>(left)) > 0;
  };
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || !wait(POLLOUT) ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return answer;
    }
  }
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                    "\r\nDeadline-Ms: " + std::to_string(timeout_ms) + "\r\n";
  if (!body.empty())
    out += "Content-Type: application/json\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  while (!out.empty()) {
    const ssize_t n = send(fd, out.data(), out.size(), MSG_NOSIGNAL);
    if (n > 0) {
      out.erase(0, static_cast<size_t>(n));
      continue;
    }
    if (errno != EAGAIN || !wait(POLLOUT)) {
      close(fd);
      return answer;
    }
  }
  std::string in;
  for (;;) {
    const size_t head = in.find("\r\n\r\n");
    if (head != std::string::npos) {
      std::string lower = in.substr(0, head + 2);
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      const size_t at = lower.find("content-length:");
      const size_t length =
          at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
      if (in.size() >= head + 4 + length) {
        answer.status = std::stoi(in.substr(9, 3));
        answer.body = in.substr(head + 4, length);
        const size_t retry = lower.find("retry-after:");
        if (retry != std::string::npos)
          answer.retry_after = std::stoi(lower.substr(retry + 12));
        break;
      }
    }
    char buffer[16384];
    const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
    if (n > 0) {
      in.append(buffer, static_cast<size_t>(n));
      continue;
    }
    if (n == 0 || errno != EAGAIN || !wait(POLLIN))
      break;
  }
  close(fd);
  return answer;
}
