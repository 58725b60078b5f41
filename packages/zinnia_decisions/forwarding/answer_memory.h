#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace zinnia {

/** Bounds the bytes that all answers in hand hold together.

    Each answer has a share. When the sum exceeds the limit, the largest answers are let go until it
    no longer does: small answers go on beside a server that sends without end, whichever of them
    came last. Not thread-safe.
*/
class AnswerMemory : public std::enable_shared_from_this<AnswerMemory> {
 public:
  /** The bytes that one answer holds; they are given back when it is destroyed. */
  class Share {
   public:
    /** `let_go` must drop what the answer holds. It is called from Set of any share, with the bytes
        that were held, and may create, set and destroy shares, this one included. */
    Share(std::shared_ptr<AnswerMemory> memory, std::function<void(std::size_t bytes)> let_go);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /** May let go of answers, perhaps of this one. */
    void Set(std::size_t bytes);
    void Clear();

    std::size_t Bytes() const { return m_bytes; }

   private:
    friend class AnswerMemory;

    const std::shared_ptr<AnswerMemory> m_memory;
    const std::function<void(std::size_t bytes)> m_let_go;
    std::size_t m_bytes = 0;
  };

  static std::shared_ptr<AnswerMemory> Create(std::size_t limit);

  std::size_t Limit() const { return m_limit; }
  std::size_t Sum() const { return m_sum; }

 private:
  explicit AnswerMemory(std::size_t limit) : m_limit(limit) {}
  void LetGoBeyondLimit();

  const std::size_t m_limit;
  std::size_t m_sum = 0;
  std::set<Share*> m_shares;
};

}  // namespace zinnia
