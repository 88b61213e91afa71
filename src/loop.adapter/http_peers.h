// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client and server side of the calls between entry instances about cells.
/// They use HTTP with JSON bodies on the event loop of the process.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_

#include <string>
#include <vector>

#include "doorwood/ingress.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_server.h"

namespace doorwood {

class HttpCellPeers : public CellPeers, public StoreAnswerPort {
 public:
  explicit HttpCellPeers(HttpClient& client) : client_(client) {}

  void Submit(const CellLead& lead,
              const JobPlan& plan,
              SubmitCallback done) override;
  void Cancel(const CellLead& lead,
              const std::string& job,
              CancelCallback done) override;
  void FetchJobState(const CellLead& lead,
                     const std::string& job,
                     StateCallback done) override;
  void FetchCellSummary(const CellLead& lead, SummaryCallback done) override;
  void AwaitAcceptance(const CellLead& lead,
                       Millis wait,
                       SummaryCallback done) override;
  void QueryTimeSinceStoreAnswer(const LiveInstance& instance,
                                 Callback done) override;
  void RequestUnrecordedStartsAgreement(
      const LiveInstance& instance,
      std::function<void(std::error_code)> done) override;
  void HandOverLead(const LiveInstance& instance,
                    const std::string& cell,
                    int64_t epoch) override;

 private:
  HttpClient& client_;
};

/// Serves the calls of other instances. Calls about a job or a cell's summary
/// are answered by the leader of that cell if this process leads it.
class CellPeerService {
 public:
  CellPeerService(Executor& executor, std::vector<CellLeader*> cells)
      : executor_(executor), cells_(std::move(cells)) {}

  void Handle(const HttpRequest& request, HttpServer::Respond respond);

 private:
  using Answer = std::function<void(std::error_code, std::string)>;

  CellLeader* FindLeader(const std::string& cell) const;
  std::optional<Millis> TimeSinceStoreAnswer() const;
  bool AgreeToUnrecordedStarts();
  /// `rest` has the form "CELL/EPOCH"; returns false if it cannot be parsed.
  bool HandleHandOver(std::string_view rest);
  bool IsReading(const std::string& cell) const;
  /// Answers with the summary once the cell's leader, which reads its records,
  /// accepts jobs; with CoreErrc::kNoOwner after `wait` or if it stops leading.
  void AnswerWhenAccepting(const std::string& cell, Millis wait, Answer answer);
  void AnswerWaiting();

  /// A call that waits for the end of reading.
  struct WaitingCall {
    std::string cell;
    Instant until{};
    Answer answer;
  };

  Executor& executor_;
  std::vector<CellLeader*> cells_;
  std::vector<WaitingCall> waiting_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
