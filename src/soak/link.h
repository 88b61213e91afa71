// SPDX-License-Identifier: Apache-2.0

/// \file
/// One caller's way to one server: a TCP relay that can be cut, slowed down
/// and reset like a path between two machines.

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

enum class Way { kThere, kBack, kBoth };

boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& address);
/// Ends a connection with a reset.
void BreakOff(boost::asio::ip::tcp::socket* socket);

/// Cuts of one link add up: it is open once each of them is healed. Bytes on
/// the way during a cut are held up and arrive once it is healed, unless their
/// sender resets the connection. New connections hang meanwhile: the queue of
/// the listening socket is kept full, so that their first packets are dropped.
class Link {
 public:
  Link(boost::asio::io_context& context,
       const std::string& listen,
       const std::string& target);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Cut(Way way);
  /// Connections that are open by now move bytes again only after `old_after`,
  /// as if their lost packets were sent again then; new ones at once.
  void Heal(Way way, Millis old_after);
  /// Every connection breaks off with a reset.
  void Reset();
  /// New connections are reset at once while this is set.
  void Refuse(bool refuse) { refuse_ = refuse; }
  /// Added to each piece, both ways.
  void Delay(Millis delay) { delay_ = delay; }

 private:
  struct Pair;
  /// One direction of a pair.
  struct Flow;
  using Socket = boost::asio::ip::tcp::socket;
  using FlowPtr = std::shared_ptr<Flow>;

  void Accept();
  void Connect(const std::shared_ptr<Pair>& pair);
  void Read(const FlowPtr& flow);
  void PassOn(const FlowPtr& flow, size_t size);
  void Write(const FlowPtr& flow, size_t size);
  /// Calls once bytes of the pair may move; never if it is broken off.
  void WhenPassable(const std::shared_ptr<Pair>& pair,
                    const int& cuts,
                    std::function<void()> function);
  void After(Instant time, std::function<void()> function);
  bool IsCut() const { return cuts_there_ > 0 || cuts_back_ > 0; }
  void FillQueue();
  void WakeAll();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  bool accepting_ = false;
  int cuts_there_ = 0;
  int cuts_back_ = 0;
  bool refuse_ = false;
  Millis delay_{0};
  std::list<std::weak_ptr<Pair>> pairs_;
  /// What waits for the end of a cut.
  std::vector<std::function<void()>> waiting_;
  /// Fills the queue of new connections.
  std::optional<Socket> filler_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_LINK_H_
