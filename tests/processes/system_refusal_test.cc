#include "fleet_fixture.h"
#include "polling.h"

// The macros of CppUTest come after the standard headers.
#include <CppUTest/TestHarness.h>

namespace zinnia::testing {

/** Promise 3: what is refused was not run, anywhere. */
TEST_GROUP(SystemRefusal) {
  Fleet m_fleet;
};

TEST(SystemRefusal, LeavesNoTraceAtEnginesAndService) {
  // Symptom: a caller that was told "not run" sends again, and the work is done twice.
  // Events: requests that must be refused: an unknown model, a wrong key, a deadline that cannot be
  // met, a keyed booking while the store is down, a booking without a key.
  // Cause: the request is passed on first and judged afterwards.
  const std::string ledger = m_fleet.WholeLedger();
  ChatCall unknown_model;
  unknown_model.model = "haijulikani";
  ChatCall wrong_key;
  wrong_key.organisation = "wageni";
  ChatCall hurried;
  hurried.deadline_ms = 1;
  const std::vector<std::pair<ChatCall, std::string>> refusals = {{unknown_model, "unknown_model"},
                                                                  {wrong_key, "unauthorized"},
                                                                  {hurried, "deadline_unmeetable"}};
  for (const auto& [call, kind] : refusals) {
    const StreamedAnswer refused = m_fleet.Chat(0, call);
    STRCMP_EQUAL(kind.c_str(), refused.error_kind.c_str());
    STRCMP_EQUAL("no", refused.was_run.c_str());
  }
  STRCMP_EQUAL("unauthorized/no", ProblemOf(m_fleet.Book(0, "k", "{}", "wageni")).c_str());
  STRCMP_EQUAL("invalid_request/no", ProblemOf(m_fleet.Caller(0)->Post("/bookings", "{}")).c_str());
  Fleet::Control(m_fleet.Store(), R"({"outage":true})");
  STRCMP_EQUAL("store_unavailable/no", ProblemOf(m_fleet.Book(0, "k")).c_str());
  LONGS_EQUAL(0, m_fleet.Bookings());
  STRCMP_EQUAL(ledger.c_str(), m_fleet.WholeLedger().c_str());

  // Nothing of the refused booking is left behind that would answer for it later.
  Fleet::Control(m_fleet.Store(), R"({"outage":false})");
  CHECK_TRUE(Eventually([&] { return m_fleet.Book(1, "k").status == 200; }));
  LONGS_EQUAL(1, m_fleet.Bookings());
}

}  // namespace zinnia::testing
