// SPDX-License-Identifier: Apache-2.0

#include "directory.adapter/http_directory.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <system_error>
#include <utility>

#include "doorwood/json_reader.h"

namespace doorwood {
namespace {

constexpr int kOk = 200;
constexpr Millis kConnectTimeout{300};
constexpr Millis kReadTimeout{1000};
constexpr IntegerRange kCountRange{0, std::numeric_limits<int>::max()};

// Returns the id of the entry, or an empty string if it has no valid one.
std::string IdOf(const Json& entry) {
  const auto id = entry.is_object() ? entry.find("id") : entry.end();
  if (id == entry.end() || !id->is_string() ||
      !IsVisibleAscii(id->get_ref<const std::string&>())) {
    return {};
  }
  return id->get<std::string>();
}

// Throws `FieldError` or nlohmann::json::exception if the entry is invalid.
InstanceInfo DecodeEntry(const Json& entry) {
  if (IdOf(entry).empty()) {
    throw FieldError("id");
  }
  for (const char* count : {"slots", "connections"}) {
    ReadIntegerOr(entry, count, 0, kCountRange);
  }
  auto info = entry.get<InstanceInfo>();
  if (ParseHostPort(info.address).port == 0) {
    throw FieldError("address");
  }
  return info;
}

}  // namespace

HttpDirectory::HttpDirectory(std::string address,
                             std::string data_centre,
                             Executor& executor,
                             EventLog& log)
    : address_(std::move(address)),
      data_centre_(std::move(data_centre)),
      executor_(executor),
      caller_(kConnectTimeout, kReadTimeout),
      rejected_entries_(log, "directory") {}

std::vector<InstanceInfo> HttpDirectory::DecodeList(const Json& entries) {
  std::vector<InstanceInfo> list;
  for (const Json& entry : entries) {
    try {
      list.push_back(DecodeEntry(entry));
    } catch (const std::exception& error) {
      const std::string id = IdOf(entry);
      rejected_entries_.Record(id, error.what());
      const auto known = std::find_if(
          list_.begin(), list_.end(),
          [&id](const InstanceInfo& info) { return info.id == id; });
      if (known != list_.end()) {
        list.push_back(*known);
      }
    }
  }
  return list;
}

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
        const int64_t version =
            ReadInteger(answer.body, "version", kIdentifierRange);
        list_ = DecodeList(ReadList(answer.body, "instances"));
        version_ = version;
      }
      if (succeeded) {
        error.clear();
      }
    } catch (const std::exception&) {
      // The response is not a valid list; the next fetch requests the full
      // list.
      version_ = -1;
    }
    executor_.Post([done, error, list = list_]() { done(error, list); });
  });
}

}  // namespace doorwood
