#include "bench/once/benchmarks.h"

int main() {
  zinnia::BenchLoad();
  zinnia::BenchOutage();
  zinnia::BenchTakeovers();
  zinnia::BenchSchedules(std::chrono::seconds(45), 100'000);
  return 0;
}
