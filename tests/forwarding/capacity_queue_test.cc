#include "zinnia_decisions/forwarding/admission/capacity_queue.h"
#include "zinnia_base/time/virtual_time.h"

#include <set>

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;

TEST_GROUP(CapacityQueueOrder) {
  VirtualTime time;
  CapacityQueue queue{time};

  std::uint64_t Enter(milliseconds on_time_for, std::uint32_t priority = 1) {
    return queue.Enter({priority, time.Now(), time.Now() + on_time_for});
  }
};

TEST(CapacityQueueOrder, RequestsThatCanStartOnTimeComeFirstByDeadline) {
  const auto late = Enter(milliseconds(50));
  time.AdvanceBy(milliseconds(100));
  const auto relaxed = Enter(milliseconds(250));
  const auto pressed = Enter(milliseconds(100));
  const auto urgent = Enter(milliseconds(400), 0);
  CHECK_TRUE(queue.OrderedTickets() ==
             (std::vector<std::uint64_t>{urgent, pressed, relaxed, late}));
}

// Guards against late requests that are starved by newer ones.
TEST(CapacityQueueOrder, LateRequestsAreOrderedByArrival) {
  const auto first = Enter(milliseconds(60));
  time.AdvanceBy(milliseconds(10));
  const auto second = Enter(milliseconds(20));
  time.AdvanceBy(milliseconds(100));
  CHECK_TRUE(queue.OrderedTickets() == (std::vector<std::uint64_t>{first, second}));
}

TEST(CapacityQueueOrder, WaitingTimeAndQueueLengthAreBounded) {
  const auto ticket = Enter(milliseconds(250));
  CHECK_FALSE(queue.IsOverdue(ticket));
  time.AdvanceBy(CapacityQueue::kMaxWait);
  CHECK_TRUE(queue.IsOverdue(ticket));
  for (std::size_t waiting = 1; waiting < CapacityQueue::kMaxWaiting; ++waiting) {
    CHECK_TRUE(Enter(milliseconds(250)) != CapacityQueue::kNoTicket);
  }
  CHECK_TRUE(Enter(milliseconds(250)) == CapacityQueue::kNoTicket);
  queue.Leave(ticket);
  CHECK_TRUE(Enter(milliseconds(250)) != CapacityQueue::kNoTicket);
}

// Guards against callers that use up their retries within a shortage of some seconds.
TEST(CapacityQueueOrder, RetryDelayGrowsWithTheLengthOfTheShortage) {
  const Duration at_first = queue.OnRefused();
  CHECK_TRUE(at_first == milliseconds(500));
  for (int step = 0; step < 20; ++step) {
    time.AdvanceBy(milliseconds(100));
    queue.OnRefused();
  }
  CHECK_TRUE(queue.OnRefused() == milliseconds(2'000));
  time.AdvanceBy(milliseconds(1'500));
  CHECK_TRUE(queue.OnRefused() == at_first);  // A new shortage began.
}

// Bursts: 100 requests a second arrive for 0.8 s and none for 0.2 s, with capacity for 80 a second.
// Without the queue, every fifth request would be refused.
TEST(CapacityQueueOrder, WaitingRequestsUseCapacityThatIsFreedSoon) {
  std::set<std::uint64_t> waiting;
  int begun = 0;
  int refused = 0;
  for (int passed = 0; passed < 10'000; passed += 10) {
    const bool is_pause = passed % 1'000 < 200;  // No requests arrive, so capacity stays free.
    if (!is_pause) {
      const auto ticket = Enter(milliseconds(250));
      ticket == CapacityQueue::kNoTicket ? ++refused
                                         : static_cast<int>(waiting.insert(ticket).second);
    }
    if (passed % 50 != 0) {  // Four of five steps free capacity for one request.
      const auto order = queue.OrderedTickets();
      if (!order.empty()) {
        queue.Leave(order.front());
        waiting.erase(order.front());
        ++begun;
      }
    }
    std::erase_if(waiting, [&](std::uint64_t ticket) {
      const bool is_overdue = queue.IsOverdue(ticket);
      if (is_overdue) {
        queue.Leave(ticket);
        ++refused;
      }
      return is_overdue;
    });
    time.AdvanceBy(milliseconds(10));
  }
  CHECK_EQUAL(0, refused);
  CHECK_EQUAL(800, begun + static_cast<int>(waiting.size()));
  CHECK_TRUE(waiting.size() <= 16);
}

}  // namespace zinnia
