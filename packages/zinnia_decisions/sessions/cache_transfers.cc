#include "zinnia_decisions/sessions/cache_transfers.h"

#include <utility>

namespace zinnia {
namespace {

constexpr std::chrono::seconds kTransferTimeout{2};

}  // namespace

std::shared_ptr<CacheTransfers> CacheTransfers::Start(const SessionParts& parts,
                                                      const SessionName& session,
                                                      const std::vector<Transfer>& transfers,
                                                      AttemptNumber new_attempt,
                                                      Callback callback) {
  std::shared_ptr<CacheTransfers> batch(new CacheTransfers(transfers, std::move(callback)));
  const std::weak_ptr<CacheTransfers> weak = batch;
  batch->m_time_limit = parts.scheduler.ScheduleAfter(kTransferTimeout, [weak] {
    if (const auto self = weak.lock()) {
      self->Complete();
    }
  });
  for (std::size_t index = 0; index < transfers.size(); ++index) {
    const Transfer& transfer = transfers[index];
    parts.links.MoveCache(transfer.from, transfer.to, session, transfer.attempt, new_attempt,
                          [weak, index](const Result<std::uint32_t>& result) {
                            if (const auto self = weak.lock()) {
                              self->Finish(index, result);
                            }
                          });
  }
  return batch;
}

CacheTransfers::CacheTransfers(const std::vector<Transfer>& transfers, Callback callback)
    : m_pending(transfers.size()), m_callback(std::move(callback)) {
  for (const Transfer& transfer : transfers) {
    m_outcomes.push_back({transfer, 0, "no answer in time"});
  }
}

void CacheTransfers::Finish(std::size_t index, const Result<std::uint32_t>& result) {
  Outcome& outcome = m_outcomes[index];
  if (result) {
    outcome.length = *result;
    outcome.failure.clear();
  } else {
    outcome.failure = result.error().message;
  }
  if (--m_pending == 0) {
    Complete();
  }
}

void CacheTransfers::Complete() {
  m_time_limit.reset();
  if (const Callback callback = std::exchange(m_callback, nullptr)) {
    callback(std::move(m_outcomes));
  }
}

}  // namespace zinnia
