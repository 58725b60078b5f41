#include "zinnia_decisions/admission/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace zinnia {
namespace {

constexpr std::size_t kMaxTrackedOrganisations = 4'096;

}  // namespace

std::size_t FairQueue::WaitingOf(const OrganisationName& organisation) const {
  const auto found = m_queues.find(organisation);
  return found == m_queues.end() ? 0 : found->second.work.size();
}

void FairQueue::Push(QueuedRequest work, double weight) {
  EvictIdle();
  OrganisationQueue& queue = m_queues[work.request.organisation];
  work.start_tag = AssignStartTag(queue, work.request.cost, weight);
  queue.waiting_cost += work.request.cost;
  queue.work.push_back(std::move(work));
  ++m_waiting;
}

const QueuedRequest& FairQueue::Next() const {
  assert(!Empty());
  return FindNext()->second.work.front();
}

QueuedRequest FairQueue::PopNext() {
  assert(!Empty());
  OrganisationQueue& queue = m_queues[FindNext()->first];
  QueuedRequest work = std::move(queue.work.front());
  queue.work.pop_front();
  queue.waiting_cost -= work.request.cost;
  --m_waiting;
  m_tags.OnServed(work.start_tag);
  return work;
}

void FairQueue::OnAdmittedDirectly(const OrganisationName& organisation,
                                   double cost,
                                   double weight) {
  EvictIdle();
  m_tags.OnServed(AssignStartTag(m_queues[organisation], cost, weight));
}

double FairQueue::CostAhead(const OrganisationName& organisation,
                            double cost,
                            double weight) const {
  const auto own = m_queues.find(organisation);
  const double own_finish = own == m_queues.end() ? 0.0 : own->second.finish_tag;
  const double start = std::max(m_tags.Earliest(cost, weight), own_finish);
  double ahead = own == m_queues.end() ? 0.0 : own->second.waiting_cost;
  for (const auto& [name, queue] : m_queues) {
    if (name != organisation && !queue.work.empty()) {
      const double until_start = start - queue.work.front().start_tag;
      ahead += std::max(0.0, until_start) * queue.weight;
    }
  }
  return ahead;
}

std::deque<QueuedRequest> FairQueue::RemoveIf(
    const std::function<bool(const QueuedRequest&)>& predicate) {
  std::deque<QueuedRequest> taken;
  for (auto& [name, queue] : m_queues) {
    const auto first =
        std::stable_partition(queue.work.begin(), queue.work.end(), std::not_fn(predicate));
    for (auto work = first; work != queue.work.end(); ++work) {
      queue.waiting_cost -= work->request.cost;
      taken.push_back(std::move(*work));
    }
    queue.work.erase(first, queue.work.end());
  }
  m_waiting -= taken.size();
  return taken;
}

double FairQueue::AssignStartTag(OrganisationQueue& queue, double cost, double weight) {
  queue.weight = weight;
  return m_tags.Assign(queue.finish_tag, cost, weight);
}

FairQueue::Queues::const_iterator FairQueue::FindNext() const {
  auto next = m_queues.end();
  for (auto queue = m_queues.begin(); queue != m_queues.end(); ++queue) {
    const bool waits = !queue->second.work.empty();
    if (waits && (next == m_queues.end() ||
                  queue->second.work.front().start_tag < next->second.work.front().start_tag)) {
      next = queue;
    }
  }
  return next;
}

void FairQueue::EvictIdle() {
  if (m_queues.size() < kMaxTrackedOrganisations) {
    return;
  }
  std::erase_if(m_queues, [this](const auto& entry) {
    return entry.second.work.empty() && entry.second.finish_tag <= m_tags.VirtualTime();
  });
}

}  // namespace zinnia
