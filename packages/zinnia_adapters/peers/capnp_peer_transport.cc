// g++ 12 wrongly believes that kj::Maybe reads a Result that was never written.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include "zinnia_adapters/peers/capnp_peer_transport.h"

#include <kj/async-io.h>

#include <exception>
#include <utility>

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/peers/peer_codec.h"
#include "zinnia_adapters/peers/peer_connection_cache.h"
#include "zinnia_adapters/peers/probe_sender.h"
#include "zinnia_adapters/peers/wire_conversion.h"
#include "zinnia_base/time/scheduler.h"
#include "zinnia_decisions/ports/metrics.h"

namespace zinnia {
namespace {

constexpr Duration kIdleSweepInterval = std::chrono::seconds(15);

PeerConnectionLimits ConnectionLimits(const PeerTransportOptions& options) {
  return {options.connect_limit, options.first_backoff, options.longest_backoff,
          options.idle_limit};
}

Error CallError(const NetworkAddress& peer, bool sent, const kj::Exception& failure) {
  const std::string what = peer.ToString() + ": " + failure.getDescription().cStr();
  if (!sent) {
    return MakeError(ErrorKind::kPeerUnavailable, "call not sent to peer " + what);
  }
  Error error = MakeError(ErrorKind::kOutcomeUnknown, "no answer from peer " + what);
  error.was_run = WasRun::kUnknown;
  return error;
}

}  // namespace

class CapnpPeerTransport::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(kj::AsyncIoContext& io,
       const Clock& clock,
       Scheduler& scheduler,
       std::shared_ptr<const PeerAuthenticator> authenticator,
       Metrics& metrics,
       const PeerTransportOptions& options)
      : m_io(io),
        m_scheduler(scheduler),
        m_authenticator(std::move(authenticator)),
        m_metrics(metrics),
        m_call_limit(options.call_limit),
        m_probes(metrics),
        m_connections(io, clock, m_authenticator, ConnectionLimits(options), options.backoff_seed),
        m_tasks(*this) {
    SweepLater();
  }

  void SendProbe(const NetworkAddress& to, const ProbeMessage& message);

  /** `send` makes and sends the request and gives a promise of the typed result. */
  template <typename Value, typename Send>
  void Call(const NetworkAddress& to, Send send, std::function<void(Result<Value>)> callback);

 private:
  void SweepLater();

  /** A callback threw: that is a fault of the caller's code, and must not end other calls. */
  void taskFailed(kj::Exception&&) override { m_metrics.Count("peer_callback_failures"); }

  kj::AsyncIoContext& m_io;
  Scheduler& m_scheduler;
  const std::shared_ptr<const PeerAuthenticator> m_authenticator;
  Metrics& m_metrics;
  const Duration m_call_limit;
  ProbeSender m_probes;
  PeerConnectionCache m_connections;
  std::unique_ptr<ScheduledCall> m_sweep;
  kj::TaskSet m_tasks;
};

void CapnpPeerTransport::Impl::SendProbe(const NetworkAddress& to, const ProbeMessage& message) {
  const auto payload = EncodeProbe(message);
  if (payload.has_error()) {
    m_metrics.Count("peer_datagrams_too_large");
    return;
  }
  m_probes.Send(to, m_authenticator->SealDatagram(*payload));
}

template <typename Value, typename Send>
void CapnpPeerTransport::Impl::Call(const NetworkAddress& to,
                                    Send send,
                                    std::function<void(Result<Value>)> callback) {
  auto sent = std::make_shared<bool>(false);
  auto call = kj::evalLater([this, to] {
                return m_connections.Get(to);
              }).then([sent, send = std::move(send)](PeerConnectionCache::Shared connection) {
    *sent = true;
    return send(connection->peer()).attach(kj::cp(connection));
  });
  auto limited =
      m_io.provider->getTimer().timeoutAfter(m_call_limit.count() * kj::NANOSECONDS, kj::mv(call));
  m_tasks.add(limited
                  .catch_([to, sent](kj::Exception&& failure) {
                    return Result<Value>(CallError(to, *sent, failure));
                  })
                  .then([callback = std::move(callback)](Result<Value> result) {
                    callback(std::move(result));
                  }));
}

void CapnpPeerTransport::Impl::SweepLater() {
  m_sweep = m_scheduler.ScheduleAfter(kIdleSweepInterval, [this] {
    m_connections.DropIdle();
    SweepLater();
  });
}

CapnpPeerTransport::CapnpPeerTransport(kj::AsyncIoContext& io,
                                       const Clock& clock,
                                       Scheduler& scheduler,
                                       std::shared_ptr<const PeerAuthenticator> authenticator,
                                       Metrics& metrics,
                                       PeerTransportOptions options)
    : m_impl(std::make_unique<Impl>(io,
                                    clock,
                                    scheduler,
                                    std::move(authenticator),
                                    metrics,
                                    options)) {}

CapnpPeerTransport::~CapnpPeerTransport() = default;

void CapnpPeerTransport::SendProbe(const NetworkAddress& to, const ProbeMessage& message) {
  m_impl->SendProbe(to, message);
}

void CapnpPeerTransport::FetchConfiguration(
    const NetworkAddress& from,
    ConfigurationRevision after,
    std::function<void(Result<ConfigurationDelta>)> callback) {
  auto send = [after](wire::Peer::Client& peer) {
    auto request = peer.fetchConfigurationRequest();
    request.setAfter(after);
    return request.send().then([](auto&& answer) {
      return Result<ConfigurationDelta>(wire_conversion::Read(answer.getDelta()));
    });
  };
  m_impl->Call<ConfigurationDelta>(from, std::move(send), std::move(callback));
}

void CapnpPeerTransport::BeginIntent(const NetworkAddress& holder,
                                     IntentRequest intent,
                                     std::function<void(Result<IntentReply>)> callback) {
  auto send = [intent = std::move(intent)](wire::Peer::Client& peer) {
    auto request = peer.beginIntentRequest();
    wire_conversion::Write(request.initRequest(), intent);
    return request.send().then([](auto&& answer) -> Result<IntentReply> {
      const auto result = answer.getResult();
      if (result.isError()) {
        return wire_conversion::Read(result.getError());
      }
      return wire_conversion::Read(result.getReply());
    });
  };
  m_impl->Call<IntentReply>(holder, std::move(send), std::move(callback));
}

void CapnpPeerTransport::ReportOutcome(const NetworkAddress& holder,
                                       IntentOutcome outcome,
                                       std::function<void(Result<void>)> callback) {
  auto send = [outcome = std::move(outcome)](wire::Peer::Client& peer) {
    auto request = peer.reportOutcomeRequest();
    wire_conversion::Write(request.initOutcome(), outcome);
    return request.send().then([](auto&& answer) -> Result<void> {
      const auto result = answer.getResult();
      if (result.isError()) {
        return wire_conversion::Read(result.getError());
      }
      return {};
    });
  };
  m_impl->Call<void>(holder, std::move(send), std::move(callback));
}

}  // namespace zinnia
