#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace zinnia {

/** Counts the bytes that calls hold of answers that are still arriving, and names the call to end
    when all together hold more than they may. It does no I/O.

    The call that holds most is ended, the oldest of several alike. The newest one is not ended for
    being the newest: servers that pour would otherwise shut out the others.
*/
class AnswersInHand {
 public:
  /** Calls are numbered in the order of their start. */
  using Call = std::uint64_t;

  struct Excess {
    Call call = 0;
    std::size_t bytes = 0;
  };

  explicit AnswersInHand(std::size_t most_bytes) : m_most_bytes(most_bytes) {}

  /** Replaces what was known of the call. */
  void Set(Call call, std::size_t bytes);
  void Remove(Call call);

  /** Removes and returns a call to end, or none if the rest is within the bound. */
  std::optional<Excess> TakeExcess();

  std::size_t Bytes() const { return m_bytes; }

 private:
  const std::size_t m_most_bytes;
  std::size_t m_bytes = 0;
  std::map<Call, std::size_t> m_calls;
};

}  // namespace zinnia
