// SPDX-License-Identifier: Apache-2.0

#include "log.adapter/json_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

namespace doorwood {
namespace {

constexpr std::array<std::pair<std::string_view, log4cplus::LogLevel>, 4>
    kLevels = {{{"debug", log4cplus::DEBUG_LOG_LEVEL},
                {"info", log4cplus::INFO_LOG_LEVEL},
                {"warn", log4cplus::WARN_LOG_LEVEL},
                {"error", log4cplus::ERROR_LOG_LEVEL}}};

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string stamp(text.data(), length);
  const std::string fraction = std::to_string(1000 + millis % 1000);
  return stamp + "." + fraction.substr(1) + "Z";
}

}  // namespace

log4cplus::LogLevel LogLevelOf(std::string_view name) {
  for (const auto& [known, level] : kLevels) {
    if (known == name) {
      return level;
    }
  }
  return log4cplus::INFO_LOG_LEVEL;
}

void StartLogging(std::string_view level) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(
      /*logToStdErr=*/true, /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LogLevelOf(level));
}

JsonLog::JsonLog(std::string instance)
    : instance_(std::move(instance)),
      logger_(log4cplus::Logger::getInstance("doorwood")) {}

bool JsonLog::IsEnabled(std::string_view level) const {
  return logger_.isEnabledFor(LogLevelOf(level));
}

void JsonLog::Write(std::string_view level,
                    std::string_view component,
                    std::string_view message,
                    const Json& fields) {
  if (!IsEnabled(level)) {
    return;
  }
  Json line{{"time", Timestamp()},
            {"level", level},
            {"instance", instance_},
            {"component", component},
            {"message", message}};
  if (fields.is_object()) {
    line.update(fields);
  }
  const std::string text =
      line.dump(-1, ' ', false, Json::error_handler_t::replace);
  logger_.log(LogLevelOf(level), text);
}

}  // namespace doorwood
