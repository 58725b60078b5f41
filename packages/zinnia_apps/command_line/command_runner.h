#pragma once

#include <string>

#include "zinnia_adapters/language/output_format.h"
#include "zinnia_adapters/operators/operator_client.h"
#include "zinnia_apps/command_line/exit_code.h"
#include "zinnia_base/random/random_source.h"

namespace zinnia {

/** Runs commands of the operators' language against an instance and prints what it answers. */
class CommandRunner {
 public:
  CommandRunner(OperatorClient client, OutputFormat format, RandomSource random);

  /** Checks the command here first, so that a misspelt one costs no call. A change without
      'against N' gets the revision of now, which is printed: whoever changes the entry in between
      still makes it fail. An empty `change_id` means a new change. */
  ExitCode Run(const std::string& command, std::string change_id = {});

 private:
  Result<std::string> AddRevision(const std::string& command) const;

  OperatorClient m_client;
  OutputFormat m_format;
  RandomSource m_random;
};

}  // namespace zinnia
