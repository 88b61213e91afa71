// SPDX-License-Identifier: Apache-2.0

/// \file
/// Conversion between the messages of doorwood/peer.h and their Cap'n Proto
/// representation.

#ifndef DOORWOOD_PEER_ADAPTER_PEER_CODEC_H_
#define DOORWOOD_PEER_ADAPTER_PEER_CODEC_H_

#include "doorwood/peer.h"
#include "peer.capnp.h"

namespace doorwood {

void EncodeMessage(const PeerRequest& request, wire::Request::Builder out);
void EncodeMessage(const PeerReply& reply, wire::Reply::Builder out);
/// Messages of an unknown kind, for example from a newer instance, become an
/// empty heartbeat, which receivers ignore.
PeerRequest DecodeMessage(wire::Request::Reader in);
PeerReply DecodeMessage(wire::Reply::Reader in);

/// Short name of the kind of a message, for metrics.
std::string_view KindOf(const PeerRequest& request);

}  // namespace doorwood

#endif  // DOORWOOD_PEER_ADAPTER_PEER_CODEC_H_
