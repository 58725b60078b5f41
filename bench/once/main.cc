#include <cstdlib>

#include "bench/once/benchmarks.h"

/** Without arguments everything; `bench_once SEED [COUNT]` replays these schedules only. */
int main(int argument_count, char** arguments) {
  zinnia::ScheduleRun run;
  if (argument_count > 1) {
    run.first_seed = std::strtoull(arguments[1], nullptr, 10);
    run.most = argument_count > 2 ? std::strtoull(arguments[2], nullptr, 10) : 1;
  } else {
    zinnia::BenchLoad();
    zinnia::BenchOutage();
    zinnia::BenchTakeovers();
  }
  zinnia::BenchSchedules(run);
  return 0;
}
