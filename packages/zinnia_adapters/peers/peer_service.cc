// g++ 12 wrongly believes that kj::Maybe reads a Result that was never written.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include "zinnia_adapters/peers/peer_service.h"

#include <utility>

#include "zinnia_adapters/peers/wire_conversion.h"
#include "zinnia_adapters/peers/wire_text.h"
#include "zinnia_base/errors/result.h"
#include "zinnia_decisions/ports/metrics.h"
#include "zinnia_decisions/ports/peer_transport.h"

namespace zinnia {
namespace {

/** A callback that may be called at any later time, also after the caller hung up, and the promise
    that it fulfils. A callback that is dropped uncalled breaks the promise, which the caller sees
   as kOutcomeUnknown. */
template <typename Value>
std::pair<std::function<void(Result<Value>)>, kj::Promise<Result<Value>>> CallbackAndPromise() {
  auto pair = kj::newPromiseAndFulfiller<Result<Value>>();
  auto fulfiller =
      std::make_shared<kj::Own<kj::PromiseFulfiller<Result<Value>>>>(kj::mv(pair.fulfiller));
  auto callback = [fulfiller](Result<Value> result) { (*fulfiller)->fulfill(std::move(result)); };
  return {std::move(callback), kj::mv(pair.promise)};
}

}  // namespace

kj::Promise<void> PeerService::fetchConfiguration(FetchConfigurationContext context) {
  const auto delta = m_listener.OnFetchConfiguration(context.getParams().getAfter());
  wire_conversion::Write(context.getResults().initDelta(), delta);
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::beginIntent(BeginIntentContext context) {
  auto [callback, promise] = CallbackAndPromise<IntentReply>();
  m_listener.OnBeginIntent(wire_conversion::Read(context.getParams().getRequest()),
                           std::move(callback));
  return promise.then([context](const Result<IntentReply>& result) mutable {
    auto answer = context.getResults().initResult();
    if (result.has_value()) {
      wire_conversion::Write(answer.initReply(), *result);
    } else {
      wire_conversion::Write(answer.initError(), result.error());
    }
  });
}

kj::Promise<void> PeerService::reportOutcome(ReportOutcomeContext context) {
  auto [callback, promise] = CallbackAndPromise<void>();
  m_listener.OnReportOutcome(wire_conversion::Read(context.getParams().getOutcome()),
                             std::move(callback));
  return promise.then([context](const Result<void>& result) mutable {
    auto answer = context.getResults().initResult();
    if (result.has_value()) {
      answer.setDone();
    } else {
      wire_conversion::Write(answer.initError(), result.error());
    }
  });
}

PeerGate::PeerGate(std::shared_ptr<const PeerAuthenticator> authenticator,
                   PeerListener& listener,
                   Metrics& metrics,
                   std::shared_ptr<bool> authenticated)
    : m_authenticator(std::move(authenticator)),
      m_listener(listener),
      m_metrics(metrics),
      m_authenticated(std::move(authenticated)),
      m_nonce(PeerAuthenticator::MakeNonce()) {}

kj::Promise<void> PeerGate::challenge(ChallengeContext context) {
  context.getResults().setServerNonce(ToWireData(m_nonce));
  return kj::READY_NOW;
}

kj::Promise<void> PeerGate::authenticate(AuthenticateContext context) {
  using Purpose = PeerAuthenticator::Purpose;
  const auto params = context.getParams();
  const std::string nonces = m_nonce + FromWireData(params.getClientNonce());
  if (!m_authenticator->Matches(Purpose::kCaller, nonces, FromWireData(params.getProof()))) {
    m_metrics.Count("peer_connections_unauthenticated");
    return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__,
                         kj::str("wrong cluster secret"));
  }
  *m_authenticated = true;
  context.getResults().setPeer(kj::heap<PeerService>(m_listener));
  context.getResults().setProof(ToWireData(m_authenticator->CodeFor(Purpose::kAnswerer, nonces)));
  return kj::READY_NOW;
}

}  // namespace zinnia
