#pragma once

#include <memory>
#include <utility>

namespace zinnia {

/** Wraps a callback so that it does nothing once `alive` is gone. An object that hands callbacks to
    ports keeps `alive` as a member, so that an answer that comes after its end is dropped. */
template <typename Callback>
auto WhileAlive(const std::shared_ptr<bool>& alive, Callback callback) {
  return [token = std::weak_ptr<bool>(alive), callback = std::move(callback)](auto... arguments) {
    if (token.lock()) {
      callback(std::move(arguments)...);
    }
  };
}

}  // namespace zinnia
