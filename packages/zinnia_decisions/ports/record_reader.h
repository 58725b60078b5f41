#pragma once

#include <optional>
#include <string>

#include "zinnia_base/errors/result.h"
#include "zinnia_world/forwarding/forwarding_rules.h"
#include "zinnia_world/forwarding/server_entry.h"

namespace zinnia {

/** Decodes the records that operators and servers write into the store. */
class RecordReader {
 public:
  virtual ~RecordReader() = default;

  virtual bool IsConfiguration(const std::string& key) const = 0;

  /** The server's registration name if the key is that of a server entry. */
  virtual std::optional<std::string> RegistrationOf(const std::string& key) const = 0;

  virtual Result<ForwardingRules> ReadRules(const std::string& value) const = 0;

  /** Validates and decodes a server entry. The error names the invalid field. */
  virtual Result<ServerEntry> ReadServer(const std::string& registration,
                                         const std::string& value) const = 0;
};

}  // namespace zinnia
