#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/responder.h"
#include "zinnia_adapters/forwarding/engine_calls.h"
#include "zinnia_adapters/forwarding/forwarding_parts.h"
#include "zinnia_adapters/forwarding/message_codec.h"
#include "zinnia_adapters/forwarding/server_answer_listener.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/event_splitter.h"
#include "zinnia_decisions/forwarding/observed_state/silence_detector.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/retries/retry_policy.h"
#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"
#include "zinnia_world/forwarding/forward_route.h"

namespace zinnia {

class ServerConnection;
struct LimitAvailability;

/** One request on its way to a server and its answer back.

    What it never does: run a non-idempotent request at two servers, say "not run" of one that may
    have run, or pass on bytes that are not the whole answer of one server as if they were. A stream
    that may be resumed goes on at another server after the last whole event.

    Tick must be called every few tens of milliseconds: it ends the request at its deadline and
    notices streams that fell silent.
*/
class ForwardExchange final : public CallerExchange,
                              public ServerAnswerListener,
                              public std::enable_shared_from_this<ForwardExchange> {
 public:
  ForwardExchange(const ForwardingParts& parts,
                  CallerRequest request,
                  std::shared_ptr<Responder> responder,
                  std::function<void(ForwardExchange&)> on_end);
  ~ForwardExchange() override;

  void Start() override;
  void OnCallerGone() override;
  std::string Describe() const override;

  void Tick();

  /** The ticket with which it waits for capacity; CapacityQueue::kNoTicket if it does not. */
  std::uint64_t CapacityTicket() const { return m_capacity_ticket; }

  /** Begins if there is room now. Only for requests that wait for it. */
  bool TryToBegin();

  /** Nothing while no event has come, or while no server is at work. */
  std::optional<StreamProgress> Progress() const;

  /** Servers are known not to go on; acts if this request depends on one of them. */
  void OnServersStalled(const std::vector<BackendServerName>& servers);

  /** The instance ends before the request does: its caller gets the final answer now. */
  void OnInstanceStops();

  /** The view changed: leaves servers that have started again since, and later those that are
      draining if that can be done. */
  void OnViewChanged();

  void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) override;
  void OnServerAnswerBody(std::string_view bytes) override;
  void OnServerAnswerEnd() override;
  void OnServerFailed(AnswerFailure failure, std::string_view reason) override;

 private:
  struct Reservation {
    BackendServerName server;
    double token_layers = 0.0;
    bool begins = false;
  };

  /** Goes on once the configuration is known, or refuses when that takes too long. */
  void AwaitRules();
  void Begin();
  void WaitForRoom();
  void RefuseForWantOfRoom();
  LimitAvailability AvailabilityUnderLimits() const;
  void LogServersAtLimit();
  std::optional<Error> FindRoute();
  ServiceName ChooseService();
  bool ChooseServer();
  bool ChoosePath();
  void TakePath(const FoundPath& found);
  void Send();
  Duration TimeLeft() const;
  GenerationSize ExpectedSize() const;
  void Reserve(const LayerPath& path);
  void ReleaseReservations();

  void NoteLimit();
  void OnStreamHead(unsigned status, const boost::beast::http::fields& fields);
  void OnWholeAnswer();
  void AskForPaces();
  void AskForLayers(const PathPart& accused);
  void AskWhyItRefused(const PathPart& accused);
  PathPart PartAtFault() const;
  void OnNotRun();
  void OnSendEnded(SendOutcome outcome, std::string_view reason);
  void SendAgainOrGiveUp(SendOutcome outcome, std::string_view reason);
  void GiveUp(NextStep step, std::string_view reason);
  void PassOnWholeAnswer();
  void Answer(const Error& error);
  void End(std::string_view outcome);
  void OnDeadline();

  void CheckSilence();
  void AskForStall();
  void OnReport(const Result<EngineReport>& report);
  bool HasLeavingServer() const;

  /** Decides when the stream moves off the leaving servers of its path. */
  void ScheduleMove();
  void MoveIfDue();

  /** `is_broken`: no more events will come over the present path, so that the stream may also start
      again elsewhere. While it flows, that would only risk it. */
  void Reroute(std::string_view reason, bool is_broken);
  void ChangePath(const FoundPath& found, std::string_view reason);
  void LogMove(std::string_view event, const LayerPath& to, std::string_view reason) const;
  bool MayStartAgain() const;
  void StartAgain(const FoundPath& found, std::string_view reason);
  void OnNoReroute(std::string_view reason);
  void OnRerouted(const LayerPath& path, const RerouteAnswer& answer);
  void AvoidRefuser(const LayerPath& path, const RerouteAnswer& answer);
  void AbandonServer(std::string_view reason);

  const ForwardingParts& m_parts;
  const CallerRequest m_request;
  const std::shared_ptr<Responder> m_responder;
  std::function<void(ForwardExchange&)> m_on_end;
  const TimePoint m_started_at;
  RequestFacts m_facts;
  std::shared_ptr<const ForwardRoute> m_route;
  OrganisationName m_organisation;
  ServiceName m_service;
  TimePoint m_deadline{};

  BackendServerName m_server;
  NetworkAddress m_server_address;
  LayerPath m_path;
  std::vector<Reservation> m_reservations;
  std::shared_ptr<ServerConnection> m_connection;
  std::set<BackendServerName> m_avoided;
  SendHistory m_history;

  unsigned m_status = 0;
  boost::beast::http::fields m_fields;
  AnswerFacts m_answer_facts;
  std::string m_body;
  EventSplitter m_events;
  bool m_is_streaming = false;    // The present answer is a stream.
  bool m_stream_started = false;  // The caller has the head of a stream.
  EventIntervalTracker m_event_intervals;

  /** The configuration is not known yet. */
  bool m_awaits_rules = false;

  std::uint64_t m_capacity_ticket = 0;

  /** Whether an event came over the present path. */
  bool m_path_proved = false;
  bool m_rerouting = false;

  /** Counts sends and orders to change the path: the answer to an order that was overtaken by a
      later send must not replace the path of that send. */
  std::uint64_t m_path_changes = 0;
  bool m_asking = false;
  bool m_ended = false;
  int m_failed_reports = 0;

  /** Since the last event: reroutes that failed or found no path. */
  int m_failed_reroutes = 0;
  TimePoint m_sent_at{};
  TimePoint m_last_progress{};
  TimePoint m_asked_at{};

  /** Into its silence since the last progress. */
  int m_looks = 0;
  Duration m_first_event_after{};

  /** When the stream moves off a leaving server of its path. */
  std::optional<TimePoint> m_move_at;
};

}  // namespace zinnia
