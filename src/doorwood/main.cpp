// SPDX-License-Identifier: Apache-2.0

// doorwood: command-line client for operators.

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include "doorwood/burn.h"
#include "doorwood/client.h"
#include "doorwood/settings_file.h"

namespace {

using doorwood::Json;
using doorwood::Millis;
using doorwood::client::Answer;
using doorwood::client::Call;
using doorwood::client::Connection;
using doorwood::client::ExitCode;
using doorwood::client::Format;
using doorwood::client::Print;

constexpr Millis kPollInterval{100};

// Global options, shared by all commands, and the resulting exit code.
struct CommandContext {
  Connection connection;
  Format format = Format::kTable;
  int wait_s = 30;
  int code = doorwood::client::kDone;
};

std::optional<std::string> ReadFile(const std::string& name) {
  if (name == "-") {
    std::stringstream text;
    text << std::cin.rdbuf();
    return text.str();
  }
  auto text = doorwood::ReadTextFile(name);
  if (!text) {
    std::cerr << "doorwood: " << name << " cannot be read\n";
  }
  return text;
}

// Calls `check` every kPollInterval until it returns an exit code or `wait_s`
// has passed.
int Poll(
    CommandContext context,
    const std::function<std::optional<int>(const CommandContext&)>& check) {
  context.connection.quiet = true;
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(context.wait_s);
  while (std::chrono::steady_clock::now() < deadline) {
    if (const auto code = check(context)) {
      return *code;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "doorwood: not finished within " << context.wait_s
            << " s; the operation continues, check again later\n";
  return doorwood::client::kTimedOut;
}

void PrintRows(CommandContext* context,
               const Answer& answer,
               const char* key,
               const std::vector<std::string>& columns) {
  context->code = answer.code;
  if (answer.code != doorwood::client::kDone) {
    return;
  }
  Print(answer.body.at(key), columns, context->format);
  const Json unanswered = answer.body.value("silent", Json::array());
  for (const Json& instance : unanswered) {
    std::cerr << "doorwood: no answer from instance "
              << instance.get<std::string>() << "; its rows are missing\n";
  }
}

// --- Configuration ----------------------------------------------------------

// Returns kDone once `revision` is in force on every instance that the called
// one knows of, in all data centres. The `lowest_revision` of a listed instance
// is the lowest revision of itself and of the peers in its data centre whose
// heartbeats it receives.
std::optional<int> CheckRevisionInForce(const CommandContext& context,
                                        uint64_t revision) {
  const Answer answer = Call(context.connection, "GET", "/v1/status", Json());
  if (answer.code != doorwood::client::kDone) {
    return std::nullopt;
  }
  for (const Json& instance : answer.body.at("instances")) {
    const bool outdated =
        instance.value("lowest_revision", uint64_t{0}) < revision ||
        instance.value("revision", uint64_t{0}) < revision;
    if (outdated) {
      return std::nullopt;
    }
  }
  std::cout << "revision " << revision << " is in force on "
            << answer.body.at("instances").size() << " known instances\n";
  return doorwood::client::kDone;
}

struct ApplyArguments {
  std::string file;
  bool wait = false;
  int64_t base = -1;
  std::string author;
  std::string operation;
};

int Apply(const CommandContext& context, const ApplyArguments& arguments) {
  const auto text = ReadFile(arguments.file);
  if (!text) {
    return doorwood::client::kUsage;
  }
  doorwood::Problems problems(arguments.file);
  if (!doorwood::ParseConfiguration(*text, &problems)) {
    std::cerr << problems.text();
    return doorwood::client::kRefused;
  }
  Json body{
      {"text", *text},
      {"author", arguments.author},
      {"operation", arguments.operation.empty() ? doorwood::client::NewToken()
                                                : arguments.operation}};
  if (arguments.base >= 0) {
    body["base"] = arguments.base;
  }
  const Answer answer = Call(context.connection, "POST", "/v1/config", body);
  if (answer.code != doorwood::client::kDone) {
    return answer.code;
  }
  const uint64_t revision = answer.body.at("revision");
  std::cout << "accepted as revision " << revision << "\n";
  if (!arguments.wait) {
    return doorwood::client::kDone;
  }
  return Poll(context, [&](const CommandContext& quiet_context) {
    return CheckRevisionInForce(quiet_context, revision);
  });
}

int ShowConfig(const CommandContext& context) {
  const Answer answer = Call(context.connection, "GET", "/v1/config", Json());
  if (answer.code == doorwood::client::kDone) {
    std::cout << "# revision " << answer.body.at("revision") << "\n"
              << answer.body.at("text").get<std::string>();
  }
  return answer.code;
}

// Prints the lines that differ between the file and the configuration in
// force, without regard to order.
int DiffConfig(const CommandContext& context, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) {
    return doorwood::client::kUsage;
  }
  const Answer answer = Call(context.connection, "GET", "/v1/config", Json());
  if (answer.code != doorwood::client::kDone) {
    return answer.code;
  }
  const auto lines_of = [](const std::string& all) {
    std::vector<std::string> lines;
    std::stringstream in(all);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  };
  const auto print_missing = [](const std::vector<std::string>& from,
                                const std::vector<std::string>& in,
                                const char* mark) {
    for (const std::string& line : from) {
      if (std::find(in.begin(), in.end(), line) == in.end()) {
        std::cout << mark << line << "\n";
      }
    }
  };
  const auto in_force = lines_of(answer.body.at("text"));
  const auto in_file = lines_of(*text);
  print_missing(in_force, in_file, "- ");
  print_missing(in_file, in_force, "+ ");
  return doorwood::client::kDone;
}

// --- Jobs -------------------------------------------------------------------

std::optional<int> CheckJobEnd(const CommandContext& context,
                               const std::string& id) {
  const Answer answer =
      Call(context.connection, "GET", "/v1/job", Json(), {{"id", id}});
  if (answer.code == doorwood::client::kRefused) {
    return answer.code;
  }
  if (answer.code != doorwood::client::kDone) {
    return std::nullopt;
  }
  const std::string phase = answer.body.value("phase", "open");
  if (phase == "open") {
    return std::nullopt;
  }
  std::cout << "job " << id << " " << phase << "\n";
  return phase == "succeeded" ? doorwood::client::kDone
                              : doorwood::client::kJobFailed;
}

int Submit(const CommandContext& context,
           const std::string& file,
           std::string token,
           bool wait) {
  const auto text = ReadFile(file);
  if (!text) {
    return doorwood::client::kUsage;
  }
  if (token.empty()) {
    token = doorwood::client::NewToken();
  }
  const Json body{{"manifest", *text}, {"file", file}, {"token", token}};
  const Answer answer = Call(context.connection, "POST", "/v1/jobs", body);
  if (answer.code != doorwood::client::kDone) {
    if (answer.code == doorwood::client::kUnknown) {
      std::cerr << "doorwood: to retry without a second job, add --id-token "
                << token << "\n";
    }
    return answer.code;
  }
  const std::string id = answer.body.at("id");
  std::cout << id << "\n";
  if (!wait) {
    return doorwood::client::kDone;
  }
  return Poll(context, [&](const CommandContext& quiet_context) {
    return CheckJobEnd(quiet_context, id);
  });
}

int ShowJob(const CommandContext& context, const std::string& id) {
  const Answer answer =
      Call(context.connection, "GET", "/v1/job", Json(), {{"id", id}});
  if (answer.code != doorwood::client::kDone) {
    return answer.code;
  }
  if (context.format != Format::kTable) {
    Print(answer.body, {}, context.format);
    return answer.code;
  }
  std::cout << "job " << id << " of " << answer.body.value("member", "") << " "
            << answer.body.value("phase", "") << "\n";
  Print(answer.body.at("tasks"),
        {"name", "class", "phase", "worker", "failures", "evictions",
         "checkpoint", "reason"},
        context.format);
  return answer.code;
}

void AddJobCommands(CLI::App* app, CommandContext* context) {
  CLI::App* job = app->add_subcommand("job", "jobs");
  job->require_subcommand(1);
  auto id = std::make_shared<std::string>();
  auto member = std::make_shared<std::string>();
  CLI::App* list = job->add_subcommand("list", "jobs of this data centre");
  list->add_option("--member", *member, "only the jobs of this workspace");
  list->callback([context, member]() {
    PrintRows(context,
              Call(context->connection, "GET", "/v1/jobs", Json(),
                   {{"member", *member}}),
              "rows", {"id", "member", "phase", "tasks"});
  });
  const auto add = [job, id](const char* name, const char* text) {
    CLI::App* command = job->add_subcommand(name, text);
    command->add_option("ID", *id, "the job's id")->required();
    return command;
  };
  add("show", "one job with its tasks")->callback([context, id]() {
    context->code = ShowJob(*context, *id);
  });
  add("cancel", "cancel a job and stop its running tasks")
      ->callback([context, id]() {
        const Answer answer =
            Call(context->connection, "POST", "/v1/job/cancel", {{"id", *id}});
        context->code = answer.code;
        if (answer.code == doorwood::client::kDone) {
          std::cout << "cancelled " << *id << "\n";
        }
      });
  CLI::App* wait = add("wait", "wait for a job's end");
  wait->add_option("--for", context->wait_s, "seconds")
      ->check(CLI::Range(1, 86400));
  wait->callback([context, id]() {
    context->code = Poll(*context, [&](const CommandContext& quiet_context) {
      return CheckJobEnd(quiet_context, *id);
    });
  });
}

// --- Workers and reports ----------------------------------------------------

void AddWorkerCommands(CLI::App* app, CommandContext* context) {
  CLI::App* worker = app->add_subcommand("worker", "workers");
  worker->require_subcommand(1);
  worker->add_subcommand("list", "workers of this data centre")
      ->callback([context]() {
        PrintRows(context,
                  Call(context->connection, "GET", "/v1/workers", Json()),
                  "rows",
                  {"worker", "holder", "state", "epoch", "attempts", "free",
                   "drained"});
      });
  auto name = std::make_shared<std::string>();
  auto undo = std::make_shared<bool>(false);
  CLI::App* drain = worker->add_subcommand(
      "drain", "place no more work on a worker and evict its repeatable tasks");
  drain->add_option("WORKER", *name)->required();
  drain->add_flag("--undo", *undo, "allow placements on the worker again");
  drain->callback([context, name, undo]() {
    const Answer answer = Call(context->connection, "POST", "/v1/workers/drain",
                               {{"worker", *name}, {"drained", !*undo}});
    context->code = answer.code;
    if (answer.code == doorwood::client::kDone) {
      std::cout << *name
                << (*undo ? " is no longer marked as drained\n"
                          : " is marked as drained\n");
    }
  });
}

int ReportBurn(const CommandContext& context, const std::string& html) {
  const Answer answer = Call(context.connection, "GET", "/v1/burn", Json());
  if (answer.code != doorwood::client::kDone) {
    return answer.code;
  }
  const auto rows = doorwood::MergeBurnRows(
      answer.body.at("rows").get<std::vector<doorwood::BurnRow>>());
  if (!html.empty()) {
    std::ofstream(html) << doorwood::RenderBurnPage(rows);
    std::cout << "written to " << html << "\n";
    return answer.code;
  }
  Print(Json(rows),
        {"service", "window_minutes", "total", "bad", "objective", "burn_rate",
         "budget_left"},
        context.format);
  return answer.code;
}

void AddReportCommands(CLI::App* app, CommandContext* context) {
  app->add_subcommand("status",
                      "known entry instances with their workers and shards")
      ->callback([context]() {
        PrintRows(context,
                  Call(context->connection, "GET", "/v1/status", Json()),
                  "instances",
                  {"instance", "data_centre", "leaving", "revision", "workers",
                   "shards"});
      });
  auto task = std::make_shared<std::string>();
  CLI::App* explain =
      app->add_subcommand("explain", "latest scheduling decisions for a task");
  explain->add_option("TASK", *task, "JOB/TASK")->required();
  explain->callback([context, task]() {
    const size_t slash = task->rfind('/');
    if (slash == std::string::npos) {
      std::cerr << "doorwood: write the task as JOB/TASK\n";
      context->code = doorwood::client::kUsage;
      return;
    }
    PrintRows(context,
              Call(context->connection, "GET", "/v1/explain", Json(),
                   {{"id", task->substr(0, slash)},
                    {"task", task->substr(slash + 1)}}),
              "records", {"at_ms", "what", "detail"});
  });
  CLI::App* report = app->add_subcommand("report", "reports");
  report->require_subcommand(1);
  auto html = std::make_shared<std::string>();
  CLI::App* burn = report->add_subcommand(
      "burn", "error-budget burn of service-level objectives");
  burn->add_option("--html", *html, "write a page with a graph to this file");
  burn->callback(
      [context, html]() { context->code = ReportBurn(*context, *html); });
}

void AddConfigCommands(CLI::App* app, CommandContext* context) {
  auto arguments = std::make_shared<ApplyArguments>();
  CLI::App* apply = app->add_subcommand("apply", "apply a configuration");
  apply->add_option("-f,--file", arguments->file, "YAML file, or -")
      ->required();
  apply->add_flag("--wait", arguments->wait,
                  "wait until it is in force on all known instances");
  apply->add_option("--for", context->wait_s,
                    "maximum time to wait, in seconds");
  apply->add_option("--base", arguments->base,
                    "refuse unless this is the newest revision");
  apply->add_option("--author", arguments->author,
                    "author to record in the history");
  apply->add_option("--operation", arguments->operation,
                    "id of this change; a retry with the same id does not "
                    "apply it twice");
  apply->callback(
      [context, arguments]() { context->code = Apply(*context, *arguments); });

  CLI::App* config = app->add_subcommand("config", "the configuration");
  config->require_subcommand(1);
  config->add_subcommand("show", "the configuration in force")
      ->callback([context]() { context->code = ShowConfig(*context); });
  config->add_subcommand("history", "earlier revisions")->callback([context]() {
    PrintRows(context,
              Call(context->connection, "GET", "/v1/config/history", Json()),
              "revisions", {"revision", "author", "operation"});
  });
  auto file = std::make_shared<std::string>();
  CLI::App* diff = config->add_subcommand(
      "diff", "compare a file with the configuration in force");
  diff->add_option("-f,--file", *file, "YAML file, or -")->required();
  diff->callback(
      [context, file]() { context->code = DiffConfig(*context, *file); });
}

void AddSubmit(CLI::App* app, CommandContext* context) {
  auto file = std::make_shared<std::string>();
  auto token = std::make_shared<std::string>();
  auto wait = std::make_shared<bool>(false);
  CLI::App* submit = app->add_subcommand("submit", "submit a job");
  submit->add_option("-f,--file", *file, "manifest in YAML or JSON, or -")
      ->required();
  submit->add_option("--id-token", *token,
                     "last part of the job's id; a retry with the same token "
                     "creates no second job");
  submit->add_flag("--wait", *wait, "wait until the job has ended");
  submit->add_option("--for", context->wait_s,
                     "maximum time to wait, in seconds");
  submit->callback([context, file, token, wait]() {
    context->code = Submit(*context, *file, *token, *wait);
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"doorwood: operate the doorwood scheduler"};
  CommandContext context;
  int timeout_ms = 10000;
  app.require_subcommand(1);
  app.set_config("--config", ".doorwood.toml", "file with address and token",
                 false);
  app.add_option("--address", context.connection.address,
                 "IP address and port of any entry instance")
      ->envname("DOORWOOD_ADDRESS")
      ->capture_default_str();
  app.add_option("--token", context.connection.token, "operators' token")
      ->envname("DOORWOOD_TOKEN");
  app.add_option("--timeout-ms", timeout_ms,
                 "maximum duration of one call, in milliseconds")
      ->check(CLI::Range(100, 600000))
      ->capture_default_str();
  app.add_option("--output", context.format,
                 "output format: table, json or yaml")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, Format>{{"table", Format::kTable},
                                        {"json", Format::kJson},
                                        {"yaml", Format::kYaml}}));
  app.footer(
      "Examples:\n"
      "  doorwood apply -f config.yaml --wait\n"
      "  doorwood submit -f renders.yaml --wait\n"
      "  doorwood --output json job show plaka.3.k2v9\n"
      "  doorwood worker drain w17\n"
      "  doorwood report burn --html burn.html\n"
      "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 not done, 4 "
      "outcome unknown, 5 job failed, 6 timed out");
  app.parse_complete_callback(
      [&]() { context.connection.timeout = Millis(timeout_ms); });
  AddConfigCommands(&app, &context);
  AddSubmit(&app, &context);
  AddJobCommands(&app, &context);
  AddWorkerCommands(&app, &context);
  AddReportCommands(&app, &context);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : doorwood::client::kUsage;
  }
  return context.code;
}
