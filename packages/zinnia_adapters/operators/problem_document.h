#pragma once

#include <string>

#include "zinnia_base/errors/error.h"
#include "zinnia_base/errors/result.h"

namespace zinnia {

/** An error as application/problem+json: title, status, detail, kind, message, remedy, was_run and
    retry_after_ms if there is one. */
std::string WriteProblem(const Error& error, unsigned status);

/** Reads a problem document back, for the command line tool. Whatever it cannot read becomes an
    error of the kind kInternal with the text in it. */
Error ReadProblem(const std::string& text);

}  // namespace zinnia
