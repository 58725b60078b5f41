#include "once_gate_bridge.h"

#include <utility>

namespace zinnia {
namespace {

Error NotServing() {
  Error error = MakeError(ErrorKind::kPeerUnavailable, "this instance is starting or stopping");
  error.retry_after = std::chrono::seconds(1);
  return error;
}

/** Wraps a callback so that it runs through `post` wherever it is called. */
template <typename Value>
std::function<void(Result<Value>)> BackThrough(OnceGateBridge::Post post,
                                               std::function<void(Result<Value>)> callback) {
  return [post = std::move(post), callback = std::move(callback)](Result<Value> result) {
    post([callback, result = std::move(result)]() mutable { callback(std::move(result)); });
  };
}

}  // namespace

OnceGateBridge::OnceGateBridge(Post to_control, Post to_traffic, std::function<OnceGate*()> gate)
    : m_to_control(std::move(to_control)),
      m_to_traffic(std::move(to_traffic)),
      m_gate(std::move(gate)) {}

void OnceGateBridge::Begin(IntentRequest request,
                           std::function<void(Result<IntentReply>)> callback) {
  m_to_control([gate = m_gate, request = std::move(request),
                callback = BackThrough(m_to_traffic, std::move(callback))]() mutable {
    if (OnceGate* found = gate()) {
      found->Begin(std::move(request), std::move(callback));
    } else {
      callback(NotServing());
    }
  });
}

void OnceGateBridge::Report(IntentOutcome outcome, std::function<void(Result<void>)> callback) {
  m_to_control([gate = m_gate, outcome = std::move(outcome),
                callback = BackThrough(m_to_traffic, std::move(callback))]() mutable {
    if (OnceGate* found = gate()) {
      found->Report(std::move(outcome), std::move(callback));
    } else {
      callback(NotServing());
    }
  });
}

}  // namespace zinnia
