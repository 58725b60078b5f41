#include "bench/path/instance_meter.h"

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace zinnia::bench {

double CpuSecondsOf(pid_t process) {
  std::ifstream file(fmt::format("/proc/{}/stat", process));
  std::string text;
  std::getline(file, text);
  // The program's name stands in brackets and may hold spaces; user time is the 12th field after.
  constexpr int kFieldsBeforeUserTime = 11;
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0.0;
  double system = 0.0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentKilobytesOf(pid_t process) {
  std::ifstream file(fmt::format("/proc/{}/status", process));
  std::string word;
  while (file >> word && word != "VmRSS:") {
  }
  double kilobytes = 0.0;
  file >> kilobytes;
  return kilobytes;
}

double LoadAverage() {
  std::ifstream file("/proc/loadavg");
  double load = 0.0;
  file >> load;
  return load;
}

}  // namespace zinnia::bench
