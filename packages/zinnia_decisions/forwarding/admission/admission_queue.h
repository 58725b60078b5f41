#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/admission/start_tags.h"
#include "zinnia_decisions/forwarding/admission/class_request.h"

namespace zinnia {

class ClassHeadroom;
class StartRate;

/** Orders the requests to one prioritized service that wait for capacity at this instance, and
    predicts how long they will wait.

    Order: requests that can still start on time; classes that are underserved, then by urgency;
    organisations by start-time fair queueing over expected work; returning callers; age.

    A request waits as long as it will probably start on time, or too little is known to predict it.
    If the chance is between a quarter and a half, it waits for an eighth of its latency objective
   at most; if it is lower, not at all. A higher bar would leave the queue of a small instance,
   which starts a few requests per second, empty: freed capacity would go to whoever asks first.

    Not thread-safe; belongs to one traffic thread. The caller checks whether capacity is available.
*/
class AdmissionQueue {
 public:
  /** Bounds the cost of a scan, as for CapacityQueue. The last in the order are refused. */
  static constexpr std::size_t kMaxWaiting = 96;

  static constexpr std::uint64_t kNoTicket = 0;

  /** All references must outlive the object. */
  AdmissionQueue(const Clock& clock, const ClassHeadroom& headroom, const StartRate& rate)
      : m_clock(clock), m_headroom(headroom), m_rate(rate) {}

  /** Whether a waiting request goes before this one, which therefore must wait too. */
  bool HasAhead(const ClassRequest& request) const;

  /** Returns a ticket to be passed to Leave. */
  std::uint64_t Enter(const ClassRequest& request);
  void Leave(std::uint64_t ticket) { m_waiting.erase(ticket); }

  /** Charges a request that starts to its organisation, whether it waited or not. */
  void OnStarted(const ClassRequest& request);

  /** Whether the organisation has received at least as much work of the class as any other. False
      for the only organisation. */
  bool IsAheadOfOthers(const ClassRequest& request) const;

  /** Tickets in the order in which the requests should be tried now. Updates their predictions. */
  std::vector<std::uint64_t> OrderedTickets();

  /** Whether the request should be refused now. Refers to the order at the last call of Enter or
      OrderedTickets. */
  bool MustRefuse(std::uint64_t ticket) const;

  /** Median of the remaining wait; nullopt if too little is known of the rate of starts. Refers to
      the same order. */
  std::optional<Duration> PredictedWait(std::uint64_t ticket) const;

  std::size_t Count() const { return m_waiting.size(); }
  std::size_t CountOf(std::size_t request_class) const;

 private:
  /** Quantiles of the remaining wait. */
  struct Prediction {
    Duration median{};
    Duration lower_quartile{};
  };
  struct Waiting {
    ClassRequest request;
    std::size_t position = 0;
    std::optional<Prediction> prediction;
  };

  /** State of fair queueing within a class. */
  struct ClassShares {
    StartTags tags{kMaxSavedRequests};
    std::map<OrganisationName, double> finish_tags;
  };

  /** An organisation that was refused while others started keeps its claim to this many requests.
      Few requests wait at a time, so with one request it would lose most of its turns. */
  static constexpr double kMaxSavedRequests = 8.0;

  using Entry = std::pair<std::uint64_t, const ClassRequest*>;
  std::vector<std::uint64_t> Order(std::vector<Entry> entries) const;
  std::vector<Entry> Entries() const;
  void Predict(const std::vector<std::uint64_t>& order);
  static void ForgetIdle(ClassShares& shares);

  const Clock& m_clock;
  const ClassHeadroom& m_headroom;
  const StartRate& m_rate;
  std::map<std::uint64_t, Waiting> m_waiting;
  std::map<std::size_t, ClassShares> m_shares;
  std::uint64_t m_last_ticket = kNoTicket;
};

}  // namespace zinnia
