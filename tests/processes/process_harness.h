#pragma once

#include <list>
#include <string>
#include <vector>

#include "child_process.h"

namespace zinnia::testing {

/** Starts the project's own programs for a test and ends them with itself.

    @code
    ProcessHarness harness;
    const auto engine = harness.StartStandin("engine", {"--end-layer", "4"});
    HttpClient(engine.address).Post("/v1/steps", steps);
    engine.process.Signal(SIGSTOP);
    @endcode
    @see HttpClient
*/
class ProcessHarness {
 public:
  /** A program that listens; `address` is what it printed as `listening=`. */
  struct Server {
    ChildProcess& process;
    std::string address;
  };

  /** `program` is a path below the build folder, for instance "packages/zinnia_apps/zinniad". */
  ChildProcess& Start(const std::string& program, const std::vector<std::string>& arguments);

  /** Starts zinnia_standin and waits until it listens. */
  Server StartStandin(const std::string& kind, std::vector<std::string> arguments = {});

 private:
  std::list<ChildProcess> m_children;
};

}  // namespace zinnia::testing
