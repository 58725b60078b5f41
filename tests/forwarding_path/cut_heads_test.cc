#include <fmt/format.h>

#include <array>
#include <string>
#include <string_view>

#include "tests/forwarding_path/forwarding_fixture.h"
#include "zinnia_adapters/http/answer_reader.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using Connection = RawServer::Connection;
using std::chrono::milliseconds;

enum class Ending { kOrderly, kReset };

constexpr std::string_view kBody = "id: 1\ndata: e1\n\n";

struct WholeAnswer {
  std::string head;
  std::string body;
};

/** One answer in each framing. */
std::array<WholeAnswer, 4> WholeAnswers() {
  const std::string body(kBody);
  const auto head = [](const std::string& fields) { return ForwardingFixture::Head(fields); };
  return {
      WholeAnswer{head(fmt::format("Content-Length: {}\r\n", body.size())), body},
      WholeAnswer{head("Transfer-Encoding: chunked\r\n"),
                  ForwardingFixture::Chunk(body) + "0\r\n\r\n"},
      WholeAnswer{head("Connection: close\r\n"), body},
      WholeAnswer{"HTTP/1.1 100 Continue\r\n\r\n" + head("Connection: close\r\n"), body},
  };
}

}  // namespace

/** Servers and peers that stop within the head of their answer and end the connection. */
TEST_GROUP(CutHeadPath) {
  static constexpr milliseconds kPauseOfPeer{2'500};
  static constexpr std::chrono::seconds kGiveUpAfter{10};

  ForwardingFixture f;
  int requests = 0;

  static void End(Connection & connection, Ending ending) {
    if (ending == Ending::kReset) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0));
    }
    connection.Close();
  }

  /** The end of an interim head is none of the answer's. */
  static bool IsCutWithinHead(const WholeAnswer& answer, std::size_t cut) {
    return cut > 0 && cut < answer.head.size();
  }

  /** Bodies differ, so that no request is taken for one that crashes servers. */
  const TestCaller& Ask(ForwardingTraffic & instance, const std::string& path) {
    f.callers.clear();
    const TestCaller& caller =
        f.CallAt(instance, path, "key-1", fmt::format("body {}", ++requests));
    CHECK_TRUE(f.Until([&] { return caller.IsClosed() || caller.Has("\r\n\r\n"); }));
    return caller;
  }

  void CheckFails(ForwardingTraffic & instance, const std::string& path, std::size_t cut) {
    const TestCaller& caller = Ask(instance, path);
    const std::string text = fmt::format("{} cut at {}", path, cut);
    CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 502"), text.c_str());
    CHECK_FALSE_TEXT(caller.Has("HTTP/1.1 200"), text.c_str());
  }

  /** Makes the next request meet a kept connection. */
  void KeepConnections() {
    f.Script([](Connection& connection) {
      connection.Write(ForwardingFixture::Head("Content-Length: 2\r\n") + "ok");
    });
    Ask(*f.traffic, "/once/x");
  }
};

// Guards against a cut head that is passed on as a success with an empty or short body.
TEST(CutHeadPath, ItIsNoAnswerOfAServer) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    for (const Ending ending : {Ending::kOrderly, Ending::kReset}) {
      for (std::size_t cut = 0; IsCutWithinHead(answer, ++cut);) {
        if (cut % 2 == 0) {
          KeepConnections();
        }
        f.Script([&](Connection& connection) {
          connection.Write(answer.head.substr(0, cut));
          End(connection, ending);
        });
        CheckFails(*f.traffic, cut % 4 < 2 ? "/once/x" : "/events/x", cut);
      }
    }
  }
}

// The same for the answer of a peer.
TEST(CutHeadPath, ItIsNoAnswerOfAPeer) {
  RawServer peer{f.thread.Loop()};
  const auto lost = std::make_shared<ForwardingView>(*f.view);
  for (auto& [name, server] : lost->servers) {
    server.address = f.refusing.Address();
  }
  const auto instances = std::make_shared<std::vector<Instance>>();
  for (const auto& [name, port] :
       {std::pair<std::string, std::uint16_t>{"self", 0}, {"peer-1", peer.Address().port}}) {
    Instance instance;
    instance.name = name;
    instance.peer_address = {"127.0.0.1", 1};
    instance.requests_port = port;
    instances->push_back(instance);
  }
  lost->instances = instances;
  lost->live_instances = instances->size();
  f.traffic->SetView(lost);
  const WholeAnswer answer = WholeAnswers()[1];
  std::size_t cut = 1;
  peer.scripts = {[&](Connection& connection) {
    connection.Write(answer.head.substr(0, cut));
    End(connection, cut % 2 == 0 ? Ending::kOrderly : Ending::kReset);
  }};
  for (; IsCutWithinHead(answer, cut); ++cut) {
    // A peer whose answer broke off is left alone for a while.
    f.clock.MoveBy(kPauseOfPeer);
    const std::size_t before = peer.received.size();
    const auto give_up_at = std::chrono::steady_clock::now() + kGiveUpAfter;
    while (peer.received.size() == before && std::chrono::steady_clock::now() < give_up_at) {
      const TestCaller& caller = Ask(*f.traffic, cut % 4 < 2 ? "/once/x" : "/events/x");
      CHECK_FALSE_TEXT(caller.Has("HTTP/1.1 200"), std::to_string(cut).c_str());
      CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 50"), std::to_string(cut).c_str());
    }
    CHECK_TRUE_TEXT(peer.received.size() > before, std::to_string(cut).c_str());
  }
}

// Control: a head in two pieces with a pause between them is a head.
TEST(CutHeadPath, AHeadThatComesInTwoPiecesIsOne) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    for (std::size_t cut = 1; cut < answer.head.size(); cut += 7) {
      Connection* asked = nullptr;
      f.Script([&](Connection& connection) {
        connection.Write(answer.head.substr(0, cut));
        asked = &connection;
      });
      f.callers.clear();
      const TestCaller& caller = f.Call("/once/x", "key-1", fmt::format("body {}", ++requests));
      CHECK_TRUE(f.Until([&] { return asked != nullptr; }));
      RunReady(f.thread.Loop());
      asked->Write(answer.head.substr(cut) + answer.body);
      asked->socket.shutdown(boost::asio::socket_base::shutdown_send);
      CHECK_TRUE(f.Until([&] { return caller.IsClosed() || caller.Has("data: e1"); }));
      CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 200"), std::to_string(cut).c_str());
    }
  }
}

// Guards against the same in all clients, which read through AnswerReader: engines, orders, store.
TEST(CutHeadPath, TheReaderTakesNoPartOfAHeadForAnAnswer) {
  for (const WholeAnswer& answer : WholeAnswers()) {
    for (std::size_t cut = 0; cut < answer.head.size(); ++cut) {
      AnswerReader reader({}, false);
      boost::beast::flat_buffer buffer;
      const std::string part = answer.head.substr(0, cut);
      boost::asio::buffer_copy(buffer.prepare(part.size()), boost::asio::buffer(part));
      buffer.commit(part.size());
      CHECK_FALSE(reader.Read(buffer).has_value());
      CHECK_TRUE_TEXT(reader.ReadEnd().has_value(), part.c_str());
      CHECK_FALSE(reader.IsDone());
    }
  }
}

}  // namespace zinnia
