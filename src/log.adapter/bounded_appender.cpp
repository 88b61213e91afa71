// SPDX-License-Identifier: Apache-2.0

#include "log.adapter/bounded_appender.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>

#include "log.adapter/json_log.h"

namespace doorwood {
namespace {

// Maximum number of bytes buffered while standard output is not read.
constexpr size_t kMaxBufferedBytes = 256 * 1024;
// A pipe that is ready for writing accepts this many bytes without blocking.
constexpr size_t kMaxWriteBytes = 4096;

std::string& BufferedLines() {
  static std::string lines;
  return lines;
}

uint64_t& DroppedLineCount() {
  static uint64_t lines = 0;
  return lines;
}

class BoundedAppender : public log4cplus::Appender {
 public:
  ~BoundedAppender() override { destructorImpl(); }
  void close() override { FlushLog(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string& lines = BufferedLines();
    const std::string& message = event.getMessage();
    if (lines.size() + message.size() + 1 > kMaxBufferedBytes) {
      ++DroppedLineCount();
      return;
    }
    lines += message;
    lines += '\n';
  }
};

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void StartNonBlockingLogging(std::string_view level) {
  static const log4cplus::Initializer initializer;
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(log4cplus::SharedAppenderPtr(new BoundedAppender));
  root.setLogLevel(LogLevelOf(level));
}

void FlushLog() {
  std::string& lines = BufferedLines();
  size_t written = 0;
  while (written < lines.size() && IsWritable(STDOUT_FILENO)) {
    const size_t size = std::min(kMaxWriteBytes, lines.size() - written);
    const ssize_t count = write(STDOUT_FILENO, lines.data() + written, size);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  lines.erase(0, written);
}

uint64_t DroppedLogLines() {
  return DroppedLineCount();
}

}  // namespace doorwood
