// SPDX-License-Identifier: Apache-2.0

/// \file
/// Options of the sockets on which servers listen.

#ifndef DOORWOOD_HTTP_ADAPTER_LISTENING_SOCKET_H_
#define DOORWOOD_HTTP_ADAPTER_LISTENING_SOCKET_H_

#include <sys/socket.h>

#include <httplib.h>

namespace doorwood {

/// Lets `server` listen on a port that has closed connections in TIME_WAIT, as
/// after a restart, but not on one that another server listens on. By default
/// httplib does the opposite for servers of one user (SO_REUSEPORT). To be
/// called before the server is bound.
inline void AllowRestartOnly(httplib::Server& server) {
  server.set_socket_options([](socket_t socket) {
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  });
}

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_LISTENING_SOCKET_H_
