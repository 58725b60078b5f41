#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/sessions/fake_stages.h"
#include "zinnia_base/decisions/decision_record.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_decisions/ports/snapshot_source.h"
#include "zinnia_decisions/routing/pipeline_chooser.h"
#include "zinnia_decisions/sessions/answer_listener.h"
#include "zinnia_decisions/sessions/recovery_gate.h"
#include "zinnia_decisions/sessions/session_driver.h"
#include "zinnia_decisions/sessions/signed_resume_token_codec.h"

namespace zinnia {

/** Chooses the first usable replica of each stage, in pipeline order. */
class FakeChooser final : public PipelineChooser {
 public:
  Result<RouteChoice> Choose(const FleetSnapshot& fleet, const RouteQuery& query) override {
    for (const Pipeline& pipeline : fleet.pipelines) {
      Route route{pipeline.name, pipeline.model, pipeline.version, {}};
      for (const PipelineStage& stage : pipeline.stages) {
        if (const auto* server = FirstUsable(fleet, stage, query)) {
          route.hops.push_back({stage.layers, *server});
        }
      }
      if (pipeline.model == query.model && route.hops.size() == pipeline.stages.size()) {
        return RouteChoice{.route = route, .reason = "first usable servers"};
      }
    }
    return MakeError(ErrorKind::kNoPipeline, "no pipeline is complete");
  }

  Result<RouteChoice> Replace(const FleetSnapshot& fleet,
                              const Route& route,
                              std::size_t hop,
                              const RouteQuery& query) override {
    for (const Pipeline& pipeline : fleet.pipelines) {
      if (pipeline.name != route.pipeline) {
        continue;
      }
      if (const auto* server = FirstUsable(fleet, pipeline.stages[hop], query)) {
        RouteChoice choice{.route = route, .reason = "first usable replica"};
        choice.route.hops[hop].server = *server;
        return choice;
      }
    }
    return MakeError(ErrorKind::kNoPipeline, "no replica is left");
  }

  void OnSent(const Route&, const RouteQuery&) override { ++routes_in_use; }
  void OnFinished(const Route&, const RouteQuery&) override { --routes_in_use; }

  int routes_in_use = 0;

 private:
  static const BackendServerName* FirstUsable(const FleetSnapshot& fleet,
                                              const PipelineStage& stage,
                                              const RouteQuery& query) {
    const auto usable = std::ranges::find_if(stage.replicas, [&](const auto& name) {
      return !query.excluded.contains(name) &&
             fleet.servers.at(name).state == BackendServerState::kLive;
    });
    return usable == stage.replicas.end() ? nullptr : &*usable;
  }
};

/** Allows everything unless a test sets an error, and records the highest crash count. */
class FakeRecoveryGate final : public RecoveryGate {
 public:
  Result<void> MayStart(const ChatRequest&) override { return Answer(start_error); }
  Result<void> MayRecover(const ChatRequest&,
                          const BackendServerName&,
                          StepStatus,
                          std::uint32_t crashes) override {
    most_crashes = std::max(most_crashes, crashes);
    return Answer(crashes >= 2 ? second_crash_error : recover_error);
  }

  std::optional<Error> start_error;
  std::optional<Error> recover_error;
  std::optional<Error> second_crash_error;
  std::uint32_t most_crashes = 0;

 private:
  static Result<void> Answer(const std::optional<Error>& error) {
    return error ? Result<void>(*error) : Result<void>();
  }
};

class FakeSnapshots final : public SnapshotSource {
 public:
  std::shared_ptr<const FleetSnapshot> Current() const override { return current; }
  std::shared_ptr<FleetSnapshot> current = std::make_shared<FleetSnapshot>();
};

class FakeDecisionRecorder final : public DecisionRecorder {
 public:
  void Record(DecisionRecord record) override {
    if (on_record) {
      on_record(record);
    }
    records.push_back(std::move(record));
  }
  bool Has(const std::string& decision) const {
    return std::ranges::any_of(records,
                               [&](const auto& record) { return record.decision == decision; });
  }
  std::vector<DecisionRecord> records;
  std::function<void(const DecisionRecord&)> on_record;
};

/** Collects the text, the last event id and the end of an answer. */
class FakeCaller final : public AnswerListener {
 public:
  void OnAnswerToken(const SampledToken& token, const std::string& event_id) override {
    text += token.text;
    last_event_id = event_id;
    ++tokens;
    if (on_token) {
      on_token(token);
    }
  }
  void OnAnswerDone(const AnswerUsage& answer_usage) override {
    ++final_events;
    usage = answer_usage;
    End();
  }
  void OnAnswerFailed(const Error& answer_error) override {
    ++final_events;
    error = answer_error;
    End();
  }

  std::string text;
  std::string last_event_id;
  std::uint32_t tokens = 0;
  int final_events = 0;
  std::optional<AnswerUsage> usage;
  std::optional<Error> error;
  std::function<void(const SampledToken&)> on_token;
  std::function<void()> on_end;

 private:
  void End() const {
    if (on_end) {
      on_end();
    }
  }
};

/** A session's environment: a pipeline of three stages with two replicas each by default ("a1",
    "a2", "b1", ... "c2"), version 1. */
class SessionWorld {
 public:
  static constexpr std::uint32_t kLayers = 6;
  static constexpr std::uint32_t kPromptTokens = 5;

  explicit SessionWorld(std::uint32_t replicas = 2) : stages(time) {
    codec = SignedResumeTokenCodec::Create("a key of at least thirty-two bytes").value();
    AddPipeline("main", "1", replicas, "");
  }

  /** `suffix` distinguishes the server names of several pipelines. */
  void AddPipeline(const std::string& name,
                   const std::string& version,
                   std::uint32_t replicas,
                   const std::string& suffix) {
    Pipeline pipeline{name, "swahili", version, {}};
    constexpr std::uint32_t kLayersOfStage = 2;
    for (std::uint32_t stage = 0; stage * kLayersOfStage < kLayers; ++stage) {
      const LayerRange layers{stage * kLayersOfStage, (stage + 1) * kLayersOfStage};
      PipelineStage row{layers, {}};
      for (std::uint32_t replica = 1; replica <= replicas; ++replica) {
        std::string server(1, static_cast<char>('a' + stage));
        server += std::to_string(replica) + suffix;
        AddServer(server, {"swahili", version, layers});
        row.replicas.push_back(server);
      }
      pipeline.stages.push_back(row);
    }
    snapshots.current->pipelines.push_back(pipeline);
  }

  void AddServer(const BackendServerName& name, LoadedRange loaded) {
    ServerView& view = snapshots.current->servers[name];
    view.server.name = name;
    view.server.loaded = loaded;
    stages.Add(name, std::move(loaded));
  }

  void SetState(const BackendServerName& server, BackendServerState state) {
    snapshots.current = std::make_shared<FleetSnapshot>(*snapshots.current);
    snapshots.current->servers.at(server).state = state;
    ++snapshots.current->sequence;
  }

  static ChatRequest MakeRequest(std::uint32_t max_tokens = 12) {
    ChatRequest request;
    request.request_id = "r-1";
    request.organisation = "hostel";
    request.model = "swahili";
    request.prompt = "is a bed free tonight";
    request.max_tokens = max_tokens;
    request.seed = 7;
    request.fingerprint = Fingerprint::Of("hostel swahili bed");
    return request;
  }

  SessionParts Parts() { return {time, time, stages, chooser, snapshots, gate, *codec, recorder}; }

  std::shared_ptr<SessionDriver> Start(const std::shared_ptr<FakeCaller>& caller,
                                       const ChatRequest& request = MakeRequest()) {
    auto driver = SessionDriver::Create(Parts(), "s-1", request, std::nullopt, caller);
    driver->Start();
    return driver;
  }

  /** Resumes from the last event id as another instance does. */
  std::shared_ptr<SessionDriver> Resume(const std::shared_ptr<FakeCaller>& caller,
                                        const std::string& event_id,
                                        ChatRequest request = MakeRequest()) {
    request.request_id = "r-2";
    auto driver =
        SessionDriver::Create(Parts(), "s-2", request, codec->Open(event_id).value(), caller);
    driver->Start();
    return driver;
  }

  /** Advances the time by one minute, enough for any session to end. */
  void RunToCompletion() { time.AdvanceBy(std::chrono::minutes(1)); }

  /** The text of the answer without failures. */
  static std::string ExpectedText(const ChatRequest& request = MakeRequest()) {
    SessionWorld world;
    const auto caller = std::make_shared<FakeCaller>();
    const auto driver = world.Start(caller, request);
    world.RunToCompletion();
    return caller->text;
  }

  VirtualTime time;
  FakeStages stages;
  FakeChooser chooser;
  FakeSnapshots snapshots;
  FakeRecoveryGate gate;
  FakeDecisionRecorder recorder;
  std::unique_ptr<SignedResumeTokenCodec> codec;
};

}  // namespace zinnia
