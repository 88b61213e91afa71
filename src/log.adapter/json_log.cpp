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

std::string FormatSecond(std::time_t seconds) {
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> text{};
  const size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  return {text.data(), length};
}

// Many lines are written within one second, so the formatted text of the
// current second is cached.
std::string Timestamp() {
  thread_local std::time_t cached_second = -1;
  thread_local std::string cached_text;
  const auto now = std::chrono::system_clock::now();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count();
  const std::time_t second = millis / 1000;
  if (second != cached_second) {
    cached_second = second;
    cached_text = FormatSecond(second);
  }
  const std::string fraction = std::to_string(1000 + millis % 1000);
  return cached_text + "." + fraction.substr(1) + "Z";
}

std::string Quote(std::string_view text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
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

JsonLog::JsonLog(std::string_view instance)
    : quoted_instance_(R"(,"instance":)" + Quote(instance)),
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
  // The line is concatenated as text. Building one JSON object for the line and
  // another for its fields costs twice as much, and a busy leader writes 2,000
  // lines per second.
  std::string line = R"({"time":")" + Timestamp() + R"(","level":)" +
                     Quote(level) + quoted_instance_ + R"(,"component":)" +
                     Quote(component) + R"(,"message":)" + Quote(message);
  if (fields.is_object() && !fields.empty()) {
    const std::string body =
        fields.dump(-1, ' ', false, Json::error_handler_t::replace);
    line += ',';
    line.append(body, 1, std::string::npos);
  } else {
    line += '}';
  }
  logger_.log(LogLevelOf(level), line);
}

}  // namespace doorwood
