// SPDX-License-Identifier: Apache-2.0

#include "doorwood/client.h"

#include <httplib.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <iostream>
#include <random>

#include "http.adapter/http_call.h"

namespace doorwood::client {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kServerErrors = 500;
constexpr Millis kConnectTimeout{2000};

void PrintError(const std::string& line) {
  std::cerr << "doorwood: " << line << "\n";
}

ExitCode ReportFailure(int status, const Json& body) {
  if (status == kUnauthorized) {
    PrintError("the token was refused; set --token or DOORWOOD_TOKEN");
    return kRefused;
  }
  const bool object = body.is_object();
  PrintError(object ? body.value("error", "the reply contains no error text")
                    : "HTTP status " + std::to_string(status));
  if (object && body.contains("problems")) {
    for (const Json& problem : body["problems"]) {
      PrintError("  " + problem.get<std::string>());
    }
  }
  if (object && body.value("outcome", "") == "unknown") {
    PrintError("the call may have taken effect; check before you retry");
    return kUnknown;
  }
  if (status >= kServerErrors) {
    PrintError("the call had no effect; retry later");
    return kNotDone;
  }
  return kRefused;
}

ExitCode ReportNoAnswer(const Connection& connection, httplib::Error error) {
  if (IsNotSent(error)) {
    PrintError("cannot reach " + connection.address +
               "; is it an entry instance? set --address or DOORWOOD_ADDRESS");
    return kNotDone;
  }
  PrintError("no answer from " + connection.address +
             "; the call may have taken effect, check before you retry");
  return kUnknown;
}

std::string FormatTableCell(const Json& row, const std::string& column) {
  const auto value = row.find(column);
  if (value == row.end() || value->is_null()) {
    return "-";
  }
  if (value->is_string()) {
    const auto text = value->get<std::string>();
    return text.empty() ? "-" : text;
  }
  if (value->is_number_float()) {
    std::string text = std::to_string(value->get<double>());
    return text.substr(0, text.find('.') + 3);
  }
  return value->dump();
}

void PrintTable(const Json& rows, const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> lines = {columns};
  for (const Json& row : rows) {
    std::vector<std::string> line;
    for (const std::string& column : columns) {
      line.push_back(FormatTableCell(row, column));
    }
    lines.push_back(std::move(line));
  }
  std::vector<size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    std::string text;
    for (size_t i = 0; i < line.size(); ++i) {
      text += line[i];
      if (i + 1 < line.size()) {
        text.append(widths[i] - line[i].size() + 2, ' ');
      }
    }
    std::cout << text << "\n";
  }
}

}  // namespace

Answer Call(const Connection& connection,
            const std::string& method,
            const std::string& path,
            const Json& body,
            const std::map<std::string, std::string>& params) {
  const HostPort target = ParseHostPort(connection.address);
  if (target.port == 0) {
    PrintError("'" + connection.address +
               "' is not an address; write an IP address and port, for "
               "example 127.0.0.1:7300");
    return {kUsage, {}};
  }
  httplib::Client client(target.host, target.port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(connection.timeout);
  const httplib::Headers headers = {
      {"Authorization", "Bearer " + connection.token}};
  const httplib::Params query(params.begin(), params.end());
  const httplib::Result result =
      method == "GET"
          ? client.Get(path.c_str(), query, headers)
          : client.Post(path.c_str(), headers, body.dump(), "application/json");
  if (!result) {
    if (connection.quiet) {
      return {IsNotSent(result.error()) ? kNotDone : kUnknown, {}};
    }
    return {ReportNoAnswer(connection, result.error()), {}};
  }
  Json json = ParseJson(result->body).value_or(Json());
  if (result->status >= kServerErrors && connection.quiet) {
    return {kNotDone, std::move(json)};
  }
  if (result->status != kOk) {
    return {ReportFailure(result->status, json), std::move(json)};
  }
  return {kDone, std::move(json)};
}

std::string NewToken() {
  constexpr std::string_view kLetters = "0123456789abcdefghijklmnopqrstuvwxyz";
  constexpr int kLength = 12;
  std::random_device device;
  std::string token;
  for (int i = 0; i < kLength; ++i) {
    token += kLetters[device() % kLetters.size()];
  }
  return token;
}

void Print(const Json& rows,
           const std::vector<std::string>& columns,
           Format format) {
  switch (format) {
    case Format::kTable:
      PrintTable(rows, columns);
      break;
    case Format::kJson:
      std::cout << rows.dump(2) << "\n";
      break;
    case Format::kYaml: {
      // JSON is a subset of YAML; parsing and emitting it gives block style.
      YAML::Node node = YAML::Load(rows.dump());
      YAML::Emitter emitter;
      emitter.SetMapFormat(YAML::Block);
      emitter.SetSeqFormat(YAML::Block);
      emitter << node;
      std::cout << emitter.c_str() << "\n";
      break;
    }
  }
}

}  // namespace doorwood::client
