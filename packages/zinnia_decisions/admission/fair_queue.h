#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "zinnia_decisions/admission/admission_controller.h"
#include "zinnia_decisions/admission/start_tags.h"

namespace zinnia {

/** A queued request with its start tag in virtual time. */
struct QueuedRequest {
  AdmissionRequest request;
  AdmissionController::Callback callback;
  TimePoint queued_at{};
  double start_tag = 0.0;
};

/** Start-time fair queueing between organisations.

    The lowest start tag is served first, see StartTags.
    Finish tags advance by cost / weight, so backlogged organisations get shares in proportion to
    their weights regardless of their arrival rates, and an idle one saves up one request at most.

    @see FairAdmissionController
*/
class FairQueue {
 public:
  bool Empty() const { return m_waiting == 0; }
  std::size_t Waiting() const { return m_waiting; }
  std::size_t WaitingOf(const OrganisationName& organisation) const;

  void Push(QueuedRequest work, double weight);

  /** Returns the request with the lowest start tag. The queue must not be empty. */
  const QueuedRequest& Next() const;
  QueuedRequest PopNext();

  /** Charges a request that bypassed the queue to the share of its organisation. */
  void OnAdmittedDirectly(const OrganisationName& organisation, double cost, double weight);

  /** Predicts the cost served before a new request of this organisation. Assumes that the other
      queued organisations stay backlogged. */
  double CostAhead(const OrganisationName& organisation, double cost, double weight) const;

  /** Removes and returns all requests for which `predicate` returns true. */
  std::deque<QueuedRequest> RemoveIf(const std::function<bool(const QueuedRequest&)>& predicate);

 private:
  struct OrganisationQueue {
    std::deque<QueuedRequest> work;
    double waiting_cost = 0.0;
    double finish_tag = 0.0;
    double weight = 1.0;
  };
  using Queues = std::map<OrganisationName, OrganisationQueue>;

  double AssignStartTag(OrganisationQueue& queue, double cost, double weight);
  Queues::const_iterator FindNext() const;
  void EvictIdle();

  Queues m_queues;
  std::size_t m_waiting = 0;
  StartTags m_tags;
};

}  // namespace zinnia
