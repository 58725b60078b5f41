#pragma once

#include <string>

#include "zinnia_adapters/language/output_format.h"

namespace zinnia {

/** What a command answers when it went well. */
struct CommandReply {
  OutputFormat format = OutputFormat::kTable;
  std::string text;
};

}  // namespace zinnia
