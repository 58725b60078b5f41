#pragma once

#include <memory>
#include <string>
#include <utility>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/responder.h"

namespace zinnia {

/** An answer that is known at once: a refusal, the list of models, the state of this instance. */
class FixedExchange final : public CallerExchange {
 public:
  FixedExchange(std::shared_ptr<Responder> responder, CallerResponse response)
      : m_responder(std::move(responder)), m_response(std::move(response)) {}

  void Start() override { std::exchange(m_responder, nullptr)->SendWhole(std::move(m_response)); }
  void OnCallerGone() override {}
  std::string Describe() const override { return "an answer that is being written"; }

 private:
  std::shared_ptr<Responder> m_responder;
  CallerResponse m_response;
};

}  // namespace zinnia
