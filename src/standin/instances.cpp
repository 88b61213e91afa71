// SPDX-License-Identifier: Apache-2.0

// Stand-in for the platform's eventually consistent list of instances. Changes
// become visible after a fixed lag.

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <vector>

#include "standin/standin.h"

namespace doorwood::standin {
namespace {

class InstanceList {
 public:
  explicit InstanceList(int64_t lag_ms) : lag_ms_(lag_ms) {}

  void Load(const Json& instances) {
    for (const Json& item : instances) {
      visible_[item.at("id")] = item;
    }
  }

  // With `data_centre`: that data centre's workers and backend servers, and all
  // entry instances. With `unless_version`: only "unchanged" if the list still
  // has that version.
  Reply List(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ApplyDueChanges();
    if (call.value("unless_version", int64_t{-1}) == version_) {
      return {200, {{"unchanged", true}}};
    }
    const std::string dc = call.value("data_centre", "");
    Json instances = Json::array();
    for (const auto& [id, item] : visible_) {
      const bool wanted = dc.empty() || item.value("role", "") == "entry" ||
                          item.value("data_centre", "") == dc;
      if (wanted) {
        instances.push_back(item);
      }
    }
    return {200, {{"instances", std::move(instances)}, {"version", version_}}};
  }

  // Queues a change: {"id": ..., "remove": true}, or the fields to set for the
  // instance `id`.
  Reply Change(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_.push_back({MonotonicMillis() + lag_ms_, call});
    return {};
  }

 private:
  struct Pending {
    int64_t due = 0;
    Json change;
  };

  void ApplyDueChanges() {
    const int64_t now = MonotonicMillis();
    while (!pending_.empty() && pending_.front().due <= now) {
      const Json change = pending_.front().change;
      pending_.erase(pending_.begin());
      const std::string id = change.at("id");
      ++version_;
      if (change.value("remove", false)) {
        visible_.erase(id);
      } else {
        Json& item = visible_[id];
        item = item.is_null() ? Json::object() : item;
        item.update(change);
      }
    }
  }

  int64_t lag_ms_;
  // Initialized from the clock, so that versions of a restarted process do not
  // repeat earlier ones.
  int64_t version_ = MonotonicMillis();
  std::mutex mutex_;
  std::map<std::string, Json> visible_;
  std::vector<Pending> pending_;
};

}  // namespace

int RunInstances(const InstancesRole& role) {
  InstanceList list(role.lag_ms);
  std::ifstream in(role.file);
  std::stringstream text;
  text << in.rdbuf();
  const auto json = ParseJson(text.str());
  if (!json || !json->is_array()) {
    std::cerr << role.file
              << ": cannot be read or is not a JSON array of instances\n";
    return 2;
  }
  list.Load(*json);
  Server server(role.server);
  server.AddCall("/instances/list",
                 [&](const Json& body) { return list.List(body); });
  server.AddCall("/instances/change",
                 [&](const Json& body) { return list.Change(body); });
  return server.Run();
}

}  // namespace doorwood::standin
