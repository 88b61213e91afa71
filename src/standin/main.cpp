// SPDX-License-Identifier: Apache-2.0

// doorwood-standin: stand-ins for the platform's services, one role per
// process.

#include <CLI/CLI.hpp>

#include "standin/standin.h"

namespace {

using doorwood::standin::ServerOptions;

void AddServerOptions(CLI::App* app, ServerOptions* options) {
  app->add_option("--listen", options->listen, "IP address and port");
  app->add_option("--lifetime-s", options->lifetime_s,
                  "seconds after which the process exits")
      ->check(CLI::Range(1, 7200));
  app->add_option("--record", options->record, "file for the recorded events");
  app->add_option("--threads", options->threads, "threads that handle calls");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-ins for the platform, for tests and the demo only"};
  app.require_subcommand(1);
  int code = 0;

  doorwood::standin::KvRole kv;
  kv.server.threads = 256;
  CLI::App* kv_app = app.add_subcommand("kv", "the key-value service");
  AddServerOptions(kv_app, &kv.server);
  kv_app->callback([&]() { code = RunKv(kv); });

  doorwood::standin::WorkerRole worker;
  CLI::App* worker_app = app.add_subcommand("worker", "a worker");
  AddServerOptions(worker_app, &worker.server);
  worker.server.threads = 8;
  worker_app->add_option("--name", worker.name, "its id");
  worker_app->add_option("--cpu-millis", worker.capacity.cpu_millis);
  worker_app->add_option("--memory-mib", worker.capacity.memory_mib);
  worker_app->add_option("--accelerators", worker.capacity.accelerators);
  worker_app->add_flag(
      "!--no-fence", worker.fences,
      "accept orders of other epochs and after the lease has expired");
  worker_app->callback([&]() { code = RunWorker(worker); });

  doorwood::standin::BackendRole backend;
  CLI::App* backend_app = app.add_subcommand("backend", "a backend server");
  AddServerOptions(backend_app, &backend.server);
  backend_app->add_option("--name", backend.name, "its id");
  backend_app->add_option("--slots", backend.slots);
  backend_app->add_option("--latency-ms", backend.latency_ms);
  backend_app->callback([&]() { code = RunBackend(backend); });

  doorwood::standin::InstancesRole instances;
  CLI::App* instances_app =
      app.add_subcommand("instances", "the list of instances");
  AddServerOptions(instances_app, &instances.server);
  instances_app
      ->add_option("--file", instances.file,
                   "JSON array of the initial instances")
      ->required();
  instances_app->add_option("--lag-ms", instances.lag_ms);
  instances_app->callback([&]() { code = RunInstances(instances); });

  doorwood::standin::LinkRole link;
  CLI::App* link_app =
      app.add_subcommand("link", "TCP proxy that can simulate a partition");
  AddServerOptions(link_app, &link.server);
  link_app->add_option("--target", link.target)->required();
  link_app->add_option("--control", link.control)->required();
  link_app->callback([&]() { code = RunLink(link); });

  CLI11_PARSE(app, argc, argv);
  return code;
}
