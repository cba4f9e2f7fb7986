// papaya_standin: simulates one model engine, one plain service or the
// platform, for tests and demonstrations.

#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "include/settings/value_parsers.h"
#include "include/standin/standin_server.h"
#include "src/program_flags.h"

DEFINE_string(role, "engine", "Role to simulate: engine, service or platform.");
DEFINE_string(address,
              "127.0.0.1:0",
              "IP:PORT to listen on; port 0 selects a free port.");
DEFINE_string(name, "", "Name printed in the line that reports readiness.");
DEFINE_uint64(seed, 1, "Seed of the random injected faults.");
DEFINE_string(faults,
              "{}",
              "Initial faults, in the JSON format of POST /faults.");

DEFINE_string(first_version, "v1", "Engine: initially active version.");
DEFINE_double(prefill_rate,
              20000,
              "Engine: prompt tokens prefilled per second.");
DEFINE_double(token_ms, 5, "Engine: duration of a decode step of one stream.");
DEFINE_double(batch_growth,
              0.05,
              "Engine: fraction of token_ms that each further stream adds.");
DEFINE_int32(max_batch, 16, "Engine: maximum streams in the batch.");
DEFINE_int32(cache_blocks, 4096, "Engine: prefix cache capacity in blocks.");
DEFINE_double(load_ms, 500, "Engine: time to load a version.");
DEFINE_int32(concurrent_loads, 1, "Engine: maximum concurrent loads.");
DEFINE_bool(checks_fencing,
            true,
            "Engine: reject orders with a stale fencing number.");
DEFINE_string(bad_version,
              "",
              "Engine: version with an injected fault, if any.");
DEFINE_int32(bad_failing_permille,
             0,
             "Engine: share of its streams that fail with status 500.");
DEFINE_double(
    bad_slow_factor,
    1,
    "Engine: factor on the duration of its decode and prefill steps.");
DEFINE_double(bad_after_ms, 0, "Engine: time from activation to the fault.");
DEFINE_int32(bad_min_batch, 0, "Engine: smallest batch with the fault.");
DEFINE_string(bad_prompt_part, "", "Engine: text of prompts with the fault.");

DEFINE_double(service_ms, 5, "Service: duration of a call.");

DEFINE_double(reads_per_second, 2000, "Platform: rate limit of reads.");
DEFINE_double(writes_per_second, 400, "Platform: rate limit of writes.");
DEFINE_double(watch_seconds, 30, "Platform: time limit of a watch.");
DEFINE_string(vms, "", "Platform: comma-separated ids of the VM list.");

namespace papaya {
namespace {

constexpr int kUsageError = 2;
constexpr int kStartFailed = 1;

EngineOptions EngineOptionsFromFlags() {
  EngineOptions options;
  options.versions.version = VersionId(FLAGS_first_version);
  options.versions.load_time = SecondsToDuration(FLAGS_load_ms / 1000);
  options.versions.concurrent_loads = FLAGS_concurrent_loads;
  options.versions.checks_fencing = FLAGS_checks_fencing;
  options.prefill_tokens_per_second = FLAGS_prefill_rate;
  options.time_per_token = SecondsToDuration(FLAGS_token_ms / 1000);
  options.batch_growth = FLAGS_batch_growth;
  options.max_batch = static_cast<size_t>(FLAGS_max_batch);
  options.cache_blocks = static_cast<size_t>(FLAGS_cache_blocks);
  return options;
}

std::vector<VersionFault> VersionFaultsFromFlags() {
  if (FLAGS_bad_version.empty()) {
    return {};
  }
  return {{.version = VersionId(FLAGS_bad_version),
           .failing = Permille(FLAGS_bad_failing_permille),
           .slow_factor = FLAGS_bad_slow_factor,
           .after = SecondsToDuration(FLAGS_bad_after_ms / 1000),
           .min_batch = static_cast<size_t>(FLAGS_bad_min_batch),
           .prompt_part = FLAGS_bad_prompt_part}};
}

StandinOptions OptionsFromFlags(StandinRole role) {
  StandinOptions options;
  options.role = role;
  options.address = FLAGS_address;
  options.seed = FLAGS_seed;
  options.engine = EngineOptionsFromFlags();
  options.version_faults = VersionFaultsFromFlags();
  options.service_time = SecondsToDuration(FLAGS_service_ms / 1000);
  options.platform.reads_per_second = FLAGS_reads_per_second;
  options.platform.writes_per_second = FLAGS_writes_per_second;
  options.platform.max_watch = SecondsToDuration(FLAGS_watch_seconds);
  for (const std::string& vm : SplitList(FLAGS_vms)) {
    options.vms.emplace_back(vm);
  }
  return options;
}

// Returns false and prints an error if a flag has an invalid value.
bool CheckFlags() {
  const bool is_valid = FLAGS_prefill_rate > 0 && FLAGS_token_ms > 0 &&
                        FLAGS_batch_growth >= 0 && FLAGS_max_batch > 0 &&
                        FLAGS_cache_blocks > 0 && FLAGS_service_ms >= 0 &&
                        FLAGS_bad_slow_factor > 0;
  if (!is_valid) {
    std::cerr << "papaya_standin: --prefill_rate, --token_ms, --max_batch, "
                 "--cache_blocks and --bad_slow_factor must be positive, "
                 "--batch_growth and --service_ms must not be negative\n";
  }
  return is_valid;
}

void PrintReady(const StandinServer& server) {
  std::cout << boost::json::serialize(
                   boost::json::object{{"ready", true},
                                       {"role", FLAGS_role},
                                       {"name", FLAGS_name},
                                       {"address", server.address()}})
            << std::endl;
}

int Run() {
  const std::optional<StandinRole> role = ParseStandinRole(FLAGS_role);
  if (!role || !CheckFlags()) {
    std::cerr << "papaya_standin: invalid flags; --role must be engine, "
                 "service or platform\n";
    return kUsageError;
  }
  StandinOptions options = OptionsFromFlags(*role);
  const absl::Status faults = ApplyFaultsJson(FLAGS_faults, options.faults);
  if (!faults.ok()) {
    std::cerr << "papaya_standin: --faults: " << faults.message() << "\n";
    return kUsageError;
  }
  boost::asio::io_context context(1);
  StandinServer server(&context, options);
  const absl::Status started = server.Start();
  if (!started.ok()) {
    std::cerr << "papaya_standin: " << started.message() << "\n";
    return kStartFailed;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const boost::system::error_code& error, int) {
    if (!error) {
      context.stop();
    }
  });
  PrintReady(server);
  context.run();
  return 0;
}

}  // namespace
}  // namespace papaya

int main(int argc, char** argv) {
  const std::optional<int> ended = papaya::ReadProgramFlags(
      "papaya_standin",
      "simulates one model engine, plain service or the platform", &argc,
      &argv);
  return ended.has_value() ? *ended : papaya::Run();
}
