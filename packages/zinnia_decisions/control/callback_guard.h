#pragma once

#include <memory>
#include <utility>

namespace zinnia {

/** Makes callbacks do nothing once their owner is gone.

    Answers of the store, the list, engines and peers may come after the object that asked was
    destroyed. Keep one as the last member and wrap every callback that captures `this`.
*/
class CallbackGuard {
 public:
  template <typename Callback>
  auto Wrap(Callback callback) const {
    return [owner = std::weak_ptr<char>(m_owner),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (!owner.expired()) {
        callback(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<char> m_owner = std::make_shared<char>();
};

}  // namespace zinnia
