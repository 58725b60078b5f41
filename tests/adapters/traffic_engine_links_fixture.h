#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/adapters/traffic_fixed_snapshot.h"
#include "tests/adapters/traffic_loop.h"
#include "tests/adapters/traffic_scripted_server.h"
#include "zinnia_adapters/engines/channel_listener.h"
#include "zinnia_adapters/engines/http_stage_links.h"
#include "zinnia_base/time/virtual_time.h"
#include "zinnia_world/fleet/server_rates_report.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

struct Answers final : StepListener {
  void OnStepAnswer(std::uint32_t hop, StepAnswer answer) override {
    answers[hop].push_back(std::move(answer));
    ++count;
  }
  StepStatus StatusOf(std::uint32_t hop) { return answers.at(hop).at(0).status; }
  std::map<std::uint32_t, std::vector<StepAnswer>> answers;
  std::size_t count = 0;
};

struct Events final : ChannelListener {
  void OnServerCrashed(const BackendServerName& server,
                       std::uint64_t incarnation,
                       InFlightAtCrash in_flight) override {
    log.push_back(fmt::format("crashed {} incarnation {}", server, incarnation));
    alone = std::move(in_flight.alone);
    blamed = std::move(in_flight.beside_others);
    blamed.insert(blamed.end(), alone.begin(), alone.end());
  }
  void OnServerSuspect(const BackendServerName& server) override {
    log.push_back("suspect " + server);
  }
  void OnServerRecovered(const BackendServerName& server) override {
    log.push_back("recovered " + server);
  }
  void OnServerLoad(const BackendServerName& server,
                    std::uint32_t running,
                    std::uint32_t queued) override {
    load = fmt::format("{} {} {}", server, running, queued);
  }
  void OnServerRates(const BackendServerName&, const ServerRatesReport& told) override {
    rates = told;
  }
  void OnServerLeaving(const BackendServerName& server) override {
    log.push_back("leaving " + server);
  }
  std::vector<std::string> log;
  std::vector<Fingerprint> blamed;
  std::vector<Fingerprint> alone;  // Part of `blamed`.
  std::string load;
  std::optional<ServerRatesReport> rates;
};

inline std::string AnswersTo(const boost::json::array& steps, const std::string& status) {
  boost::json::array answers;
  for (const boost::json::value& step : steps) {
    answers.push_back({{"status", status},
                       {"attempt", step.at("attempt")},
                       {"length", step.at("position").to_number<int>() + 1},
                       {"prompt_tokens", 0},
                       {"states", boost::json::array{"s\"1"}},
                       {"token", nullptr}});
  }
  return boost::json::serialize(
      boost::json::object{{"load", {{"running", 3}, {"queued", 4}}}, {"answers", answers}});
}

/** Links to one engine that the test plays. */
struct EngineLinksTest : Utest {
  boost::asio::io_context loop;
  VirtualTime time;
  FixedSnapshot snapshots;
  Events events;
  std::uint64_t incarnation = 7;
  std::string status = "done";
  bool hold = false;
  bool cut_probes = false;
  std::vector<boost::json::array> batches;
  std::deque<ScriptedServer::Received> held;
  ScriptedServer server{loop,
                        [this](const ScriptedServer::Received& received) { OnRequest(received); }};
  HttpStageLinks links{{loop, time, time, snapshots, events}};
  std::shared_ptr<Answers> answers = std::make_shared<Answers>();

  void setup() override { snapshots.AddServer("b-1", server.Address()); }

  void OnRequest(const ScriptedServer::Received& received) {
    if (received.request.target() == "/v1/state" && cut_probes) {
      received.drop();
      return;
    }
    if (received.request.target() == "/v1/state") {
      received.answer(200, fmt::format(R"({{"incarnation":{}}})", incarnation));
      return;
    }
    if (received.request.target() != "/v1/steps") {
      held.push_back(received);
      return;
    }
    batches.push_back(boost::json::parse(received.request.body()).at("steps").as_array());
    if (hold) {
      held.push_back(received);
    } else {
      received.answer(200, AnswersTo(batches.back(), status));
    }
  }

  void AnswerHeld(std::size_t index) {
    const auto steps = boost::json::parse(held[index].request.body()).at("steps").as_array();
    held[index].answer(200, AnswersTo(steps, status));
  }

  StepRequest MakeStep(std::uint32_t positions, bool isolated = false) {
    StepRequest step;
    step.session = "s-1";
    step.attempt = 2;
    step.position = 5;
    step.layers = {0, 8};
    step.version = "v1";
    step.input = TokenInput{"", std::vector<TokenId>(positions, 11)};
    step.isolated = isolated;
    step.fingerprint = Fingerprint::Of(isolated ? "isolated" : "plain");
    return step;
  }

  void Send(std::uint32_t hop, StepRequest step) {
    links.SendStep("b-1", hop, std::move(step), answers);
  }

  /** One step there and back, so that connection and incarnation are known. */
  void WarmUp() {
    Send(99, MakeStep(1));
    CHECK(RunUntil(loop, [this] { return answers->count == 1 && server.targets.size() == 2; }));
    RunReady(loop);
    RunReady(loop);
    answers = std::make_shared<Answers>();
    batches.clear();
  }
};

}  // namespace zinnia
