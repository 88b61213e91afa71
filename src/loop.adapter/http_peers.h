// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls between entry instances about cells, as HTTP with JSON bodies on the
/// process's one loop: the client side and the side that answers.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_

#include <string>
#include <vector>

#include "doorwood/ingress.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_server.h"

namespace doorwood {

class HttpPeers : public CellPeers, public StoreHearing {
 public:
  explicit HttpPeers(HttpClient& client) : client_(client) {}

  void Submit(const CellLead& lead,
              const JobPlan& plan,
              SubmitCallback done) override;
  void Cancel(const CellLead& lead,
              const std::string& job,
              CancelCallback done) override;
  void State(const CellLead& lead,
             const std::string& job,
             StateCallback done) override;
  void Summary(const CellLead& lead, SummaryCallback done) override;
  void Ask(const LiveInstance& instance, Callback done) override;
  void AskToAgree(const LiveInstance& instance,
                  std::function<void(std::error_code)> done) override;
  void HandOver(const LiveInstance& instance,
                const std::string& cell,
                int64_t epoch) override;

 private:
  HttpClient& client_;
};

/// Answers peers' calls from the cells that this process leads.
class PeerService {
 public:
  PeerService(Executor& executor, std::vector<CellLeader*> cells)
      : executor_(executor), cells_(std::move(cells)) {}

  void Handle(const HttpRequest& request, HttpServer::Respond respond);

 private:
  CellLeader* Find(const std::string& cell) const;
  std::optional<Millis> StoreHeardAgo() const;
  bool Agree();
  /// `rest` is "CELL/EPOCH"; false if it is not.
  bool HandOver(std::string_view rest);

  Executor& executor_;
  std::vector<CellLeader*> cells_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
