#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "zinnia_adapters/operators/command_executor.h"
#include "zinnia_adapters/operators/operator_server_options.h"

namespace zinnia {

class HistogramMetrics;
class OperatorDesk;
class ReadinessProbe;

/** A request to the operators' server, as far as the API looks at it. */
struct OperatorRequest {
  std::string method;
  std::string target;
  std::string authorization;
  std::string peer;
  std::string body;
};

/** Its answer. */
struct OperatorResponse {
  unsigned status = 200;
  std::string content_type = "text/plain; charset=utf-8";
  std::string body;
};

/** The paths of the operators' server, without the network:

    - POST /v1/commands `{"command","format"?,"change_id"?}`
    - GET /v1/revision: `{"revision":n}`
    - GET /metrics, optionally ?organisation=NAME
    - GET /ready and GET /healthz, without key

    Safe from any thread if the desk is.

    @see OperatorServer
*/
class OperatorApi {
 public:
  using Callback = std::function<void(OperatorResponse)>;

  OperatorApi(OperatorDesk& desk,
              const HistogramMetrics& metrics,
              const ReadinessProbe& readiness,
              const OperatorServerOptions& options);

  /** The callback runs exactly once, from inside the call or later, on any thread. */
  void Handle(const OperatorRequest& request, const Callback& callback);

 private:
  bool HasKey(const OperatorRequest& request) const;
  void HandleCommand(const OperatorRequest& request, const Callback& callback);
  void HandleRevision(const Callback& callback);
  OperatorResponse HandleMetrics(std::string_view query) const;
  OperatorResponse HandleReady() const;
  std::string NextChangeId();

  OperatorDesk& m_desk;
  const HistogramMetrics& m_metrics;
  const ReadinessProbe& m_readiness;
  const std::string m_operator_key;
  const bool m_metrics_need_key;
  const std::string m_change_id_prefix;
  std::atomic<std::uint64_t> m_changes{0};
  CommandExecutor m_executor;
};

/** An error as a response with a problem document. */
OperatorResponse ToResponse(const Error& error);

}  // namespace zinnia
