#include "zinnia_adapters/platform/store_call.h"

#include <utility>

#include "zinnia_adapters/http/http_client.h"

namespace zinnia {
namespace {

constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kFirstServerError = 500;

bool HadNoEffect(const HttpResult& result) {
  return result.has_error() ? result.error().stage == HttpFailureStage::kNotSent
                            : result->status == kServiceUnavailable;
}

bool IsAnswered(const HttpResult& result) {
  return result.has_value() && result->status < kFirstServerError;
}

}  // namespace

void StoreCall::Start() {
  TryAddress(0);
}

void StoreCall::TryAddress(std::size_t index) {
  const auto client = m_parts.client.lock();
  if (!client) {
    return;  // The store's adapter is gone, and with it everybody who waited.
  }
  HttpRequest request{"POST", m_parts.path, {{"Content-Type", "application/json"}}, m_parts.body};
  request.repeatable = m_parts.access == StoreAccess::kRead;
  client->Send(m_parts.addresses[index], std::move(request), m_parts.time_limit,
               [self = shared_from_this(), index](HttpResult result) {
                 self->OnResult(index, std::move(result));
               });
}

void StoreCall::OnResult(std::size_t index, HttpResult result) {
  if (IsAnswered(result)) {
    m_parts.callback(std::move(*result));
    return;
  }
  const bool harmless = m_parts.access == StoreAccess::kRead || HadNoEffect(result);
  if (harmless && index + 1 < m_parts.addresses.size()) {
    TryAddress(index + 1);
    return;
  }
  m_parts.callback(ErrorOf(result));
}

Error StoreCall::ErrorOf(const HttpResult& result) const {
  const std::string what =
      result.has_error() ? result.error().message : "status " + std::to_string(result->status);
  // A read changes nothing, so whatever became of it, it certainly had no effect.
  const bool no_effect = m_parts.access == StoreAccess::kRead || HadNoEffect(result);
  return MakeError(no_effect ? ErrorKind::kStoreUnavailable : ErrorKind::kStoreOutcomeUnknown,
                   "store call " + m_parts.path + ": " + what);
}

}  // namespace zinnia
