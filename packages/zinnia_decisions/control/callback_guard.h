#pragma once

#include <memory>
#include <utility>

namespace zinnia {

/** Disables callbacks after their owner is destroyed.

    Make it the last member and wrap every asynchronous callback that captures `this`.
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
