#pragma once

#include <string>

namespace zinnia {

/** Runs an instance that forwards by the platform's store until it is told to stop. Returns the
    process's exit code. */
int RunForwarding(const std::string& settings_file);

}  // namespace zinnia
