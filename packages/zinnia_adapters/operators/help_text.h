#pragma once

#include <string>

namespace zinnia {

/** The operators' language on one page. */
std::string HelpText();

}  // namespace zinnia
