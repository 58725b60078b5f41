#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "zinnia_adapters/operators/operator_server_options.h"
#include "zinnia_base/errors/result.h"

namespace zinnia {

class HistogramMetrics;
class OperatorDesk;
class ReadinessProbe;

/** The operators' HTTP server on one address, run by the given io_context.

    Bodies, headers, connections and times are bounded. Errors are problem documents. Destroy it on
    the io_context's thread or after the io_context has stopped; the desk, the metrics and the probe
    must outlive the io_context's last handler.

    @see OperatorApi for the paths
*/
class OperatorServer {
 public:
  /** Listens. Fails with kInvalidSettings if the address cannot be bound. */
  static Result<std::unique_ptr<OperatorServer>> Start(boost::asio::io_context& io_context,
                                                       const OperatorServerOptions& options,
                                                       OperatorDesk& desk,
                                                       const HistogramMetrics& metrics,
                                                       const ReadinessProbe& readiness);
  ~OperatorServer();

  /** The bound port: of use when the options asked for port 0. */
  std::uint16_t port() const;

 private:
  class Listener;
  explicit OperatorServer(std::shared_ptr<Listener> listener);

  std::shared_ptr<Listener> m_listener;
};

}  // namespace zinnia
