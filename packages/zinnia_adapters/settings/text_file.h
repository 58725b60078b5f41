#pragma once

#include <string>

#include "zinnia_base/errors/result.h"

namespace zinnia {

/** Reads a whole small file (at most 1 MiB). Fails with kInvalidSettings naming the file. */
Result<std::string> ReadTextFile(const std::string& file_name);

/** Reads a secret: the file's content without surrounding white space, at least 16 bytes of it.
    `field` is the setting that named the file, for the message. The secret is never in it. */
Result<std::string> ReadSecretFile(const std::string& field, const std::string& file_name);

}  // namespace zinnia
