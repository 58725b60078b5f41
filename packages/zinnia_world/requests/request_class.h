#pragma once

#include <string_view>

namespace zinnia {

/** Classes of requests that metrics, credits and admission control distinguish. */
enum class RequestClass { kChat, kServiceCall };

constexpr std::string_view NameOf(RequestClass request_class) {
  return request_class == RequestClass::kChat ? "chat" : "service_call";
}

}  // namespace zinnia
