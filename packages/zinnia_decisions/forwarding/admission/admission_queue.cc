#include "zinnia_decisions/forwarding/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "zinnia_decisions/forwarding/admission/class_headroom.h"
#include "zinnia_decisions/forwarding/admission/start_rate.h"

namespace zinnia {
namespace {

/** Ticket of a request that has not entered; later than all others. */
constexpr std::uint64_t kNewcomer = std::numeric_limits<std::uint64_t>::max();

constexpr std::size_t kMaxTrackedOrganisations = 4'096;

/** With starts at random times, the wait for the n-th one is gamma-distributed. Its median is close
    to n - 1/3 mean intervals, and its lower quartile to n - 0.7 * sqrt(n). */
constexpr double kMedianOffset = 1.0 / 3.0;
constexpr double kQuartileFactor = 0.7;

/** Represents a wait that has no end in sight. */
constexpr double kLongestPredictedSeconds = 3'600.0;

}  // namespace

bool AdmissionQueue::HasAhead(const ClassRequest& request) const {
  if (m_waiting.empty()) {
    return false;
  }
  std::vector<Entry> entries = Entries();
  entries.emplace_back(kNewcomer, &request);
  return Order(std::move(entries)).front() != kNewcomer;
}

std::uint64_t AdmissionQueue::Enter(const ClassRequest& request) {
  m_waiting[++m_last_ticket].request = request;
  OrderedTickets();
  return m_last_ticket;
}

void AdmissionQueue::OnStarted(const ClassRequest& request) {
  ClassShares& shares = m_shares[request.request_class];
  ForgetIdle(shares);
  double& finish_tag =
      shares.finish_tags.try_emplace(request.organisation, shares.tags.Earliest(request.work))
          .first->second;
  shares.tags.OnServed(shares.tags.Assign(finish_tag, request.work));
}

bool AdmissionQueue::IsAheadOfOthers(const ClassRequest& request) const {
  const auto shares = m_shares.find(request.request_class);
  if (shares == m_shares.end() || shares->second.finish_tags.size() < 2) {
    return false;
  }
  const auto own = shares->second.finish_tags.find(request.organisation);
  return own != shares->second.finish_tags.end() && own->second > shares->second.tags.VirtualTime();
}

std::vector<std::uint64_t> AdmissionQueue::OrderedTickets() {
  std::vector<std::uint64_t> order = Order(Entries());
  Predict(order);
  return order;
}

bool AdmissionQueue::MustRefuse(std::uint64_t ticket) const {
  const Waiting& waiting = m_waiting.at(ticket);
  const ClassRequest& request = waiting.request;
  const TimePoint now = m_clock.Now();
  if (now >= request.wait_ends_at || waiting.position >= kMaxWaiting) {
    return true;
  }
  // A small instance starts too few requests for a prediction, and a caller that is refused is late
  // in any case.
  const std::optional<Prediction>& prediction = waiting.prediction;
  if (!prediction || now + prediction->median <= request.wait_ends_at) {
    return false;
  }
  const bool is_hopeless = now + prediction->lower_quartile > request.wait_ends_at;
  return is_hopeless || now >= request.refuse_at;
}

std::optional<Duration> AdmissionQueue::PredictedWait(std::uint64_t ticket) const {
  const std::optional<Prediction>& prediction = m_waiting.at(ticket).prediction;
  return prediction ? std::optional(prediction->median) : std::nullopt;
}

std::size_t AdmissionQueue::CountOf(std::size_t request_class) const {
  return static_cast<std::size_t>(std::count_if(
      m_waiting.begin(), m_waiting.end(),
      [&](const auto& waiting) { return waiting.second.request.request_class == request_class; }));
}

/** Start tags are assigned anew for each order, since returning callers may overtake others of
   their organisation. */
std::vector<std::uint64_t> AdmissionQueue::Order(std::vector<Entry> entries) const {
  const TimePoint now = m_clock.Now();
  using Rank = std::tuple<bool, bool, std::size_t, double, bool, TimePoint, std::uint64_t>;
  std::vector<Rank> ranks;
  ranks.reserve(entries.size());
  for (const auto& [ticket, request] : entries) {
    ranks.emplace_back(request->start_deadline < now,
                       !m_headroom.IsUnderserved(request->request_class), request->request_class,
                       0.0, !request->is_returning, request->arrived_at, ticket);
  }
  std::vector<std::size_t> by_age(entries.size());
  for (std::size_t index = 0; index < by_age.size(); ++index) {
    by_age[index] = index;
  }
  const auto order = [&ranks](std::size_t one, std::size_t other) {
    return ranks[one] < ranks[other];
  };
  std::sort(by_age.begin(), by_age.end(), order);
  std::map<std::pair<std::size_t, OrganisationName>, double> finish_tags;
  static const StartTags no_history(kMaxSavedRequests);
  for (const std::size_t index : by_age) {
    const ClassRequest& request = *entries[index].second;
    const auto shares = m_shares.find(request.request_class);
    const StartTags& tags = shares == m_shares.end() ? no_history : shares->second.tags;
    auto finish = finish_tags.find({request.request_class, request.organisation});
    if (finish == finish_tags.end()) {
      double served = tags.Earliest(request.work);
      if (shares != m_shares.end()) {
        const auto own = shares->second.finish_tags.find(request.organisation);
        served = own == shares->second.finish_tags.end() ? served : own->second;
      }
      finish =
          finish_tags.emplace(std::pair(request.request_class, request.organisation), served).first;
    }
    std::get<double>(ranks[index]) = tags.Assign(finish->second, request.work);
  }
  std::sort(by_age.begin(), by_age.end(), order);
  std::vector<std::uint64_t> tickets;
  tickets.reserve(by_age.size());
  for (const std::size_t index : by_age) {
    tickets.push_back(entries[index].first);
  }
  return tickets;
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::Entries() const {
  std::vector<Entry> entries;
  entries.reserve(m_waiting.size() + 1);
  for (const auto& [ticket, waiting] : m_waiting) {
    entries.emplace_back(ticket, &waiting.request);
  }
  return entries;
}

/** Each request ahead takes one start interval of its class. */
void AdmissionQueue::Predict(const std::vector<std::uint64_t>& order) {
  std::map<std::size_t, std::optional<double>> rates;
  double mean_seconds = 0.0;
  bool is_known = true;
  for (std::size_t position = 0; position < order.size(); ++position) {
    Waiting& waiting = m_waiting.at(order[position]);
    waiting.position = position;
    const std::size_t request_class = waiting.request.request_class;
    const auto rate = rates.try_emplace(request_class, m_rate.PerSecond(request_class)).first;
    is_known = is_known && rate->second;
    if (!is_known) {
      waiting.prediction.reset();
      continue;
    }
    mean_seconds += std::min(1.0 / *rate->second, kLongestPredictedSeconds);
    const double starts = static_cast<double>(position) + 1.0;
    const auto part_of_mean = [&](double part) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(std::min(mean_seconds * part, kLongestPredictedSeconds)));
    };
    waiting.prediction = Prediction{part_of_mean(1.0 - kMedianOffset / starts),
                                    part_of_mean(1.0 - kQuartileFactor / std::sqrt(starts))};
  }
}

void AdmissionQueue::ForgetIdle(ClassShares& shares) {
  if (shares.finish_tags.size() >= kMaxTrackedOrganisations) {
    std::erase_if(shares.finish_tags,
                  [&](const auto& entry) { return entry.second <= shares.tags.VirtualTime(); });
  }
}

}  // namespace zinnia
