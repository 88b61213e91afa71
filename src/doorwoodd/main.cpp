// SPDX-License-Identifier: Apache-2.0

// doorwoodd: daemon that runs one entry instance.

#include <malloc.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "doorwood/settings.h"
#include "doorwood/settings_file.h"
#include "doorwoodd/daemon.h"

namespace {

constexpr int kBadSettings = 2;
constexpr int kCannotRun = 1;
// Larger blocks, such as the bodies of requests, go back to the system as soon
// as they are freed. By default, each thread would keep some.
constexpr int kLargeBlockBytes = 64 * 1024;

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  CLI::App app{"doorwoodd: an entry instance of the doorwood scheduler"};
  std::string file;
  std::string level;
  bool check = false;
  app.add_option("--settings", file, "YAML file with this process's settings")
      ->required();
  app.add_flag("--check-settings", check, "check the settings and exit");
  app.add_option("--log-level", level, "debug, info, warn or error")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
  app.footer("Example: doorwoodd --settings /etc/doorwood/plaka-1.yaml");
  CLI11_PARSE(app, argc, argv);

  auto settings = doorwood::LoadSettings(file, doorwood::ParseSettings);
  if (!settings) {
    return kBadSettings;
  }
  if (check) {
    std::cout << file << ": good\n";
    return 0;
  }
  if (!level.empty()) {
    settings->log_level = level;
  }
  try {
    doorwood::StartLogging(settings->log_level);
    doorwood::Daemon daemon(*settings);
    daemon.Run();
  } catch (const std::exception& e) {
    std::cerr << "doorwoodd: " << e.what() << "\n";
    return kCannotRun;
  }
  return 0;
}
