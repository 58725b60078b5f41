#include <kj/async-io.h>

#include <capnp/rpc-twoparty.h>
#include <sys/socket.h>

#include <boost/asio.hpp>

#include <functional>
#include <vector>

#include "adapters/control_fakes.h"
#include "zinnia_adapters/peers/capnp_peer_server.h"
#include "zinnia_adapters/peers/capnp_peer_transport.h"
#include "zinnia_adapters/peers/peer.capnp.h"
#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

const NetworkAddress kAnyPort{"127.0.0.1", 0};

/** Answers as told; with `hold`, keeps the reply functions instead. */
class ScriptedListener final : public PeerListener {
 public:
  void OnProbe(const ProbeMessage& message) override {
    probes.push_back(message);
    probe_arrived.set_value();
  }
  ConfigurationDelta OnFetchConfiguration(ConfigurationRevision after) override {
    return {after, after + 1, {{"model/x", after + 1, "{}"}, {"model/y", after + 1, std::nullopt}}};
  }
  void OnBeginIntent(IntentRequest request,
                     std::function<void(Result<IntentReply>)> reply) override {
    intents.push_back(std::move(request));
    if (hold) {
      held.push_back(std::move(reply));
      intent_arrived.set_value();
    } else {
      reply(answer);
    }
  }
  void OnReportOutcome(IntentOutcome outcome, std::function<void(Result<void>)> reply) override {
    outcomes.push_back(std::move(outcome));
    reply({});
  }

  bool hold = false;
  Result<IntentReply> answer = IntentReply{};
  std::vector<ProbeMessage> probes;
  std::vector<IntentRequest> intents;
  std::vector<IntentOutcome> outcomes;
  std::vector<std::function<void(Result<IntentReply>)>> held;
  std::promise<void> probe_arrived;
  std::promise<void> intent_arrived;
};

/** One instance: its control thread, its server and its transport. */
class TestInstance {
 public:
  TestInstance(const Clock& transport_clock,
               const std::string& secret,
               const PeerTransportOptions& options = {},
               const PeerServerOptions& server_options = {},
               const NetworkAddress& address = kAnyPort) {
    auto key = std::make_shared<const PeerAuthenticator>(secret);
    thread = ControlThread::Start(m_clock, metrics, logger, [&](ControlThread& control) {
               server = CapnpPeerServer::Listen(control.Io(), address, key, listener, metrics,
                                                server_options)
                            .value();
               transport = std::make_unique<CapnpPeerTransport>(control.Io(), transport_clock,
                                                                control, key, metrics, options);
             }).value();
  }
  ~TestInstance() { Kill(); }

  NetworkAddress address() const { return server->address(); }

  void Kill() {
    thread->Stop([this] {
      transport.reset();
      server.reset();
      listener.held.clear();
    });
  }

  Result<IntentReply> BeginIntentAt(const NetworkAddress& holder) {
    return Await(StartIntentAt(holder));
  }

  std::future<Result<IntentReply>> StartIntentAt(const NetworkAddress& holder) {
    auto done = std::make_shared<std::promise<Result<IntentReply>>>();
    thread->Post([this, holder, done] {
      transport->BeginIntent(holder, {3, "petrie", "key", {1, 2}, "entry-1", "r-1"},
                             [done](auto result) { done->set_value(std::move(result)); });
    });
    return done->get_future();
  }

  CountingMetrics metrics;
  EventLogger logger;
  ScriptedListener listener;
  std::unique_ptr<CapnpPeerServer> server;
  std::unique_ptr<CapnpPeerTransport> transport;
  std::unique_ptr<ControlThread> thread;

 private:
  SystemClock m_clock;
};

ProbeMessage ProbeWithSequence(std::uint64_t sequence) {
  ProbeMessage probe;
  probe.sequence = sequence;
  probe.sender = {"entry-1", {"127.0.0.1", 1}, "akl-a", "akl", 1};
  return probe;
}

/** A process at a peer's address that accepts every caller but does not know the secret. */
class StrayGate final : public wire::Gate::Server {
 protected:
  kj::Promise<void> challenge(ChallengeContext context) override {
    context.getResults().setServerNonce(kj::StringPtr("nonce").asBytes());
    return kj::READY_NOW;
  }
  kj::Promise<void> authenticate(AuthenticateContext context) override {
    context.getResults().setProof(kj::StringPtr("0123456789abcdef").asBytes());
    return kj::READY_NOW;
  }
};

}  // namespace

TEST_GROUP(PeerCalls) {
  SystemClock m_clock;
};

TEST(PeerCalls, AreAnswered) {
  TestInstance caller(m_clock, "secret");
  TestInstance holder(m_clock, "secret");
  const IntentReply reply{IntentVerdict::kAnswered, 4,
                          RecordedAnswer{200, "text/plain", std::string("a\x00z", 3), true}, 900};
  holder.listener.answer = reply;
  CHECK(caller.BeginIntentAt(holder.address()).value() == reply);
  CHECK(
      (holder.listener.intents[0] == IntentRequest{3, "petrie", "key", {1, 2}, "entry-1", "r-1"}));

  std::promise<Result<ConfigurationDelta>> fetched;
  std::promise<Result<void>> reported;
  const IntentOutcome outcome{3, "petrie", "key", "r-1", RecordedAnswer{201, "", "body"}};
  caller.thread->Post([&] {
    caller.transport->FetchConfiguration(holder.address(), 7,
                                         [&](auto r) { fetched.set_value(std::move(r)); });
    caller.transport->ReportOutcome(holder.address(), outcome,
                                    [&](auto r) { reported.set_value(std::move(r)); });
  });
  CHECK(Await(fetched.get_future()).value() == holder.listener.OnFetchConfiguration(7));
  CHECK(Await(reported.get_future()).has_value());
  CHECK(holder.listener.outcomes[0] == outcome);
}

TEST(PeerCalls, AnErrorOfTheListenerArrivesAsItWas) {
  TestInstance caller(m_clock, "secret");
  TestInstance holder(m_clock, "secret");
  Error error = MakeError(ErrorKind::kStaleEpoch, "another instance holds partition 3");
  error.remedy = "ask entry-4";
  error.was_run = WasRun::kYes;
  error.retry_after = std::chrono::milliseconds(1'250);
  holder.listener.answer = error;
  const Error arrived = caller.BeginIntentAt(holder.address()).error();
  CHECK(arrived.kind == error.kind);
  CHECK(arrived.message == error.message);
  CHECK(arrived.remedy == error.remedy);
  CHECK(arrived.was_run == error.was_run);
  CHECK(arrived.retry_after == error.retry_after);
}

// Symptom: a request is refused as "may have run" although nobody got it. Events: a call goes to a
// peer over a kept connection, the peer stops, the next call is made. Cause: the caller writes to a
// connection that the peer has already closed.
TEST(PeerCalls, ToAPeerKilledBeforeAreCertainlyNotDelivered) {
  TestInstance caller(m_clock, "secret");
  TestInstance holder(m_clock, "secret");
  const NetworkAddress address = holder.address();
  CHECK(caller.BeginIntentAt(address).has_value());
  holder.Kill();
  CHECK(caller.BeginIntentAt(address).error().kind == ErrorKind::kPeerUnavailable);
}

// Symptom: a notice is served twice. Events: the holder has the intent and dies before it answers,
// the caller hears "not delivered" and asks another. Cause: a lost answer is taken for a lost call.
TEST(PeerCalls, ToAPeerKilledAfterDeliveryAreUnknown) {
  TestInstance caller(m_clock, "secret");
  TestInstance holder(m_clock, "secret");
  holder.listener.hold = true;
  auto result = caller.StartIntentAt(holder.address());
  Await(holder.listener.intent_arrived.get_future());
  holder.Kill();
  const Error error = Await(std::move(result)).error();
  CHECK(error.kind == ErrorKind::kOutcomeUnknown);
  CHECK(error.was_run == WasRun::kUnknown);
}

TEST(PeerCalls, ThatTimeOutAfterDeliveryAreUnknown) {
  TestInstance caller(m_clock, "secret", {.call_limit = std::chrono::milliseconds(100)});
  TestInstance holder(m_clock, "secret");
  holder.listener.hold = true;
  CHECK(caller.BeginIntentAt(holder.address()).error().kind == ErrorKind::kOutcomeUnknown);
}

// Symptom: a restarted instance is flooded by connections. Events: a peer is away, every caller
// tries again at once for each call. Cause: no backoff between attempts to connect.
TEST(PeerCalls, WaitForTheBackoffBeforeTheyConnectAgain) {
  ManualClock clock;
  TestInstance caller(clock, "secret");
  NetworkAddress address;
  {
    TestInstance holder(m_clock, "secret");
    address = holder.address();
  }
  CHECK(caller.BeginIntentAt(address).error().kind == ErrorKind::kPeerUnavailable);
  TestInstance restarted(m_clock, "secret", {}, {}, address);
  const Error waiting = caller.BeginIntentAt(address).error();
  CHECK(waiting.kind == ErrorKind::kPeerUnavailable);
  CHECK(waiting.message.find("waiting") != std::string::npos);
  clock.AdvanceBy(std::chrono::seconds(10));
  CHECK(caller.BeginIntentAt(address).has_value());
}

// Symptom: a backend server is emptied or an intent granted by nobody's order. Events: a process
// with another secret, or none, calls. Cause: whoever reaches the port is believed.
TEST(PeerCalls, WithAnotherSecretAreRefused) {
  TestInstance stranger(m_clock, "another secret");
  TestInstance holder(m_clock, "secret");
  CHECK(stranger.BeginIntentAt(holder.address()).error().kind == ErrorKind::kPeerUnavailable);
  LONGS_EQUAL(1, holder.metrics.Counter("peer_connections_unauthenticated"));
  holder.Kill();
  LONGS_EQUAL(0, holder.listener.intents.size());
}

// Symptom: as above. Events: a stray process listens at the address of a peer that is gone and
// accepts every proof. Cause: only the caller has to prove that it knows the secret.
TEST(PeerCalls, AreNotSentToWhoeverCannotProveTheSecret) {
  TestInstance caller(m_clock, "secret");
  CountingMetrics metrics;
  EventLogger logger;
  std::unique_ptr<capnp::TwoPartyServer> server;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Promise<void> listening = nullptr;
  auto stray = ControlThread::Start(m_clock, metrics, logger, [&](ControlThread& thread) {
                 const sockaddr_in any{AF_INET, 0, {htonl(INADDR_LOOPBACK)}, {}};
                 receiver =
                     thread.Io().provider->getNetwork().getSockaddr(&any, sizeof(any))->listen();
                 server = std::make_unique<capnp::TwoPartyServer>(kj::heap<StrayGate>());
                 listening = server->listen(*receiver).eagerlyEvaluate(nullptr);
               }).value();
  const NetworkAddress address{"127.0.0.1", static_cast<std::uint16_t>(receiver->getPort())};
  const Error error = caller.BeginIntentAt(address).error();
  stray->Stop([&] {
    listening = nullptr;
    server.reset();
    receiver = nullptr;
  });
  CHECK(error.kind == ErrorKind::kPeerUnavailable);
  CHECK(error.message.find("does not know the cluster secret") != std::string::npos);
}

TEST(PeerCalls, ProbesOfStrangersAreDroppedAndCounted) {
  TestInstance stranger(m_clock, "another secret");
  TestInstance peer(m_clock, "secret");
  TestInstance holder(m_clock, "secret");
  RunOn(*stranger.thread,
        [&] { stranger.transport->SendProbe(holder.address(), ProbeWithSequence(1)); });
  RunOn(*peer.thread, [&] { peer.transport->SendProbe(holder.address(), ProbeWithSequence(2)); });
  Await(holder.listener.probe_arrived.get_future());
  holder.Kill();
  LONGS_EQUAL(1, holder.listener.probes.size());
  CHECK(holder.listener.probes[0] == ProbeWithSequence(2));
  LONGS_EQUAL(1, holder.metrics.Counter("peer_datagrams_unauthenticated"));
}

// Symptom: peers cannot connect to an instance. Events: strays connect and say nothing until all
// places are taken. Cause: a connection may stay as long as it likes without a proof.
TEST(PeerCalls, AConnectionThatProvesNothingIsClosed) {
  TestInstance holder(m_clock, "secret", {},
                      {.authentication_limit = std::chrono::milliseconds(20)});
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket stray(context);
  stray.connect({boost::asio::ip::make_address("127.0.0.1"), holder.address().port});
  const timeval patience{kTestPatience.count(), 0};
  setsockopt(stray.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  char byte = 0;
  LONGS_EQUAL(0, recv(stray.native_handle(), &byte, 1, 0));
}

TEST(PeerCalls, ConnectionsOverTheBoundAreRefused) {
  TestInstance caller(m_clock, "secret");
  TestInstance holder(m_clock, "secret", {}, {.most_connections = 0});
  CHECK(caller.BeginIntentAt(holder.address()).error().kind == ErrorKind::kPeerUnavailable);
  LONGS_EQUAL(1, holder.metrics.Counter("peer_connections_refused"));
}

}  // namespace zinnia
