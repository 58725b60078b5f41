#include <array>
#include <cstdlib>
#include <iostream>

#include "config_everywhere.h"
#include "recovery_after_failures.h"

/** Real processes on loopback: how long callers wait after a failure, and how long a change of the
    configuration takes to be in force on every instance. */
int main() {
  std::array<double, 1> load{};
  getloadavg(load.data(), 1);
  std::cout << "load_before=" << load[0] << std::endl;
  zinnia::bench::MeasureRecoveries();
  zinnia::bench::MeasureConfigurationEverywhere(3);
  zinnia::bench::MeasureConfigurationEverywhere(9);
  getloadavg(load.data(), 1);
  std::cout << "load_after=" << load[0] << std::endl;
  return 0;
}
