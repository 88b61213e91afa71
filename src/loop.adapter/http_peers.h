// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client and server side of the calls between entry instances about cells.
/// They use HTTP with JSON bodies on the event loop of the process.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/ingress.h"
#include "doorwood/queue_table.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_server.h"

namespace doorwood {

class HttpCellPeers : public CellPeers, public StoreAnswerPort {
 public:
  /// Returns the version of the queue table in force; 0: none.
  using VersionSource = std::function<int64_t()>;
  /// Gets the text of a queue table, see `QueueTable::source`.
  using TableCallback = std::function<void(std::error_code, std::string)>;

  explicit HttpCellPeers(HttpClient& client, VersionSource version = {})
      : client_(client), version_(std::move(version)) {}

  /// Reads the queue table that the leader has in force.
  void FetchQueueTable(const CellLead& lead, TableCallback done);

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
  VersionSource version_;
};

/// Serves the calls of other instances. Calls about a job or a cell's summary
/// are answered by the leader of that cell if this process leads it.
class CellPeerService {
 public:
  /// Returns the queue table in force; null: none.
  using TableSource = std::function<std::shared_ptr<const QueueTable>()>;

  CellPeerService(Executor& executor,
                  std::vector<CellLeader*> cells,
                  TableSource table = {})
      : executor_(executor),
        cells_(std::move(cells)),
        table_(std::move(table)) {}

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
  void Submit(CellLeader& leader, const HttpRequest& request, Answer answer);

  /// A call that waits for the end of reading.
  struct WaitingCall {
    std::string cell;
    Instant until{};
    Answer answer;
  };

  Executor& executor_;
  std::vector<CellLeader*> cells_;
  TableSource table_;
  std::vector<WaitingCall> waiting_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_PEERS_H_
