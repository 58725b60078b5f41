#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/admission/budgeted_recovery_gate.h"
#include "zinnia_decisions/admission/credit_ledger.h"
#include "zinnia_decisions/admission/fair_admission_controller.h"
#include "zinnia_decisions/admission/fair_queue.h"
#include "zinnia_decisions/admission/retry_budget.h"
#include "zinnia_decisions/quarantine/quarantine_view.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeQuarantine final : public QuarantineView {
 public:
  bool IsQuarantined(const Fingerprint& fingerprint) const override {
    return fingerprint == m_quarantined;
  }
  bool IsSuspect(const Fingerprint&) const override { return false; }

  std::optional<Fingerprint> m_quarantined;
};

}  // namespace

TEST_GROUP(Admission) {
  VirtualTime m_time;
  FairAdmissionController m_admission{m_time, m_time, RandomSource(1)};
  std::map<OrganisationName, int> m_admitted;
  std::vector<Error> m_refused;
  std::deque<std::pair<std::unique_ptr<AdmissionGrant>, std::unique_ptr<ScheduledCall>>> m_held;

  void setup() override {
    m_admission.SetPoolCapacity("pool", 10.0);
  }
  void teardown() override {
    m_held.clear();
  }

  AdmissionRequest Make(const OrganisationName& organisation) {
    AdmissionRequest request{.organisation = organisation, .pool = "pool"};
    request.expected_service_time = milliseconds(100);
    return request;
  }

  /** Holds each grant for 100 ms. */
  void Submit(AdmissionRequest request) {
    const OrganisationName organisation = request.organisation;
    m_admission.Request(
        std::move(request), [this, organisation](Result<std::unique_ptr<AdmissionGrant>> grant) {
          if (!grant) {
            m_refused.push_back(grant.error());
            return;
          }
          ++m_admitted[organisation];
          auto& held = m_held.emplace_back(std::move(*grant), nullptr);
          held.second = m_time.ScheduleAfter(milliseconds(100), [&held] { held.first.reset(); });
        });
  }
};

// Guards against one organisation filling a FIFO queue and starving the others.
TEST(Admission, AFloodingOrganisationGetsOnlyItsWeightedShare) {
  m_admission.SetContract({.name = "double", .weight = 2.0});
  for (int tick = 0; tick < 500; ++tick) {
    for (int request = 0; request < 10; ++request) {
      Submit(Make("flood"));
    }
    for (const char* name : {"double", "single"}) {
      Submit(Make(name));
      Submit(Make(name));
    }
    m_time.AdvanceBy(milliseconds(10));
  }
  const double all = m_admitted["flood"] + m_admitted["double"] + m_admitted["single"];
  DOUBLES_EQUAL(0.50, m_admitted["double"] / all, 0.05);
  DOUBLES_EQUAL(0.25, m_admitted["single"] / all, 0.05);
}

// Guards against delaying an organisation below its share because two of its requests arrive in
// quick succession.
TEST(Admission, TwoRequestsInQuickSuccessionPrecedeTheBacklogOfAnother) {
  FairQueue queue;
  const auto push = [&queue](const OrganisationName& organisation) {
    queue.Push({{.organisation = organisation}, {}, {}}, 1.0);
  };
  for (int request = 0; request < 6; ++request) {
    push("flood");
  }
  for (int request = 0; request < 3; ++request) {
    queue.PopNext();
  }
  push("modest");
  push("modest");
  const OrganisationName first = queue.PopNext().request.organisation;
  const OrganisationName second = queue.PopNext().request.organisation;
  CHECK_EQUAL(OrganisationName("modest"), first);
  CHECK_EQUAL(OrganisationName("modest"), second);
}

// Guards against queueing a request whose predicted wait already exceeds its deadline.
TEST(Admission, RefusesOnArrivalWhenTheDeadlineCannotBeMet) {
  for (int request = 0; request < 40; ++request) {
    Submit(Make("organisation"));
  }
  AdmissionRequest late = Make("organisation");
  late.deadline = m_time.Now() + milliseconds(250);
  Submit(late);
  LONGS_EQUAL(1, m_refused.size());
  CHECK_TRUE(m_refused[0].kind == ErrorKind::kDeadlineUnmeetable);
  CHECK_TRUE(m_refused[0].was_run == WasRun::kNo);
  CHECK_TRUE(m_refused[0].retry_after.has_value());
}

TEST(Admission, AdmittedRequestsMeetTheirDeadlinesAtSteadyServiceTimes) {
  int missed = 0;
  for (int tick = 0; tick < 300; ++tick) {
    for (int request = 0; request < 4; ++request) {
      AdmissionRequest asked = Make("organisation");
      asked.deadline = m_time.Now() + milliseconds(300);
      m_admission.Request(asked, [&, deadline = *asked.deadline](auto grant) {
        if (grant) {
          missed += m_time.Now() + milliseconds(100) > deadline ? 1 : 0;
          auto& held = m_held.emplace_back(std::move(*grant), nullptr);
          held.second = m_time.ScheduleAfter(milliseconds(100), [&held] { held.first.reset(); });
        } else {
          m_refused.push_back(grant.error());
        }
      });
    }
    m_time.AdvanceBy(milliseconds(10));
  }
  LONGS_EQUAL(0, missed);
  CHECK_TRUE(!m_refused.empty());
}

// Guards against a constant Retry-After, which would synchronise the retries of refused requests.
TEST(Admission, SpreadsRetryAfterValues) {
  for (int request = 0; request < 1'000; ++request) {
    Submit(Make("organisation"));
  }
  std::map<std::int64_t, int> returns_in_second;
  for (const Error& error : m_refused) {
    ++returns_in_second[error.retry_after->count() / 1'000];
  }
  CHECK_TRUE(m_refused.size() > 500);
  for (const auto& [second, returns] : returns_in_second) {
    CHECK_TRUE(returns < 120);
  }
}

// Guards against an idle pool refusing all requests because of service times measured during a
// past failure, which only new completions would correct.
TEST(Admission, AdmitsAgainAfterSlowAnswersOnceThePoolIsIdle) {
  std::vector<std::unique_ptr<AdmissionGrant>> slow;
  for (int request = 0; request < 10; ++request) {
    m_admission.Request(Make("organisation"),
                        [&](auto grant) { slow.push_back(std::move(*grant)); });
  }
  m_time.AdvanceBy(seconds(20));
  slow.clear();
  m_time.AdvanceBy(seconds(10));
  AdmissionRequest asked = Make("organisation");
  asked.deadline = m_time.Now() + milliseconds(300);
  Submit(asked);
  LONGS_EQUAL(1, m_admitted["organisation"]);
}

// Guards against filling the nominal capacity when larger batches slow every answer down.
TEST(Admission, ReducesConcurrencyWhenAnswersTakeLongerThanExpected) {
  std::vector<std::unique_ptr<AdmissionGrant>> grants;
  std::size_t most = 0;
  for (int round = 0; round < 20; ++round) {
    grants.clear();
    for (int request = 0; request < 10; ++request) {
      m_admission.Request(Make("organisation"), [&](auto grant) {
        if (grant) {
          grants.push_back(std::move(*grant));
        }
      });
    }
    m_time.AdvanceBy(milliseconds(400));
    most = grants.size();
  }
  LONGS_EQUAL(6, most);
}

TEST(Admission, EnforcesContractLimits) {
  m_admission.SetContract({.name = "narrow", .requests_per_second = 5.0});
  m_admission.SetContract({.name = "few", .concurrent_requests = 3});
  for (int request = 0; request < 8; ++request) {
    Submit(Make("narrow"));
    Submit(Make("few"));
  }
  LONGS_EQUAL(5, m_admitted["narrow"]);
  LONGS_EQUAL(3, m_admitted["few"]);
  CHECK_TRUE(m_refused.front().kind == ErrorKind::kRateLimited);
  m_time.AdvanceBy(seconds(1));
  Submit(Make("few"));
  LONGS_EQUAL(4, m_admitted["few"]);
}

TEST(Admission, TheQueueIsBoundedForEachOrganisation) {
  AdmissionSettings settings;
  settings.max_wait = seconds(3'600);
  settings.max_waiting_per_organisation = 7;
  FairAdmissionController admission(m_time, m_time, RandomSource(1), settings);
  admission.SetPoolCapacity("pool", 1.0);
  std::vector<std::unique_ptr<AdmissionGrant>> grants;
  int refused = 0;
  for (int request = 0; request < 20; ++request) {
    admission.Request(Make("organisation"), [&](auto grant) {
      if (grant) {
        grants.push_back(std::move(*grant));
      } else {
        ++refused;
      }
    });
  }
  LONGS_EQUAL(12, refused);
}

TEST_GROUP(RetryBudgets) {
  VirtualTime m_time;
  RetryBudget m_budget{m_time};
  FakeQuarantine m_quarantine;
  BudgetedRecoveryGate m_gate{m_budget, m_quarantine};
  ChatRequest m_request{.organisation = "organisation", .model = "model"};
};

// Guards against retries multiplying the load of a failing pool.
TEST(RetryBudgets, RetriesNeverExceedTheirShareOfFirstTries) {
  int retries = 0;
  for (int first_try = 0; first_try < 1'000; ++first_try) {
    CHECK_TRUE(m_gate.MayStart(m_request).has_value());
    retries +=
        m_gate.MayRecover(m_request, "server", StepStatus::kConnectionLost, 0).has_value() ? 1 : 0;
  }
  CHECK_TRUE(retries >= 100);
  CHECK_TRUE(retries <= 103);
  const auto spent = m_gate.MayRecover(m_request, "server", StepStatus::kTimedOut, 0);
  CHECK_TRUE(spent.error().kind == ErrorKind::kRetryBudgetSpent);
  CHECK_TRUE(m_gate.MayRecover(m_request, "server", StepStatus::kLeaving, 0).has_value());
}

TEST(RetryBudgets, AnotherOrganisationHasItsOwnBudget) {
  int spent = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    spent += m_budget.TrySpend("organisation", "model") ? 1 : 0;
  }
  LONGS_EQUAL(3, spent);
  CHECK_TRUE(m_budget.TrySpend("other", "model"));
  CHECK_TRUE(m_budget.TrySpend("organisation", "other-model"));
}

// Guards against a request crashing one server after another while retry budget is left.
TEST(RetryBudgets, ARequestThatCrashedTwoServersIsNotRetried) {
  CHECK_TRUE(m_gate.MayRecover(m_request, "server", StepStatus::kServerCrashed, 1).has_value());
  const auto third = m_gate.MayRecover(m_request, "server", StepStatus::kServerCrashed, 2);
  CHECK_TRUE(third.error().kind == ErrorKind::kQuarantined);
  m_request.fingerprint = Fingerprint::Of("poison");
  m_quarantine.m_quarantined = m_request.fingerprint;
  CHECK_TRUE(m_gate.MayStart(m_request).error().kind == ErrorKind::kQuarantined);
}

TEST_GROUP(CreditLedgers){};

TEST(CreditLedgers, CreditsEachRequestOnceAndKeepsBounds) {
  CreditLedger ledger(100, 2);
  CHECK_TRUE(ledger.CreditOnce("r-1", "one", RequestClass::kChat, 2.0));
  CHECK_FALSE(ledger.CreditOnce("r-1", "one", RequestClass::kChat, 2.0));
  CHECK_TRUE(ledger.CreditOnce("r-2", "two", RequestClass::kChat, 1.0));
  CHECK_TRUE(ledger.CreditOnce("r-3", "three", RequestClass::kChat, 1.0));
  CHECK_TRUE(ledger.CreditOnce("r-4", "four", RequestClass::kChat, 1.0));
  DOUBLES_EQUAL(2.0, ledger.AllRows().at({"one", RequestClass::kChat}).weight, 0.0);
  LONGS_EQUAL(2, ledger.AllRows().at({"other", RequestClass::kChat}).requests);
}

}  // namespace zinnia
