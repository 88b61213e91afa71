// SPDX-License-Identifier: Apache-2.0

#include "peer_network.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <atomic>
#include <future>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/secret.h"
#include "peer_codec.h"

namespace doorwood {
namespace {

constexpr Millis kConnectTimeout{500};
constexpr uint64_t kBytesPerWord = 8;

uint64_t BytesOf(const capnp::MessageSize& size) {
  return size.wordCount * kBytesPerWord;
}

// Counts calls and bytes by kind of message. The KJ thread writes the counters;
// other threads read them.
class TrafficCounter {
 public:
  void Add(std::string_view kind, uint64_t calls, uint64_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    PeerTraffic& traffic = traffic_[std::string(kind)];
    traffic.calls += calls;
    traffic.bytes += bytes;
  }

  std::map<std::string, PeerTraffic> snapshot() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return traffic_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PeerTraffic> traffic_;
};

// Forwards a call to the control thread and its reply back to the KJ thread.
class PeerServer final : public wire::Peer::Server {
 public:
  PeerServer(Executor& executor,
             std::atomic<PeerService*>& service,
             TrafficCounter& counter)
      : executor_(executor), service_(service), counter_(counter) {}

  kj::Promise<void> call(CallContext context) override {
    PeerRequest request = DecodeMessage(context.getParams().getRequest());
    const std::string kind(KindOf(request));
    const uint64_t bytes = BytesOf(context.getParams().totalSize());
    auto paf = kj::newPromiseAndCrossThreadFulfiller<PeerReply>();
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<PeerReply>>>(
            kj::mv(paf.fulfiller));
    executor_.Post(
        [this_service = &service_, request = std::move(request), fulfiller]() {
          PeerService* service = this_service->load();
          if (service == nullptr) {
            (*fulfiller)
                ->reject(KJ_EXCEPTION(UNIMPLEMENTED,
                                      "this instance is not serving calls"));
            return;
          }
          service->Handle(request, [fulfiller](PeerReply reply) {
            (*fulfiller)->fulfill(kj::mv(reply));
          });
        });
    return paf.promise.then(
        [this, context, kind, bytes](PeerReply reply) mutable {
          auto out = context.getResults().initReply();
          EncodeMessage(reply, out);
          counter_.Add(kind, 1, bytes + BytesOf(out.asReader().totalSize()));
        });
  }

 private:
  Executor& executor_;
  std::atomic<PeerService*>& service_;
  TrafficCounter& counter_;
};

// Grants access to the peer interface to clients with the right token.
class LoginServer final : public wire::Gate::Server {
 public:
  LoginServer(std::string token, wire::Peer::Client peer)
      : token_(std::move(token)), peer_(kj::mv(peer)) {}

  kj::Promise<void> login(LoginContext context) override {
    const auto token = context.getParams().getToken();
    const std::string given(token.cStr(), token.size());
    KJ_REQUIRE(SecretsEqual(given, token_), "wrong token");
    context.getResults().setPeer(peer_);
    return kj::READY_NOW;
  }

 private:
  std::string token_;
  wire::Peer::Client peer_;
};

// One connection to a peer. After a failure the next call opens a new one.
struct Connection {
  explicit Connection(kj::Own<kj::AsyncIoStream> io)
      : stream(kj::mv(io)), client(*stream) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  kj::Maybe<wire::Peer::Client> peer;
  bool broken = false;
};

}  // namespace

// --- The KJ thread ----------------------------------------------------------

class RpcPeerNetwork::Loop : private kj::TaskSet::ErrorHandler {
 public:
  Loop(const PeerNetworkOptions& options, Executor& executor)
      : options_(options), executor_(executor) {
    std::promise<int> port;
    std::future<int> port_future = port.get_future();
    thread_ = std::thread([this, &port]() { Run(port); });
    try {
      port_ = port_future.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }

  ~Loop() {
    Post([this]() { stop_->fulfill(); });
    thread_.join();
  }

  void Post(std::function<void()> function) {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(function));
    if (wake_) {
      (*wake_)->fulfill();
      wake_.reset();
    }
  }

  void Call(const std::string& address,
            PeerRequest request,
            Millis timeout,
            Callback done) {
    Post([this, address, request = std::move(request), timeout,
          done = std::move(done)]() mutable {
      StartCall(address, std::move(request), timeout, std::move(done));
    });
  }

  int port() const { return port_; }
  std::atomic<PeerService*>& service() { return service_; }
  const TrafficCounter& counter() const { return counter_; }

 private:
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Run(std::promise<int>& port) {
    try {
      auto io = kj::setupAsyncIo();
      io_ = &io;
      kj::TaskSet tasks(*this);
      tasks_ = &tasks;
      auto address = io.provider->getNetwork()
                         .parseAddress(options_.listen.c_str())
                         .wait(io.waitScope);
      auto listener = address->listen();
      capnp::TwoPartyServer server(kj::heap<LoginServer>(
          options_.token, wire::Peer::Client(kj::heap<PeerServer>(
                              executor_, service_, counter_))));
      auto stop = kj::newPromiseAndFulfiller<void>();
      stop_ = kj::mv(stop.fulfiller);
      port.set_value(static_cast<int>(listener->getPort()));
      tasks.add(server.listen(*listener));
      tasks.add(RunPostedFunctions());
      stop.promise.wait(io.waitScope);
      connections_.clear();
    } catch (const kj::Exception& e) {
      port.set_exception(std::make_exception_ptr(
          std::runtime_error(e.getDescription().cStr())));
    }
  }

  // Runs the functions that other threads have posted, then waits for more.
  kj::Promise<void> RunPostedFunctions() {
    std::vector<std::function<void()>> functions;
    kj::Promise<void> woken = kj::READY_NOW;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      functions.swap(queue_);
      auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
      wake_ = std::move(paf.fulfiller);
      woken = kj::mv(paf.promise);
    }
    for (auto& function : functions) {
      function();
    }
    return woken.then([this]() { return RunPostedFunctions(); });
  }

  void StartCall(const std::string& address,
                 PeerRequest request,
                 Millis timeout,
                 Callback done) {
    auto shared_done = std::make_shared<Callback>(std::move(done));
    auto sent = std::make_shared<bool>(false);
    auto used = std::make_shared<ConnectionPtr>();
    kj::Promise<void> call =
        Connect(address).then([this, request = std::move(request), shared_done,
                               sent, used](ConnectionPtr connection) mutable {
          *used = connection;
          *sent = true;
          return Send(connection, request, shared_done);
        });
    auto& timer = io_->provider->getTimer();
    tasks_->add(
        timer.timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(call))
            .catch_([this, shared_done, sent, used](kj::Exception&& e) {
              if (*used) {
                (*used)->broken = true;
              }
              Fail(*shared_done, *sent, e);
            }));
  }

  kj::Promise<void> Send(const ConnectionPtr& connection,
                         const PeerRequest& request,
                         const std::shared_ptr<Callback>& done) {
    const std::string kind(KindOf(request));
    auto call = KJ_ASSERT_NONNULL(connection->peer).callRequest();
    EncodeMessage(request, call.initRequest());
    const uint64_t bytes = BytesOf(call.asReader().totalSize());
    return call.send().then([this, connection, kind, bytes, done](
                                capnp::Response<wire::Peer::CallResults>&& r) {
      counter_.Add(kind, 1, bytes + BytesOf(r.totalSize()));
      executor_.Post([done, reply = DecodeMessage(r.getReply())]() {
        (*done)(std::error_code(), reply);
      });
    });
  }

  kj::Promise<ConnectionPtr> Connect(const std::string& address) {
    const auto found = connections_.find(address);
    if (found != connections_.end() && !found->second->broken) {
      return found->second;
    }
    auto& timer = io_->provider->getTimer();
    auto stream_promise = io_->provider->getNetwork()
                              .parseAddress(address.c_str())
                              .then([](kj::Own<kj::NetworkAddress> parsed) {
                                auto connecting = parsed->connect();
                                return connecting.attach(kj::mv(parsed));
                              });
    return timer
        .timeoutAfter(kConnectTimeout.count() * kj::MILLISECONDS,
                      kj::mv(stream_promise))
        .then([this, address](kj::Own<kj::AsyncIoStream> stream) {
          return Login(address, kj::mv(stream));
        });
  }

  kj::Promise<ConnectionPtr> Login(const std::string& address,
                                   kj::Own<kj::AsyncIoStream> stream) {
    auto connection = std::make_shared<Connection>(kj::mv(stream));
    auto login =
        connection->client.bootstrap().castAs<wire::Gate>().loginRequest();
    login.setToken(options_.token);
    return login.send().then(
        [this, address,
         connection](capnp::Response<wire::Gate::LoginResults>&& response) {
          connection->peer = response.getPeer();
          connections_[address] = connection;
          return connection;
        });
  }

  void Fail(const Callback& done, bool sent, const kj::Exception& e) {
    const bool refused = !sent && e.getType() == kj::Exception::Type::FAILED;
    const std::string_view what = e.getDescription().cStr();
    std::error_code error = PeerErrc::kNoAnswer;
    if (refused && what.find("wrong token") != std::string_view::npos) {
      error = PeerErrc::kUnauthorized;
    } else if (!sent) {
      error = PeerErrc::kNotSent;
    }
    executor_.Post([done, error]() { done(error, PeerReply()); });
  }

  void taskFailed(kj::Exception&&) override {}

  PeerNetworkOptions options_;
  Executor& executor_;
  std::atomic<PeerService*> service_ = nullptr;
  TrafficCounter counter_;
  std::thread thread_;
  int port_ = 0;

  std::mutex mutex_;
  std::vector<std::function<void()>> queue_;
  std::optional<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> wake_;

  // Used on the KJ thread only.
  kj::AsyncIoContext* io_ = nullptr;
  kj::TaskSet* tasks_ = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::map<std::string, ConnectionPtr> connections_;
};

// --- Public interface --------------------------------------------------------

RpcPeerNetwork::RpcPeerNetwork(const PeerNetworkOptions& options,
                               Executor& executor)
    : loop_(std::make_unique<Loop>(options, executor)) {}

RpcPeerNetwork::~RpcPeerNetwork() = default;

void RpcPeerNetwork::set_service(PeerService* service) {
  loop_->service() = service;
}

void RpcPeerNetwork::Call(const std::string& address,
                          PeerRequest request,
                          Millis timeout,
                          Callback done) {
  loop_->Call(address, std::move(request), timeout, std::move(done));
}

int RpcPeerNetwork::port() const {
  return loop_->port();
}

std::map<std::string, PeerTraffic> RpcPeerNetwork::traffic() const {
  return loop_->counter().snapshot();
}

}  // namespace doorwood
