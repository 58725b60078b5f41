#pragma once

#include "zinnia_decisions/sessions/recovery_gate.h"

namespace zinnia {

class QuarantineView;
class RetryBudget;

/** Allows a recovery if the request is not quarantined and its organisation has retry budget left
    for the model.

    Moving off a leaving server is planned and consumes no budget.

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
