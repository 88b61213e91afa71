// SPDX-License-Identifier: Apache-2.0

// Plays one case of this review: the platform and its clients in this process,
// `doorwood-celld` in processes of its own. Exits with 1 if a rule was broken,
// with 0 if all held, and with 2 if the case could not be played.

#include <unistd.h>

#include <csignal>

#include "cases.h"

namespace {

// Any address of 127.0.0.0/8 may be used; those of one play share two octets.
std::string FindPrefix() {
  for (int i = 0; i < 200; ++i) {
    const int second = 20 + (getpid() + i * 7) % 200;
    const int third = 1 + (getpid() / 200 + i) % 200;
    const std::string prefix =
        "127." + std::to_string(second) + "." + std::to_string(third) + ".";
    try {
      boost::asio::io_context io;
      boost::asio::ip::tcp::acceptor probe(
          io, review::ParseAddress(prefix + "1:8169"));
      return prefix;
    } catch (const std::exception&) {
    }
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) {
    std::cerr << "usage: review-standin CASE TROUBLE CELLD FOLDER RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string prefix = FindPrefix();
  if (prefix.empty()) {
    std::cerr << "no free address\n";
    return 2;
  }
  review::Setting setting;
  setting.name = argv[1];
  setting.trouble = std::string(argv[2]) != "0";
  setting.celld = argv[3];
  setting.folder = argv[4];
  setting.prefix = prefix;
  return review::Play(setting, argc > 5 ? argv[5] : "/dev/null");
}
