#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia_adapters/callers/caller_exchange.h"
#include "zinnia_adapters/callers/responder.h"
#include "zinnia_adapters/forwarding/caller_answer.h"
#include "zinnia_adapters/forwarding/engine_calls.h"
#include "zinnia_adapters/forwarding/forwarding_parts.h"
#include "zinnia_adapters/forwarding/held_attempt.h"
#include "zinnia_adapters/forwarding/message_codec.h"
#include "zinnia_adapters/forwarding/request_origin.h"
#include "zinnia_adapters/forwarding/server_answer_listener.h"
#include "zinnia_adapters/forwarding/server_attempt.h"
#include "zinnia_base/hashing/fingerprint.h"
#include "zinnia_base/time/clock.h"
#include "zinnia_decisions/forwarding/admission/class_request.h"
#include "zinnia_decisions/forwarding/costs/tracked_answer.h"
#include "zinnia_decisions/forwarding/crashes/broken_attempts.h"
#include "zinnia_decisions/forwarding/event_splitter.h"
#include "zinnia_decisions/forwarding/observed_state/silence_detector.h"
#include "zinnia_decisions/forwarding/paths/path_finder.h"
#include "zinnia_decisions/forwarding/retries/resend_obstacle.h"
#include "zinnia_decisions/forwarding/retries/retry_charge.h"
#include "zinnia_decisions/forwarding/retries/retry_policy.h"
#include "zinnia_decisions/forwarding/streams/event_interval_tracker.h"
#include "zinnia_decisions/forwarding/streams/move_attempts.h"
#include "zinnia_decisions/forwarding/streams/move_order.h"
#include "zinnia_world/forwarding/forward_route.h"
#include "zinnia_world/forwarding/urgency.h"

namespace zinnia {

class ServerConnection;
class ServiceAdmission;
enum class MoveEvent;
struct LimitAvailability;
struct MovingStream;

/** Forwards one request to a backend server and relays its answer to the caller.

    Guarantees: a non-idempotent request never runs on two servers, "not run" is never reported for
    a request that may have run, and a partial answer is never passed on as complete. A resumable
    stream continues on another server after the last complete event.

    Tick must be called every few tens of milliseconds: it enforces the deadline and detects silent
    streams.
*/
class ForwardExchange final : public CallerExchange,
                              public ServerAnswerListener,
                              public std::enable_shared_from_this<ForwardExchange> {
 public:
  ForwardExchange(const ForwardingParts& parts,
                  CallerRequest request,
                  std::shared_ptr<Responder> responder,
                  RequestOrigin origin,
                  Duration age,
                  std::function<void(ForwardExchange&)> on_end);
  ~ForwardExchange() override;

  /** The instance stops: the request is refused as not run if its time is over later. Call it
     before Start. */
  void MustEndBy(TimePoint time) { m_ends_by = time; }

  void Start() override;
  void OnCallerGone() override;
  std::string Describe() const override;

  void Tick();

  /** Its ticket in the capacity queue, or CapacityQueue::kNoTicket if it is not queued. */
  std::uint64_t CapacityTicket() const { return m_capacity_ticket; }

  /** Non-null while the ticket belongs to the queue of this admission instead. */
  const std::shared_ptr<ServiceAdmission>& QueuedByClass() const { return m_queued_by_class; }

  /** Sends the queued request if capacity is available. Call only while it is queued. */
  bool TryBegin();

  /** Ends the queued request, which no server has received. */
  void RefuseForWantOfRoom();

  /** Whether it must not be sent yet, since a part of its prompt may crash servers. */
  bool IsHeldBack() const;

  /** Returns nullopt before the first event and while no server is processing the request. */
  std::optional<StreamProgress> Progress() const;

  /** Returns nullopt unless it is a stream of a prioritized service, whose moves are ordered. */
  std::optional<MoveRank> RankOfMove() const;

  /** Reroutes or abandons the request if its path contains one of these stalled servers. */
  void OnServersStalled(const std::vector<BackendServerName>& servers);

  /** Ends the request if it has this fingerprint and no server has begun to answer it. */
  void OnRequestQuarantined(const Fingerprint& request);

  /** The same if its prompt has this part. */
  void OnPartQuarantined(const Fingerprint& part);

  /** This instance has lost all servers. */
  void OnCutOff();

  /** Sends the caller a final answer because the instance is stopping. */
  void OnInstanceStops();

  /** Moves the request off restarted servers now, and off draining servers later if possible. */
  void OnViewChanged();

  bool OnServerConnected() override;
  void OnServerAnswerHead(unsigned status, const boost::beast::http::fields& fields) override;
  HeldAnswerBytes OnServerAnswerBody(std::string_view bytes) override;
  void OnServerAnswerEnd() override;
  void OnServerFailed(AnswerFailure failure, std::string_view reason) override;

  /** Ends the request: a step of it has thrown an exception, and would again if it were repeated.
   */
  void OnStepFailed() override;

 private:
  struct Reservation {
    BackendServerName server;
    double token_layers = 0.0;
    bool begins = false;
  };

  /** Whether no server can have received it in any attempt. */
  bool HasCertainlyNotRun() const;

  /** Continues once the configuration is known; rejects the request after a timeout. */
  void AwaitConfiguration();
  void Begin();
  void WaitForRoom();
  void LeaveQueue();

  /** Registers the request with the admission of its service, if that is prioritized. */
  void EnterAdmission();

  /** Whether other requests of the service must be tried before this one. */
  bool MustWaitBehindOthers() const;
  void WaitByClass();
  void NoteStart();
  void LogAdmission(std::string_view event, Duration retry_after) const;
  LimitAvailability AvailabilityUnderLimits(const std::set<BackendServerName>& avoided) const;
  void LogServersAtLimit();
  std::optional<Error> FindRoute();

  /** Which configuration knows no route or key for the request, and how old this instance's view of
      the store is. */
  void LogRefusedByConfiguration() const;
  ServiceName ChooseService();

  /** Whether requests to the service are admitted by class; see ServiceClasses. */
  bool IsPrioritized() const;
  std::size_t Class() const;
  std::uint32_t QueuePriority() const;

  /** A server, or a peer, to which the request may be sent next. */
  struct Candidate {
    BackendServerName server;
    NetworkAddress address;
    LayerPath path;
    double link_ms = 0.0;
    bool is_peer = false;
  };

  /** What follows after an attempt, and at which server if the request is sent again. */
  struct Decision {
    NextStep step = NextStep::kFail;
    std::optional<Candidate> next;
    std::optional<RetryCharge> charge;
    ResendObstacle obstacle = ResendObstacle::kNone;
  };

  HeldAnswerBytes Held() const;
  bool ChooseServer();
  std::optional<Candidate> FindServer();
  std::optional<Candidate> FindPath();
  static Candidate AsCandidate(const FoundPath& found);

  /** Makes it the server of the next attempt. */
  void Take(const Candidate& candidate);

  /** Whether a peer must forward the request, as this instance reaches no server. */
  bool NeedsPeer() const;
  std::optional<Candidate> FindPeer() const;

  /** Whether the request came from a peer, and this instance reaches no server either. */
  bool IsRefusedAsCutOff() const;
  void MarkAsCutOff(CallerResponse& response) const;
  void OnPeerAnswer();
  void OnNotContinued();
  void OnPeerFailed(std::string_view reason);
  void CheckPeerSilence();

  /** Whether all servers that were chosen for the request still take new ones. */
  bool ChosenServersTakeRequests() const;
  void Send();

  /** Ends the request if its caller has left, even if that was not told yet. */
  bool EndIfCallerLeft();
  Duration TimeLeft() const;
  GenerationSize ExpectedSize() const;

  /** Lets the model of answer lengths predict this answer, if its service is prioritized. */
  void TrackAnswer();
  double TokensPerEvent() const;
  void NoteTokensSent();
  void NoteAnswerLength();
  void Reserve(const LayerPath& path);
  void ReserveForAttempt();
  void ReleaseReservations();

  static Fingerprint FingerprintOf(const CallerRequest& request, const std::string& api_key);
  void NoteBrokenAnswer(const ServerAttempt& attempt);

  /** Closes the connection of an attempt that was not answered yet. */
  void Release(ServerAttempt& attempt);
  std::optional<BrokenAttempt> DescribeAttempt(const ServerAttempt& attempt) const;

  /** Keeps the attempt at a silent server open while another server is tried. */
  void HoldAttempt();
  bool MayReturnToHeld() const;

  /** Passes on what has arrived meanwhile; returns whether the request still waits for the rest. */
  bool ReturnToHeld(std::string_view reason);
  bool PassOnArrived(HeldAttempt::Arrived arrived);
  void ReleaseHeld();
  void ReleaseHeldIfEnded(const ForwardingView& view);
  void OnHeldLost(std::optional<AnswerFailure> failure);
  bool IsUsable(unsigned status, const boost::beast::http::fields& fields) const;
  void ForgetUnsent();

  /** Whether the request must not be sent again, because it crashes servers or may do so. */
  bool IsHarmful() const;

  /** The same, or it has a part that is suspected of crashing servers. */
  bool MustNotBeSentAgain() const;
  void EndAsHarmful();

  /** Its server lives, although its answer has run for a while, or has ended. */
  void NoteSurvival();
  void NoteProgressOfSuspect();
  void RefuseHarmful();

  /** Handles what the server says of itself in the head of its answer. */
  void HandleNotices();
  void NoteLimit();
  void NotePause();
  void NoteLeaving();
  void ReadHead(unsigned status,
                const boost::beast::http::fields& fields,
                ServerAttempt& attempt) const;
  bool IsOfAnotherRequest(const ServerAttempt& attempt) const;
  static bool IsServersOwn(const ServerAttempt& attempt);

  /** Gives the caller the head of the current attempt, unless the stream has begun. */
  void BeginStream();
  void OnWholeAnswer();
  void QuerySlowdownFactors();
  void QueryLayers(const PathPart& accused);
  void ConfirmRefusal(const PathPart& accused);
  PathPart FaultyPart() const;
  void OnNotRun();
  void OnSendEnded(SendOutcome outcome, std::string_view reason);
  void SendAgainOrGiveUp(SendOutcome outcome, std::string_view reason);
  Decision Decide(SendOutcome outcome);
  void LogDecision(const Decision& decision, std::string_view event, std::string_view reason) const;

  /** Charges a retry to the budget if a server may have received the request. */
  RetryCharge ChargeRetry(SendOutcome outcome);
  void GiveUp(NextStep step, std::string_view reason);
  void PassOnWholeAnswer();
  void SendWhole(CallerResponse response, std::string_view outcome);
  void Answer(const Error& error);
  void End(std::string_view outcome);
  void OnDeadline();

  void CheckSilence();
  void QueryStalls();
  void OnReport(const Result<EngineReport>& report);
  void OnServerRestarted();
  bool HasEventsFlowing() const;
  bool HasDrainingServer() const;

  /** Schedules the reroute of the stream away from draining servers. */
  void ScheduleMove();
  void MoveIfDue();

  /** `is_broken`: the current path will deliver no more events, so the stream may also be resent to
      another first server. */
  void Reroute(std::string_view reason, bool is_broken);

  /** The same for prioritized services; see MoveChooser. */
  void Move(std::string_view reason, bool is_broken);
  MovingStream DescribeMove(bool is_broken) const;
  void CountMove(MoveEvent event) const;

  /** A move was refused. Returns whether another path is tried at once. */
  bool MoveAgain(const LayerPath& refused, const RerouteAnswer& answer);
  Duration ExpectedRest() const;
  void ChangePath(const FoundPath& found, std::string_view reason);
  void LogMove(std::string_view event, const LayerPath& to, std::string_view reason) const;
  bool MayResend() const;
  std::set<BackendServerName> ServersWithRequest() const;
  bool HasRequest(const BackendServerName& server) const;
  void ResendBeside(const FoundPath& found, std::string_view reason);
  void OnRerouteFailed(std::string_view reason);
  void OnRerouted(const LayerPath& path, const RerouteAnswer& answer);

  /** The server of the held attempt has answered to a change of its path. */
  void OnHeldRerouted(const LayerPath& path, const RerouteAnswer& answer);
  void ExcludeRefusingServer(const LayerPath& path, const RerouteAnswer& answer);
  void AbandonServer(std::string_view reason);

  /** Sends the request to another server if one is secured; otherwise it goes on waiting for its
      silent server, which may be sound. */
  void TryBesideSilentServer(std::string_view reason);

  const ForwardingParts& m_parts;
  const CallerRequest m_request;
  CallerAnswer m_answer;

  /** The server, or the peer, whose head the caller has been given, and that of the first event;
      empty before. */
  BackendServerName m_head_of;
  BackendServerName m_first_event_of;
  const RequestOrigin m_origin;
  std::function<void(ForwardExchange&)> m_on_end;

  /** When the request arrived, which may be long before it was read. */
  const TimePoint m_started_at;
  RequestFacts m_facts;
  Fingerprint m_fingerprint;
  std::shared_ptr<const ForwardRoute> m_route;
  OrganisationName m_organisation;
  ServiceName m_service;
  Urgency m_urgency;
  TimePoint m_deadline{};

  /** At the server or the peer to which the request was sent last. */
  ServerAttempt m_attempt;

  /** Null unless the attempt before it is still open, as its server may go on. */
  std::shared_ptr<HeldAttempt> m_held;

  /** What had arrived of its stream when it was held. */
  EventSplitter m_held_events;

  /** When another server may be looked for again, after none was secured. */
  TimePoint m_next_search_at{};
  bool m_keeps_waiting = false;
  int m_peers_asked = 0;
  std::vector<Reservation> m_reservations;
  std::set<BackendServerName> m_avoided;
  SendHistory m_history;

  EventSplitter m_events;
  EventIntervalTracker m_event_intervals;

  /** For prioritized services only. */
  std::optional<TrackedAnswer> m_tracked_answer;

  bool m_awaits_configuration = false;
  std::optional<TimePoint> m_ends_by;

  std::uint64_t m_capacity_ticket = 0;

  /** Null if the service is not prioritized. */
  std::shared_ptr<ServiceAdmission> m_admission;
  ClassRequest m_class_request;
  std::shared_ptr<ServiceAdmission> m_queued_by_class;

  /** Incremented by each send and reroute. */
  std::uint64_t m_path_changes = 0;
  bool m_stall_query_in_flight = false;
  bool m_ended = false;
  int m_failed_reports = 0;

  /** Reroutes since the last event that failed or found no path. */
  int m_failed_reroutes = 0;
  MoveAttempts m_move_attempts;

  /** Whether the path that the last move left delivers no more events. */
  bool m_moves_off_broken_path = false;
  TimePoint m_last_stall_query_at{};

  /** Reports requested since the last progress because the stream was silent. */
  int m_stall_queries = 0;
  Duration m_first_event_after{};

  /** When to reroute the stream away from a draining server. */
  std::optional<TimePoint> m_move_at;
};

}  // namespace zinnia
