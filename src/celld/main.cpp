// SPDX-License-Identifier: Apache-2.0

// doorwood-celld: the process of one entry instance on the platform.

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "celld/entry_daemon.h"
#include "doorwood/settings_file.h"
#include "log.adapter/bounded_appender.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;
constexpr char kSettingsVariable[] = "DOORWOOD_SETTINGS";

// Signals that the daemon handles. They are blocked until its handlers are set
// up; otherwise they would end the process in the middle of its start.
sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  CLI::App app{"doorwood-celld: an entry instance that schedules cells"};
  std::string file;
  bool check = false;
  app.add_option("--settings", file, "YAML file with this process's settings")
      ->envname(kSettingsVariable)
      ->required();
  app.add_flag("--check-settings", check, "check the settings and exit");
  app.footer("Example: doorwood-celld --settings /etc/doorwood/plaka-1.yaml");
  CLI11_PARSE(app, argc, argv);

  const auto settings =
      doorwood::LoadSettings(file, doorwood::ParseEntrySettings);
  if (!settings) {
    return kExitBadSettings;
  }
  if (check) {
    std::cout << file << ": good\n";
    return 0;
  }
  try {
    doorwood::StartNonBlockingLogging(settings->log_level);
    doorwood::EntryDaemon daemon(*settings, file);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
    daemon.Run();
    // Either all requests are answered and the lead is released, or the grace
    // time has almost elapsed; the log is flushed as far as standard output
    // accepts it without blocking. quick_exit skips the destructors of the
    // libraries' static objects, which wait for the log's threads: with a
    // normal exit, processes hung until they were killed at the end of their
    // grace time.
    std::quick_exit(0);
  } catch (const std::exception& e) {
    std::cerr << "doorwood-celld: " << e.what() << "\n";
    return kExitFailure;
  }
  return 0;
}
