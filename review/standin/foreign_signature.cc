// Case: the link to a server holds its bytes for a moment, and second servers are asked beside it.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <random>

#include "platform/soak/proxy.h"
#include "review/standin/deployment.h"

namespace review {
namespace {

using zinnia::platform::soak::HttpServer;
using zinnia::platform::soak::LinkMode;
using zinnia::platform::soak::Proxy;
using zinnia::platform::soak::StoreStandin;

constexpr const char* kModel = "lugha-pool";
constexpr const char* kSignature = "Zinniastage-Response-Signature: ";
constexpr int kDeadlineMs = 20'000;
constexpr int kServers = 6;

/** Streams at the same time: some thirty at each server, which has 192 slots. */
constexpr int kClients = 200;
constexpr milliseconds kBetweenStarts{51};
constexpr int kEvents = 57;

/** A server sends its head with its first token, 60 ms after which comes the next. An event holds
   three tokens, so that events are as far apart as the sheet allows at most, nearly. */
constexpr milliseconds kUntilFirstToken{100};
constexpr milliseconds kBetweenTokens{60};
constexpr milliseconds kFromHeadToFirstEvent = 2 * kBetweenTokens;
constexpr milliseconds kBetweenEvents = 3 * kBetweenTokens;

/** One link after the other holds its bytes for as long as this, drawn from a uniform distribution.
 */
constexpr int kCuts = 20;
constexpr int kShortestHoldMs = 900;
constexpr int kLongestHoldMs = 1'300;
constexpr milliseconds kFirstCut{11'000};
constexpr milliseconds kBetweenCuts{3'500};

/** A server behind a link. */
struct Server {
  std::string name;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Proxy> link;
};

bool Serve(const Request& request, Socket& socket, const std::string& name, Record& record) {
  if (const auto answered = AnswerModelCall(request, socket)) {
    return *answered;
  }
  const std::string id(request["Zinniastage-Attempt-Id"]);
  const std::string after(request["Last-Event-Id"]);
  record.Line(fmt::format("server {} has got {}", name, id));
  std::this_thread::sleep_for(kUntilFirstToken);
  const std::string head = fmt::format(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nZinniastage-Attempt-Id: {}\r\n"
      "{}{}\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, kSignature, name);
  if (!socket.Write(head)) {
    return false;
  }
  std::this_thread::sleep_for(kFromHeadToFirstEvent);
  for (int event = after.empty() ? 1 : std::atoi(after.c_str()) + 1; event <= kEvents; ++event) {
    const std::string text = fmt::format("id: {}\ndata: token of {}\n\n", event, name);
    if (!socket.Write(fmt::format("{:x}\r\n{}\r\n", text.size(), text))) {
      return false;
    }
    std::this_thread::sleep_for(kBetweenEvents);
  }
  return socket.Write("0\r\n\r\n");
}

/** What follows `mark` up to the end of the line. */
std::string WordAfter(const std::string& text, const std::string& mark) {
  const std::size_t found = text.find(mark);
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t begin = found + mark.size();
  return text.substr(begin, text.find_first_of("\r\n", begin) - begin);
}

std::size_t Count(const std::string& text, const std::string& mark) {
  std::size_t count = 0;
  for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
    ++count;
  }
  return count;
}

/** What all clients have seen. */
struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> whole{0};
  std::atomic<int> foreign{0};
};

/** Sends one stream and judges its answer. */
void SendStream(std::uint16_t port, Record& record, Counts& counts) {
  const std::string id = NewId();
  Client client(port);
  client.Connect();
  ++counts.sent;
  const Outcome outcome = client.Call(
      RequestBytes("POST", "/bed-query/2f", id, kDeadlineMs, "body of " + id,
                   "Zinniastage-Model-Id: daka510000\r\nZinniastage-Token-Usage: 800,171\r\n"
                   "Zinniastage-Prefix-Hash: 5c1e07a2:40," +
                       id.substr(0, 8) + ":760\r\n"),
      milliseconds(kDeadlineMs));
  const std::string signed_by = WordAfter(outcome.head, kSignature);
  const std::string first_event_of = WordAfter(outcome.body, "data: token of ");
  const std::size_t of_signer = Count(outcome.body, "data: token of " + signed_by);
  const bool is_whole = outcome.is_whole && outcome.status == 200;
  const bool is_foreign = is_whole && of_signer == 0;
  counts.whole += is_whole ? 1 : 0;
  counts.foreign += is_foreign ? 1 : 0;
  record.Line(fmt::format(
      "client got status {} for {}: signature of {}, {} events, {} of them made there, the first "
      "by {}{}",
      outcome.status, id, signed_by, Count(outcome.body, "data: token of "), of_signer,
      first_event_of, is_foreign ? ": MIXED, no part of the body is the signer's" : ""));
}

/** Lets one link after the other hold its bytes. */
void HoldLinks(std::vector<Server>& servers, bool has_trouble, Record& record) {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> hold_ms(kShortestHoldMs, kLongestHoldMs);
  std::this_thread::sleep_for(kFirstCut);
  for (int cut = 0; cut < kCuts; ++cut) {
    const auto began = Clock::now();
    const Server& server = servers[static_cast<std::size_t>(cut) % servers.size()];
    if (has_trouble) {
      record.Line(fmt::format("the link of {} holds its bytes", server.name));
      server.link->SetMode(LinkMode::kHold);
      std::this_thread::sleep_for(milliseconds(hold_ms(random)));
      server.link->SetMode(LinkMode::kPass);
      record.Line(fmt::format("the link of {} passes again", server.name));
    }
    std::this_thread::sleep_until(began + kBetweenCuts);
  }
}

int RunCase(const std::string& folder, const std::string& scratch, bool has_trouble) {
  Record record(folder + "/record.txt");
  StoreStandin store;
  std::vector<Server> servers(kServers);
  for (Server& server : servers) {
    server.name = "i-" + NewId();
    server.server = std::make_unique<HttpServer>(
        [&record, name = server.name](const Request& request, Socket& socket) {
          return Serve(request, socket, name, record);
        });
    server.link = std::make_unique<Proxy>(server.server->Port());
    store.Put("servers/" + server.name, ModelServerEntry(kModel, server.link->Port(), "kariakoo"));
  }
  store.Put("op/config", ConfigurationWithModel(1, {{"bed-query", "streaming", kModel, true}},
                                                {kModel}, kModel));
  const std::vector<std::uint16_t> peers = {FreePort(), FreePort()};
  Instance one("edge-kariakoo-1", scratch, store.Port(), peers, peers[0]);
  Instance other("edge-kariakoo-2", scratch, store.Port(), peers, peers[1]);
  one.Start();
  other.Start();
  if (!one.WaitUntilReady(milliseconds(8'000)) || !other.WaitUntilReady(milliseconds(8'000))) {
    record.Line("the processes did not become ready");
    return kExitCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3'000));
  Counts counts;
  std::atomic<bool> goes_on{true};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      std::this_thread::sleep_for(kBetweenStarts * number);
      while (goes_on) {
        SendStream((number % 2 == 0 ? one : other).CallersPort(), record, counts);
      }
    });
  }
  HoldLinks(servers, has_trouble, record);
  goes_on = false;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary = fmt::format(
      "requests {}, whole answers {}, answers with the signature of a server that made "
      "nothing of their body {}",
      counts.sent.load(), counts.whole.load(), counts.foreign.load());
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  if (counts.whole == 0) {
    return kExitCouldNotRun;
  }
  return counts.foreign > 0 ? kExitBroken : kExitHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    return review::kExitCouldNotRun;
  }
  try {
    return review::RunCase(argv[1], argv[2], std::atoi(argv[3]) != 0);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "%s\n", exception.what());
    return review::kExitCouldNotRun;
  }
}
