#include "zinnia_decisions/forwarding/observed_state/change_delay.h"

#include <fmt/format.h>

#include "zinnia_decisions/forwarding/observed_state/store_mirror.h"

namespace zinnia {
namespace {

using std::chrono::milliseconds;

/** A store that is fifty times as slow as usual. */
constexpr milliseconds kSlowResponse{200};

/** A report, its answer and the records, over a busy link. */
constexpr milliseconds kRelayTime{100};

/** Later deliveries are logged as view_late. */
constexpr milliseconds kDeliveryTime{100};

}  // namespace

ChangeDelay ChangeDelay::Of(const StoreMirrorSettings& settings, std::size_t store_watchers) {
  ChangeDelay delay;
  delay.until_next_end = (settings.longest_wait + settings.pause) / store_watchers;
  delay.overdue = settings.overdue_after;
  delay.responses = 2 * kSlowResponse;
  delay.relays = 2 * kRelayTime;
  delay.delivery = kDeliveryTime;
  return delay;
}

Result<void> ChangeDelay::Check(milliseconds bound) const {
  if (Sum() <= bound * 4 / 5) {
    return {};
  }
  return MakeError(
      ErrorKind::kInvalidSettings,
      fmt::format(
          "a change may take {} ms to be in force everywhere ({} ms until a watch ends, {} ms "
          "until that is overdue, {} ms for two responses of the store, {} ms for relays, {} ms to "
          "the traffic thread), "
          "which must be at most four fifths of the bound of {} ms: raise the bound, or "
          "shorten longest_wait, pause or overdue_after",
          Sum().count(), until_next_end.count(), overdue.count(), responses.count(), relays.count(),
          delivery.count(), bound.count()));
}

}  // namespace zinnia
