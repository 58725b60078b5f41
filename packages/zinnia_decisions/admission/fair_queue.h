#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "zinnia_decisions/admission/admission_controller.h"

namespace zinnia {

/** Work that waits, with its place in virtual time. */
struct WaitingWork {
  AdmissionRequest request;
  AdmissionController::Callback callback;
  TimePoint queued_at{};
  double start_tag = 0.0;
};

/** Start-time fair queueing between organisations.

    Each piece of work gets a start tag in virtual time: the end of the organisation's work before
    it, or one request before the present virtual time if it sent less than its share. The lowest
    tag is next. An organisation's tags advance by cost over weight, so that organisations that
    always have work waiting get shares in proportion to their weights, whoever sends more, and one
    that was idle gets credit for one request only.

    @see FairAdmissionController
*/
class FairQueue {
 public:
  bool Empty() const { return m_waiting == 0; }
  std::size_t Waiting() const { return m_waiting; }
  std::size_t WaitingOf(const OrganisationName& organisation) const;

  void Push(WaitingWork work, double weight);

  /** The work with the lowest start tag; the queue must not be empty. */
  const WaitingWork& Next() const;
  WaitingWork PopNext();

  /** Tells of work that was admitted without waiting, which counts towards the share too. */
  void OnAdmittedDirectly(const OrganisationName& organisation, double cost, double weight);

  /** Cost that is expected to be admitted before new work of this organisation would be, counting
      what the others will still send to keep their queues filled. */
  double CostAhead(const OrganisationName& organisation, double cost, double weight) const;

  /** Takes out all work for which `is_hopeless` holds. */
  std::deque<WaitingWork> TakeOut(const std::function<bool(const WaitingWork&)>& is_hopeless);

 private:
  struct OrganisationQueue {
    std::deque<WaitingWork> work;
    double waiting_cost = 0.0;
    double finish_tag = 0.0;
    double weight = 1.0;
  };
  using Queues = std::map<OrganisationName, OrganisationQueue>;

  /** Work of an organisation that sent less than its share starts before the present virtual time.
      Otherwise two requests that happen to come close together count as a flood; one notices
      refusals of organisations that stay below their share while another one floods. */
  double EarliestStart(double cost, double weight) const;
  double Enter(OrganisationQueue& queue, double cost, double weight);
  Queues::const_iterator FindNext() const;
  void ForgetIdle();

  Queues m_queues;
  std::size_t m_waiting = 0;
  double m_virtual_time = 0.0;
};

}  // namespace zinnia
