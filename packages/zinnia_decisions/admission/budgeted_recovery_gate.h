#pragma once

#include "zinnia_decisions/sessions/recovery_gate.h"

namespace zinnia {

class QuarantineView;
class RetryBudget;

/** Lets a session try again if its request is not known to crash servers and its organisation has
    retries left for the model.

    A move off a server that is leaving is planned work and costs no retry.

    @see RetryBudget, QuarantineView
*/
class BudgetedRecoveryGate final : public RecoveryGate {
 public:
  BudgetedRecoveryGate(RetryBudget& budget, const QuarantineView& quarantine)
      : m_budget(budget), m_quarantine(quarantine) {}

  Result<void> MayStart(const ChatRequest& request) override;
  Result<void> MayRecover(const ChatRequest& request,
                          const BackendServerName& server,
                          StepStatus cause,
                          std::uint32_t crashes) override;

 private:
  RetryBudget& m_budget;
  const QuarantineView& m_quarantine;
};

}  // namespace zinnia
