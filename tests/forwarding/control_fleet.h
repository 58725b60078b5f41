#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/forwarding/forwarding_fakes.h"
#include "tests/forwarding/older_copy_store.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_decisions/forwarding/crashes/request_quarantine.h"
#include "zinnia_decisions/forwarding/forwarding_control.h"
#include "zinnia_decisions/ports/record_reader.h"

namespace zinnia {

/** Reads server entries of the form "START STATE", STATE being "ready", "draining" or "empty", and
    configurations that consist of their version. */
struct PlainRecordReader final : RecordReader {
  bool IsConfiguration(const std::string& key) const override { return key == "configuration"; }
  std::optional<std::string> RegistrationOf(const std::string& key) const override {
    return key.starts_with("s/") ? std::optional(key.substr(2)) : std::nullopt;
  }
  Result<ForwardingRules> ReadRules(const std::string& value) const override {
    ForwardingRules rules = *ViewOf({}).rules;
    rules.version = std::stoull(value);
    return rules;
  }
  Result<ServerEntry> ReadServer(const std::string& registration,
                                 const std::string& value) const override {
    const bool is_empty = value.ends_with("empty");
    ServerEntry entry = EngineServer(registration, "fast", "d0", {0, is_empty ? 0U : 80U});
    entry.started_at_ms = std::stoull(value);
    entry.name = registration + "@" + std::to_string(entry.started_at_ms);
    entry.draining = value.ends_with("draining");
    return entry;
  }
};

/** Control states of a whole fleet, connected with each other and with one store, in virtual time.
 */
class ControlFleet {
 public:
  ControlFleet(int instances, int domains) : m_domains(domains) {
    for (int number = 0; number < instances; ++number) {
      m_members.push_back(std::make_unique<Member>(*this, number));
    }
    for (auto& member : m_members) {
      Start(*member);
    }
  }

  VirtualTime time;
  OlderCopyStore store{time};

  void Advance(Duration duration) { time.AdvanceBy(duration); }

  /** Kills an instance and starts it anew, without anything that it knew. */
  void Restart(std::size_t number) {
    m_members[number]->control.reset();
    m_members[number]->view.reset();
    m_members[number]->quarantines.clear();
    Start(*m_members[number]);
  }

  /** Asks an instance to stop, and starts it anew. */
  void StopAndStart(std::size_t number) {
    m_members[number]->control->Stop();
    Restart(number);
  }

  OlderCopyStoreClient& Client(std::size_t number) { return m_members[number]->client; }

  /** This instance hears reports and answers to its own, but gets no records from others. */
  void SetFetchesFail(std::size_t number, bool fail) { m_members[number]->do_fetches_fail = fail; }

  /** Reports to and from this instance get no answer. */
  void SetCutOff(std::size_t number, bool cut_off) { m_members[number]->is_cut_off = cut_off; }

  /** Whether the instance has published a view since its last start. */
  bool HasView(std::size_t number) const { return m_members[number]->view != nullptr; }

  std::size_t Size() const { return m_members.size(); }

  const ForwardingView& ViewOfMember(std::size_t number) const { return *m_members[number]->view; }

  int CountViews(const std::function<bool(const ForwardingView&)>& holds) const {
    return static_cast<int>(std::count_if(
        m_members.begin(), m_members.end(),
        [&](const auto& member) { return member->view != nullptr && holds(*member->view); }));
  }

  /** All instances find that a request crashes servers. */
  void Quarantine(const QuarantineReport& quarantine) {
    for (auto& member : m_members) {
      member->control->OnQuarantined(quarantine);
    }
  }

  /** All instances hear that a request does not crash servers. */
  void Clear(const Fingerprint& request) {
    for (auto& member : m_members) {
      member->control->OnCleared({{request, {}}});
    }
  }

  /** A server crashes while this instance has a request there, as its traffic thread reports it. */
  void ReportCrash(std::size_t number, const CrashReport& crash) {
    m_members[number]->crashes.OnCrash(crash);
    m_members[number]->control->Reports().SendCrashes({crash});
  }

  /** A request ends well at this instance. */
  void EndWell(std::size_t number, const Fingerprint& request) {
    m_members[number]->crashes.OnEndedWell(request);
  }

  /** Advances, with the upkeep of what each instance knows of crashes. */
  void AdvanceWithUpkeep(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kUpkeepInterval) {
      time.AdvanceBy(std::min(kUpkeepInterval, duration - passed));
      for (auto& member : m_members) {
        member->crashes.RemoveExpired();
        member->control->Reports().SendCleared(member->crashes.TakeCleared());
        member->control->Reports().SetQuarantines(member->crashes.InForce(kReportedQuarantines));
      }
    }
  }

  int CountThatRefuse(const Fingerprint& request) const {
    return static_cast<int>(std::count_if(
        m_members.begin(), m_members.end(),
        [&](const auto& member) { return member->crashes.TimeUntilRelease(request).has_value(); }));
  }

  /** An instance finds that a server makes no progress. */
  void ReportStall(std::size_t number, const BackendServerName& server) {
    m_members[number]->control->Reports().SendStall(server);
  }

  /** How often one instance heard from peers that a request was cleared, at most. */
  int MostClearedHeard() const { return MostOf(&Member::cleared_heard); }

  /** How often one instance heard from peers of a stalled server, at most. */
  int MostStallsHeard() const { return MostOf(&Member::stalls_heard); }

  /** Sets how long a report or its answer takes, at most; evenly spread between the members. */
  void SetDeliveryTime(Duration longest) { m_delivery_time = longest; }

  int CountThatKnowQuarantines() const {
    return static_cast<int>(
        std::count_if(m_members.begin(), m_members.end(),
                      [](const auto& member) { return !member->quarantines.empty(); }));
  }

  int CountThatKnowQuarantines(SuspectKind kind) const {
    return static_cast<int>(
        std::count_if(m_members.begin(), m_members.end(), [kind](const auto& member) {
          const auto& known = member->quarantines;
          return std::any_of(
              known.begin(), known.end(),
              [kind](const QuarantineReport& quarantine) { return quarantine.kind == kind; });
        }));
  }

  int CountWithVersion(std::uint64_t version) const {
    return CountViews([version](const ForwardingView& view) {
      return view.rules != nullptr && view.rules->version == version;
    });
  }

  int CountThatMaySendTo(const BackendServerName& server) const {
    return CountViews([&server](const ForwardingView& view) {
      const auto found = view.servers.find(server);
      return found != view.servers.end() && !found->second.draining;
    });
  }

 private:
  struct Member final : ReportTransport, ReportSink, LayerOrders, DecisionRecorder {
    Member(ControlFleet& owner, int number) : fleet(owner), client(owner.store, owner.time) {
      self.name = "n" + std::to_string(number);
      self.peer_address = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
      self.failure_domain = "d" + std::to_string(number % owner.m_domains);
      self.start = 1;
      self.link_mbps = 20;
    }
    void Exchange(const NetworkAddress& peer,
                  const InstanceReport& report,
                  std::function<void(Result<MirrorDelta>)> callback) override {
      if (do_fetches_fail && report.wants_records) {
        return;
      }
      if (!is_cut_off) {
        fleet.Deliver(peer, report, std::move(callback));
      }
    }
    void OnDomainUses(const FailureDomainName&, LoadTracker::Uses) override {}
    void OnPeerStalls(const std::vector<StallReport>& stalls) override {
      stalls_heard += static_cast<int>(stalls.size());
    }
    void OnPeerServerState(const ServerStateReport& state) override {
      control->OnServerStateReport(state);
    }
    void OnPeerServerLimits(const std::vector<ServerLimitReport>&) override {}
    void OnPeerSlowdowns(const std::vector<SlowdownReport>&) override {}
    void OnPeerAnswerLengths(const std::vector<AnswerLengthRow>&) override {}
    void OnPeerCleared(const std::vector<ClearedRequest>& requests) override {
      for (const ClearedRequest& cleared : requests) {
        ++cleared_heard;
        crashes.OnCleared(cleared);
      }
    }
    void OnPeerCrashes(const std::vector<CrashReport>& from_peer) override {
      for (const CrashReport& crash : from_peer) {
        crashes.OnCrash(crash);
      }
    }
    void OnPeerQuarantines(const std::vector<QuarantineReport>& from_peer) override {
      quarantines = from_peer;
      for (const QuarantineReport& quarantine : from_peer) {
        crashes.OnQuarantine(quarantine);
      }
    }
    void Place(const ServerEntry&,
               LayerRange,
               std::uint64_t,
               std::function<void(Result<void>)> callback) override {
      callback({});
    }
    void Record(DecisionRecord) override {}

    ControlFleet& fleet;
    Instance self;
    OlderCopyStoreClient client;
    bool is_cut_off = false;
    bool do_fetches_fail = false;
    RecordingLogger logger;
    PlainRecordReader reader;
    std::shared_ptr<const ForwardingView> view;

    /** The last ones heard of from peers or the store. */
    std::vector<QuarantineReport> quarantines;
    RequestQuarantine crashes{fleet.time, {}};
    int cleared_heard = 0;
    int stalls_heard = 0;
    std::unique_ptr<ForwardingControl> control;
  };

  static constexpr Duration kUpkeepInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kReportedQuarantines = 16;

  int MostOf(int Member::*count) const {
    int most = 0;
    for (const auto& member : m_members) {
      most = std::max(most, (*member).*count);
    }
    return most;
  }

  void Start(Member& member) {
    std::vector<NetworkAddress> seeds;
    for (std::size_t seed = 0; seed < 3 && seed < m_members.size(); ++seed) {
      seeds.push_back(m_members[seed]->self.peer_address);
    }
    member.control = std::make_unique<ForwardingControl>(
        ForwardingControlParts{time, time, member.client, member.reader, member, member, member,
                               member.logger, member, member.self, seeds},
        [&member](std::shared_ptr<const ForwardingView> view) { member.view = std::move(view); });
    member.control->Start();
  }

  void Deliver(const NetworkAddress& to,
               const InstanceReport& report,
               std::function<void(Result<MirrorDelta>)> callback) {
    const Duration delivery_time =
        m_delivery_time * (1 + to.port % kDeliveryTimes) / kDeliveryTimes;
    After(delivery_time, [this, delivery_time, to, report, callback = std::move(callback)] {
      Member& peer = *m_members[to.port - 1U];
      if (peer.is_cut_off) {
        return;
      }
      if (peer.control == nullptr) {
        callback(MakeError(ErrorKind::kPeerUnavailable, "not running"));
        return;
      }
      const MirrorDelta answer = peer.control->Reports().OnReport(report);
      After(delivery_time, [callback, answer] { callback(answer); });
    });
  }

  void After(Duration delay, std::function<void()> call) {
    const std::uint64_t number = ++m_last_call;
    m_calls[number] = time.ScheduleAfter(delay, [this, number, call = std::move(call)] {
      const auto running = m_calls.extract(number);  // Owns `call` until it returns.
      call();
    });
  }

  /** So many different times, the longest of them m_delivery_time. */
  static constexpr std::uint16_t kDeliveryTimes = 4;

  const int m_domains;
  Duration m_delivery_time = std::chrono::milliseconds(1);
  std::vector<std::unique_ptr<Member>> m_members;
  std::uint64_t m_last_call = 0;
  std::map<std::uint64_t, std::unique_ptr<ScheduledCall>> m_calls;
};

}  // namespace zinnia
