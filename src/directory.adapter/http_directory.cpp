// SPDX-License-Identifier: Apache-2.0

#include "directory.adapter/http_directory.h"

#include <system_error>

namespace doorwood {
namespace {

constexpr int kOk = 200;
constexpr Millis kConnectTimeout{300};
constexpr Millis kReadTimeout{1000};

}  // namespace

HttpDirectory::HttpDirectory(std::string address, Executor& executor)
    : address_(std::move(address)),
      executor_(executor),
      caller_(kConnectTimeout, kReadTimeout) {}

void HttpDirectory::Fetch(Callback done) {
  pool_.Run([this, done = std::move(done)]() {
    const CallAnswer answer =
        caller_.Post(address_, "/instances/list", Json::object());
    std::error_code error = std::make_error_code(std::errc::host_unreachable);
    std::vector<InstanceInfo> list;
    try {
      const bool good =
          answer.fate == CallFate::kAnswered && answer.status == kOk;
      if (good) {
        answer.body.at("instances").get_to(list);
        error.clear();
      }
    } catch (const Json::exception&) {
      list.clear();
    }
    executor_.Post(
        [done, error, list = std::move(list)]() { done(error, list); });
  });
}

}  // namespace doorwood
