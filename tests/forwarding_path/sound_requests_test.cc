#include <cstdlib>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "tests/forwarding_path/request_generator.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using Connection = RawServer::Connection;

/** ZINNIA_SEEDS plays so many seeds, from ZINNIA_FIRST_SEED on. */
TEST_GROUP(SoundRequestPath) {
  static constexpr std::uint64_t kSeeds = 150;
  static constexpr int kMostRequests = 5;

  static std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  }

  static void ScriptAnswers(ForwardingFixture & f) {
    f.Script([](Connection& connection) {
      const std::string id(connection.request["X-Id"]);
      connection.Write(fmt::format(
          "HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", id));
    });
  }

  static std::size_t Answers(const TestCaller& caller) {
    std::size_t answers = 0;
    const std::string& text = caller.Received();
    for (auto at = text.find("HTTP/1.1 200"); at != std::string::npos;
         at = text.find("HTTP/1.1 200", at + 1)) {
      ++answers;
    }
    return answers;
  }

  static void SendInPieces(ForwardingFixture & f, TestCaller & caller,
                           const std::vector<std::string>& pieces) {
    for (const std::string& piece : pieces) {
      caller.Send(piece);
      RunReady(f.thread.Loop());
      RunReady(f.thread.Loop());
    }
  }

  static const RawServer::Request* Received(const ForwardingFixture& f, const std::string& id) {
    for (const RawServer* server : {&f.a, &f.b}) {
      for (const RawServer::Request& request : server->received) {
        if (request["X-Id"] == id) {
          return &request;
        }
      }
    }
    return nullptr;
  }

  /** Returns what is wrong with the request at its server, or nothing. */
  static std::string FaultOf(const ForwardingFixture& f, const GeneratedRequest& sent) {
    const RawServer::Request* received = Received(f, sent.id);
    if (received == nullptr) {
      return "not received";
    }
    if (received->method_string() != sent.method || received->target() != sent.target) {
      return "another request line";
    }
    return received->body() == sent.body ? "" : "another body";
  }

  /** Plays a connection with a series of requests, some of them pipelined. Returns the first fault
      with its trace, or nothing. */
  static std::string Play(std::uint64_t seed) {
    RequestGenerator generator(seed);
    ForwardingFixture f;
    ScriptAnswers(f);
    f.callers.push_back(std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
    TestCaller& caller = *f.callers.back();
    std::vector<GeneratedRequest> requests;
    const std::uint64_t count = 1 + generator.Below(kMostRequests);
    while (requests.size() < count) {
      std::string bytes;
      do {
        requests.push_back(generator.Draw(fmt::format("r-{}", requests.size())));
        bytes += requests.back().bytes;
      } while (requests.size() < count && generator.OneIn(3));
      SendInPieces(f, caller, generator.Cut(bytes));
      if (!f.Until([&] { return Answers(caller) >= requests.size() || caller.IsClosed(); }) ||
          Answers(caller) != requests.size()) {
        return fmt::format("seed {}: {} of {} answers, the last {} bytes are '{}'", seed,
                           Answers(caller), requests.size(),
                           std::min<std::size_t>(bytes.size(), 20),
                           bytes.substr(bytes.size() - std::min<std::size_t>(bytes.size(), 20)));
      }
    }
    for (const GeneratedRequest& request : requests) {
      if (const std::string fault = FaultOf(f, request); !fault.empty()) {
        return fmt::format("seed {}: {}: {}", seed, request.id, fault);
      }
    }
    return "";
  }
};

// Guards against a body with a length that is never read to its end, as its last bytes look like
// the beginning of a last chunk: neither sent to a server nor answered.
TEST(SoundRequestPath, ABodyWithALengthMayEndLikeAChunkedOne) {
  for (const std::string body :
       {"0\r\n", "0\r\n\r", "00\r\n", "0;\r\n", "0\r\n\r\n", "line\n0\r\n"}) {
    for (std::size_t cut = 0; cut < body.size(); ++cut) {
      ForwardingFixture f;
      ScriptAnswers(f);
      f.callers.push_back(
          std::make_unique<TestCaller>(f.thread.Loop(), f.traffic->Server().Port()));
      TestCaller& caller = *f.callers.back();
      const std::string head = fmt::format(
          "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Id: r-1\r\nX-Key: key-1\r\nContent-Length: "
          "{}\r\n\r\n",
          body.size());
      SendInPieces(f, caller, {head + body.substr(0, cut), body.substr(cut)});
      CHECK_TRUE(f.Until([&] { return Answers(caller) == 1; }));
      STRCMP_EQUAL(body.c_str(), Received(f, "r-1")->body().c_str());
    }
  }
}

// Guards against sound requests of any form that are changed on the way or not answered.
TEST(SoundRequestPath, ServersGetSoundRequestsAsTheyWereSent) {
  const std::uint64_t first = FromEnvironment("ZINNIA_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("ZINNIA_SEEDS", kSeeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    STRCMP_EQUAL("", Play(seed).c_str());
  }
}

}  // namespace zinnia
