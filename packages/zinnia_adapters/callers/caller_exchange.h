#pragma once

#include <memory>
#include <optional>
#include <string>

#include "zinnia_decisions/sessions/session_driver.h"

namespace zinnia {

/** One request of a caller, from its parsed HTTP message to the end of its answer. */
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  /** Begins. The answer goes to the responder, maybe before this returns. */
  virtual void Start() = 0;

  /** The caller closed its connection or was cut off. The exchange answers no more. */
  virtual void OnCallerGone() = 0;

  /** One line for operators: what a drain waits for. */
  virtual std::string Describe() const = 0;

  /** The session that it runs, or null. */
  virtual SessionDriver* Session() const { return nullptr; }
};

}  // namespace zinnia
