#include "zinnia_decisions/once/once_settings.h"

namespace zinnia {

Result<void> CheckOnceSettings(const OnceSettings& settings) {
  const auto refuse = [](const char* what) { return MakeError(ErrorKind::kInvalidSettings, what); };
  if (settings.partitions == 0 || settings.partitions > 4'096) {
    return refuse("once.partitions must be from 1 to 4096");
  }
  if (!(settings.store_writes_per_second > 0.0) || !(settings.write_burst >= 1.0)) {
    return refuse("once.store_writes_per_second must be above 0 and once.write_burst at least 1");
  }
  // A key that expires before its request can no longer be dispatched could be granted twice.
  if (settings.retention < 10 * settings.valid_for) {
    return refuse("once.retention must be at least ten times once.valid_for");
  }
  // A single lost reply must not make a holder lose its partitions.
  if (settings.sign_of_life_interval.count() <= 0 ||
      settings.silent_takeover_after < 4 * settings.sign_of_life_interval ||
      settings.takeover_after < settings.silent_takeover_after) {
    return refuse(
        "once.silent_takeover_after must be at least four times once.sign_of_life_interval and at "
        "most once.takeover_after");
  }
  if (settings.most_takeovers == 0) {
    return refuse("once.most_takeovers must be at least 1");
  }
  if (settings.most_answer_bytes > settings.most_write_bytes / 4) {
    return refuse("once.most_answer_bytes must be at most a quarter of once.most_write_bytes");
  }
  return {};
}

}  // namespace zinnia
