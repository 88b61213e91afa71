// SPDX-License-Identifier: Apache-2.0

#include "directory.adapter/http_directory.h"

#include <system_error>

namespace doorwood {
namespace {

constexpr int kOk = 200;
constexpr Millis kConnectTimeout{300};
constexpr Millis kReadTimeout{1000};

}  // namespace

HttpDirectory::HttpDirectory(std::string address,
                             std::string data_centre,
                             Executor& executor)
    : address_(std::move(address)),
      data_centre_(std::move(data_centre)),
      executor_(executor),
      caller_(kConnectTimeout, kReadTimeout) {}

void HttpDirectory::Fetch(Callback done) {
  pool_.Run([this, done = std::move(done)]() {
    const CallAnswer answer = caller_.Post(
        address_, "/instances/list",
        {{"data_centre", data_centre_}, {"unless_version", version_}});
    std::error_code error = std::make_error_code(std::errc::host_unreachable);
    try {
      const bool succeeded =
          answer.outcome == CallOutcome::kAnswered && answer.status == kOk;
      if (succeeded && !answer.body.value("unchanged", false)) {
        list_ = answer.body.at("instances").get<std::vector<InstanceInfo>>();
        version_ = answer.body.at("version").get<int64_t>();
      }
      if (succeeded) {
        error.clear();
      }
    } catch (const Json::exception&) {
      // The response is not a valid list; the next fetch requests the full
      // list.
      version_ = -1;
    }
    executor_.Post([done, error, list = list_]() { done(error, list); });
  });
}

}  // namespace doorwood
