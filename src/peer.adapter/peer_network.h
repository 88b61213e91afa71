// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls between entry instances over Cap'n Proto RPC, on a KJ event loop in
/// a thread of its own.

#ifndef DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_
#define DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "doorwood/executor.h"
#include "doorwood/peer.h"

namespace doorwood {

/// Bytes and calls of one kind of message, both directions.
struct PeerTraffic {
  uint64_t calls = 0;
  uint64_t bytes = 0;
};

struct PeerNetworkOptions {
  /// IP number and port to listen on; port 0 picks one.
  std::string listen;
  /// Both sides must have the same token.
  std::string token;
};

class RpcPeerNetwork : public PeerNetwork {
 public:
  /// Handles and callbacks run on `executor`. Listens at once; throws
  /// std::runtime_error if the address cannot be used.
  RpcPeerNetwork(const PeerNetworkOptions& options, Executor& executor);
  ~RpcPeerNetwork() override;

  RpcPeerNetwork(const RpcPeerNetwork&) = delete;
  RpcPeerNetwork& operator=(const RpcPeerNetwork&) = delete;

  /// Until it is called, calls of peers are refused.
  void set_service(PeerService* service);

  void Call(const std::string& address,
            PeerRequest request,
            Millis timeout,
            Callback done) override;

  /// Port that is listened on.
  int port() const;
  /// Figures by kind of message.
  std::map<std::string, PeerTraffic> traffic() const;

 private:
  class Loop;

  std::unique_ptr<Loop> loop_;
};

}  // namespace doorwood

#endif  // DOORWOOD_PEER_ADAPTER_PEER_NETWORK_H_
