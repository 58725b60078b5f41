#include "process_harness.h"

namespace zinnia::testing {

ChildProcess& ProcessHarness::Start(const std::string& program,
                                    const std::vector<std::string>& arguments) {
  return m_children.emplace_back(std::string(ZINNIA_BINARIES) + "/" + program, arguments);
}

ProcessHarness::Server ProcessHarness::StartStandin(const std::string& kind,
                                                    std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), kind);
  ChildProcess& process = Start("standins/zinnia_standin", arguments);
  return {process, process.WaitForValue("listening")};
}

}  // namespace zinnia::testing
