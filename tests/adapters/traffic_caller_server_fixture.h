#pragma once

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/adapters/traffic_caller_fakes.h"
#include "tests/adapters/traffic_fixed_snapshot.h"
#include "tests/adapters/traffic_loop.h"
#include "tests/adapters/traffic_scripted_server.h"
#include "tests/adapters/traffic_test_caller.h"
#include "zinnia_adapters/callers/caller_server.h"
#include "zinnia_adapters/callers/key_digest.h"
#include "zinnia_adapters/threads/traffic_scheduler.h"
#include "zinnia_base/time/virtual_time.h"

namespace zinnia {

/** A caller server with fakes behind it, a plain service "ledger" under /bookings, and two
    organisations: kariakoo with key-k and msasani with key-m. Time is virtual for all decisions;
    only the limits on slow connections use the machine's clock. */
struct CallerServerFixture {
  CallerServerFixture() {
    const auto entry = [](const std::string& path, const std::string& json) {
      return std::pair{path, ConfigurationEntry{path, 1, json}};
    };
    snapshots.snapshot->configuration = std::make_shared<Configuration>(
        Configuration::Parse(
            1, {entry("organisation/kariakoo",
                      fmt::format(R"({{"key_digests":["{}"]}})", DigestOfKey("key-k"))),
                entry("organisation/msasani",
                      fmt::format(R"({{"key_digests":["{}"]}})", DigestOfKey("key-m"))),
                entry("model/swift",
                      R"({"version":"v1","layers":8,"max_tokens":50,"credit_weight":2})"),
                entry("service/ledger",
                      R"({"path_prefix":"/bookings","servers":["l-1","l-2"],"credit_weight":3})")})
            .value());
    snapshots.AddServer("l-1", service.Address());
  }

  void StartServer() {
    CallerServerParts parts{
        loop,
        time,
        time,
        snapshots,
        admission,
        gate,
        once,
        chooser,
        links,
        resume_tokens,
        recorder,
        metrics,
        logger,
        limits,
        [this] { return not_ready; },
        [this](const SessionParts&, SessionName name, ChatRequest request,
               std::optional<ResumePoint> resume, std::weak_ptr<AnswerListener> listener) {
          sessions.push_back(std::make_shared<FakeSession>());
          sessions.back()->session = std::move(name);
          sessions.back()->request = std::move(request);
          sessions.back()->resume = std::move(resume);
          sessions.back()->listener = std::move(listener);
          return sessions.back();
        },
        "i-1-100-0",
        1};
    server = CallerServer::Create(std::move(parts), {"127.0.0.1", 0}).value();
  }

  TestCaller& Connect() {
    callers.push_back(std::make_unique<TestCaller>(loop, server->Port()));
    return *callers.back();
  }

  static std::string Message(const std::string& line,
                             const std::string& body,
                             const std::string& headers = "",
                             const std::string& key = "key-k") {
    return fmt::format(
        "{} HTTP/1.1\r\nHost: z\r\nAuthorization: Bearer {}\r\n{}Content-Length: {}\r\n\r\n{}",
        line, key, headers, body.size(), body);
  }

  TestCaller& Request(const std::string& line,
                      const std::string& body,
                      const std::string& headers = "",
                      const std::string& key = "key-k") {
    TestCaller& caller = Connect();
    caller.Send(Message(line, body, headers, key));
    return caller;
  }

  TestCaller& Chat(const std::string& more = "", const std::string& headers = "") {
    return Request(
        "POST /v1/chat/completions",
        R"({"model":"swift","messages":[{"role":"user","content":"any bed?"}])" + more + "}",
        headers);
  }

  bool Until(const std::function<bool()>& condition) { return RunUntil(loop, condition); }
  bool UntilHas(const TestCaller& caller, const std::string& text) {
    return Until([&] { return caller.Has(text); }) ||
           (fmt::print(stderr, "received instead: {}\n", caller.Received()), false);
  }
  bool UntilSession() {
    return Until([this] { return !sessions.empty() && sessions.back()->started; });
  }

  boost::asio::io_context loop;
  VirtualTime time;
  FixedSnapshot snapshots;
  FakeAdmission admission;
  FakeRecoveryGate gate;
  FakeOnceGate once;
  FakeChooser chooser;
  FakeLinks links;
  FakeResumeTokens resume_tokens;
  FakeRecorder recorder;
  FakeMetrics metrics;
  FakeLogger logger;
  CallerLimits limits;
  std::vector<std::string> not_ready;
  std::vector<std::shared_ptr<FakeSession>> sessions;
  std::vector<ScriptedServer::Received> served;
  ScriptedServer service{
      loop, [this](ScriptedServer::Received received) { served.push_back(std::move(received)); }};
  std::vector<std::unique_ptr<TestCaller>> callers;
  std::unique_ptr<CallerServer> server;
};

}  // namespace zinnia
