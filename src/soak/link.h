// SPDX-License-Identifier: Apache-2.0

/// \file
/// TCP relay between one caller and one server that can be partitioned, delayed
/// and reset like a network path between two machines.

#ifndef DOORWOOD_SOAK_LINK_H_
#define DOORWOOD_SOAK_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/types.h"

namespace doorwood::soak {

/// Direction of the traffic on a link.
enum class Direction { kToServer, kToCaller, kBoth };

boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);
/// Closes a connection with a reset.
void ResetConnection(boost::asio::ip::tcp::socket* socket);

/// Cuts of one link nest: the link is open again once each cut is healed. Bytes
/// in flight during a cut are held and arrive once it is healed, unless their
/// sender resets the connection. New connections hang meanwhile: the accept
/// queue of the listening socket is kept full, so that their SYN packets are
/// dropped.
class Link {
 public:
  Link(boost::asio::io_context& context,
       const std::string& listen,
       const std::string& target);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Cut(Direction direction);
  /// Connections that are open now transfer bytes again only after
  /// `resume_delay`, as if their lost packets were retransmitted then; new
  /// connections transfer at once.
  void Heal(Direction direction, Millis resume_delay);
  /// Resets every connection.
  void Reset();
  /// Makes the connections that are open now silent for good, without a reset;
  /// new ones work.
  void Silence();
  /// New connections are reset at once while this is set.
  void Refuse(bool refuse) { refuse_ = refuse; }
  /// Sets a delay for each chunk in both directions.
  void Delay(Millis delay) { delay_ = delay; }

 private:
  struct Relay;
  /// One direction of a relay.
  struct Flow;
  using Socket = boost::asio::ip::tcp::socket;
  using FlowPtr = std::shared_ptr<Flow>;

  void Accept();
  void Connect(const std::shared_ptr<Relay>& relay);
  void Read(const FlowPtr& flow);
  void Forward(const FlowPtr& flow, size_t size);
  void Write(const FlowPtr& flow, size_t size);
  /// Calls `function` once the relay may transfer bytes; never if it is closed.
  void WhenOpen(const std::shared_ptr<Relay>& relay,
                const int& cuts,
                std::function<void()> function);
  void After(Instant time, std::function<void()> function);
  bool IsCut() const { return cuts_to_server_ > 0 || cuts_to_caller_ > 0; }
  void FillAcceptQueue();
  void ResumeWaiting();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  bool accepting_ = false;
  int cuts_to_server_ = 0;
  int cuts_to_caller_ = 0;
  bool refuse_ = false;
  Millis delay_{0};
  std::list<std::weak_ptr<Relay>> relays_;
  /// Silent relays; their sockets stay open.
  std::vector<std::shared_ptr<Relay>> silent_;
  /// Operations that wait for the end of a cut.
  std::vector<std::function<void()>> waiting_;
  /// Occupies the accept queue during a cut.
  std::optional<Socket> filler_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_LINK_H_
