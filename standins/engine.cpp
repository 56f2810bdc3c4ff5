/// @file
/// Simulates a model engine for the demo and the tests.

#include "EngineStandin.h"
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:9100", "address to listen on");
ABSL_FLAG(std::string, name, "engine", "name in answers");
ABSL_FLAG(unsigned, slots, 8, "sequences that run at once");
ABSL_FLAG(unsigned, queue, 64, "sequences that wait inside");
ABSL_FLAG(unsigned, prefill_us, 200, "microseconds of prefill for each prompt token");
ABSL_FLAG(unsigned, token_us, 20'000, "microseconds between tokens");
ABSL_FLAG(unsigned, load_lag_ms, 500, "age of the load report, in milliseconds");

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in for a model engine.");
    absl::ParseCommandLine(argc, argv);
    standins::EngineOptions options;
    options.listen = absl::GetFlag(FLAGS_listen);
    options.name = absl::GetFlag(FLAGS_name);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.maxQueued = absl::GetFlag(FLAGS_queue);
    options.prefillPerToken = std::chrono::microseconds(absl::GetFlag(FLAGS_prefill_us));
    options.tokenInterval = std::chrono::microseconds(absl::GetFlag(FLAGS_token_us));
    options.loadReportLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
    standins::EngineStandin engine(options);
    engine.run();
    return 0;
}
