#pragma once

#include <string>
#include <vector>

#include "zinnia_adapters/language/output_format.h"
#include "zinnia_adapters/log_summary/loss_summary.h"
#include "zinnia_base/errors/result.h"

namespace zinnia {

/** The arguments of `zinnia`. */
struct Arguments {
  std::string operators_url;
  std::string key_file;
  std::string change_id;
  OutputFormat format = OutputFormat::kTable;
  bool wants_help = false;

  /** For `losses`. */
  LossObjectives objectives;
  std::vector<std::string> words;
};

/** Fails with kInvalidCommand for options that it does not know. */
Result<Arguments> ParseArguments(int argc, const char* const* argv);

/** The page that `zinnia --help` prints. */
std::string Usage();

}  // namespace zinnia
