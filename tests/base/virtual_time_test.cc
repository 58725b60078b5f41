#include "zinnia_base/time/virtual_time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace zinnia {

TEST_GROUP(VirtualTimeTest) {
  VirtualTime m_time;
  std::string m_order;
};

TEST(VirtualTimeTest, RunsCallsInOrderOfTimeThenOfScheduling) {
  auto late = m_time.ScheduleAfter(20ms, [this] { m_order += "c"; });
  auto first = m_time.ScheduleAfter(10ms, [this] { m_order += "a"; });
  auto second = m_time.ScheduleAfter(10ms, [this] { m_order += "b"; });
  m_time.AdvanceBy(30ms);
  STRCMP_EQUAL("abc", m_order.c_str());
}

TEST(VirtualTimeTest, DestroyedCallNeverRuns) {
  auto call = m_time.ScheduleAfter(1ms, [this] { m_order += "x"; });
  call.reset();
  m_time.AdvanceBy(1s);
  STRCMP_EQUAL("", m_order.c_str());
}

TEST(VirtualTimeTest, RunsDueCallsScheduledWhileAdvancing) {
  std::unique_ptr<ScheduledCall> inner;
  auto outer = m_time.ScheduleAfter(
      1ms, [&] { inner = m_time.ScheduleAfter(1ms, [this] { m_order += "inner"; }); });
  m_time.AdvanceBy(2ms);
  STRCMP_EQUAL("inner", m_order.c_str());
}

TEST(VirtualTimeTest, CallMayDestroyItsOwnHandle) {
  std::unique_ptr<ScheduledCall> call;
  call = m_time.ScheduleAfter(1ms, [&] {
    call.reset();
    m_order += "ran";
  });
  m_time.AdvanceBy(1ms);
  STRCMP_EQUAL("ran", m_order.c_str());
}

TEST(VirtualTimeTest, HandleMayOutliveVirtualTime) {
  std::unique_ptr<ScheduledCall> call;
  {
    VirtualTime short_lived;
    call = short_lived.ScheduleAfter(1ms, [] {});
  }
  call.reset();
}

}  // namespace zinnia
