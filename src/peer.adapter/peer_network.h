// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls between entry instances over Cap'n Proto RPC. A dedicated thread runs
/// the KJ event loop.

#ifndef DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_
#define DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "doorwood/executor.h"
#include "doorwood/peer.h"

namespace doorwood {

/// Number of calls of one kind of message, sent and received, and the bytes of
/// their requests and replies.
struct PeerTraffic {
  uint64_t calls = 0;
  uint64_t bytes = 0;
};

struct PeerNetworkOptions {
  /// IP address and port to listen on; port 0 selects a free port.
  std::string listen;
  /// Shared secret; calls between instances with different tokens fail.
  std::string token;
};

class RpcPeerNetwork : public PeerNetwork {
 public:
  /// Requests are handled and callbacks invoked on `executor`. Starts listening
  /// immediately; throws std::runtime_error if the address cannot be used.
  RpcPeerNetwork(const PeerNetworkOptions& options, Executor& executor);
  ~RpcPeerNetwork() override;

  RpcPeerNetwork(const RpcPeerNetwork&) = delete;
  RpcPeerNetwork& operator=(const RpcPeerNetwork&) = delete;

  /// Sets the handler of incoming calls. While it is null, as at first, these
  /// calls are rejected.
  void set_service(PeerService* service);

  void Call(const std::string& address,
            PeerRequest request,
            Millis timeout,
            Callback done) override;

  /// The port that this instance listens on.
  int port() const;
  /// Traffic counters by kind of message.
  std::map<std::string, PeerTraffic> traffic() const;

 private:
  class Loop;

  std::unique_ptr<Loop> loop_;
};

}  // namespace doorwood

#endif  // DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_
