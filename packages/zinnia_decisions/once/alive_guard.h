#pragma once

#include <memory>
#include <utility>

namespace zinnia {

/** Wraps a callback so that it does nothing after `alive` is destroyed. An object that passes
    callbacks to ports owns `alive`, so that replies after its destruction are dropped. */
template <typename Callback>
auto WhileAlive(const std::shared_ptr<bool>& alive, Callback callback) {
  return [token = std::weak_ptr<bool>(alive), callback = std::move(callback)](auto... arguments) {
    if (token.lock()) {
      callback(std::move(arguments)...);
    }
  };
}

}  // namespace zinnia
