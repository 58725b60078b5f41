#pragma once

#include <string>

#include "zinnia_adapters/language/output_format.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_world/fleet/network_address.h"
#include "zinnia_world/names/names.h"

namespace zinnia {

/** Speaks to an OperatorServer, one blocking call at a time; for the command line tool.

    A call fails with the server's own error, with kPeerUnavailable if nothing was sent, or with
    kOutcomeUnknown if the answer was lost: a change may then have taken effect, and can be sent
    again with the same change id.
*/
class OperatorClient {
 public:
  /** `url` is http://IP:PORT. Fails with kInvalidSettings. */
  static Result<OperatorClient> Create(const std::string& url, std::string operator_key);

  Result<std::string> RunCommand(const std::string& command,
                                 OutputFormat format,
                                 const std::string& change_id) const;
  Result<ConfigurationRevision> ReadRevision() const;

 private:
  OperatorClient(NetworkAddress address, std::string operator_key);

  Result<std::string> Call(const std::string& method,
                           const std::string& target,
                           const std::string& body) const;

  NetworkAddress m_address;
  std::string m_operator_key;
};

}  // namespace zinnia
