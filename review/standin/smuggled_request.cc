// Case: a request whose body is framed by a transfer coding other than chunks, and holds a request.
#include <fmt/format.h>

#include <cstdlib>

#include "review/standin/deployment.h"

namespace review {
namespace {

using zinnia::platform::soak::HttpServer;
using zinnia::platform::soak::MakeResponse;
using zinnia::platform::soak::StoreStandin;
using zinnia::platform::soak::ToBytes;

constexpr const char* kService = "booking-core";
constexpr int kDeadlineMs = 1'500;
constexpr int kRequests = 5;

/** What a server has run. */
struct Run {
  std::string id;
  std::string target;
  std::string body;
};

class Runs {
 public:
  void Add(Run run) {
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
  }
  std::vector<Run> All() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

 private:
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

bool Serve(const Request& request, Socket& socket, const std::string& name, Runs& runs) {
  const std::string id(request["Zinniastage-Attempt-Id"]);
  if (id.empty()) {
    return socket.Write(ToBytes(MakeResponse(200, "{}")));
  }
  runs.Add({id, std::string(request.target()), request.body()});
  std::this_thread::sleep_for(milliseconds(30));
  auto response = MakeResponse(200, std::string(800, 'x'));
  response.set("Zinniastage-Attempt-Id", id);
  response.set("Zinniastage-Response-Signature", "s." + name + "." + id);
  return socket.Write(ToBytes(response));
}

int RunCase(const std::string& folder, const std::string& scratch, bool has_trouble) {
  Record record(folder + "/record.txt");
  Runs runs;
  StoreStandin store;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (int number = 0; number < 3; ++number) {
    const std::string name = "i-" + NewId();
    servers.push_back(
        std::make_unique<HttpServer>([&runs, name](const Request& request, Socket& socket) {
          return Serve(request, socket, name, runs);
        }));
    store.Put("servers/" + name, ServerEntry(kService, servers.back()->Port(), 6, false));
  }
  store.Put("op/config", Configuration(1, {{"bed-hold", "non_idempotent", kService}}, {kService}));
  const std::vector<std::uint16_t> peers = {FreePort(), FreePort()};
  Instance first("edge-kariakoo-1", scratch, store.Port(), peers, peers[0]);
  Instance second("edge-kariakoo-2", scratch, store.Port(), peers, peers[1]);
  first.Start();
  second.Start();
  if (!first.WaitUntilReady(milliseconds(8'000)) || !second.WaitUntilReady(milliseconds(8'000))) {
    record.Line("the processes did not become ready");
    return kExitCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3'500));  // In touch.
  std::map<std::string, std::string> sent;           // The ids that clients sent, and their bodies.
  int answered = 0;
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = NewId();
    const std::string inner_id = NewId();
    const std::string body =
        RequestBytes("POST", "/bed-hold/inner", inner_id, kDeadlineMs, "second");
    const std::string framing = has_trouble
                                    ? std::string("Transfer-Encoding: gzip\r\n")
                                    : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sent[id] = body;
    record.Line(fmt::format("client sends {} with {}; its body holds the text of a request {}", id,
                            framing.substr(0, framing.size() - 2), inner_id));
    Client client((number % 2 == 0 ? first : second).CallersPort());
    client.Connect();
    const Outcome outcome =
        client.Call(RequestBytes("POST", "/bed-hold/outer", id, kDeadlineMs, "", framing) + body,
                    milliseconds(kDeadlineMs));
    answered += outcome.status == 200 ? 1 : 0;
    record.Line("client got status " + std::to_string(outcome.status) + " for " + id);
    std::this_thread::sleep_for(milliseconds(300));
  }
  int unasked = 0;
  int changed = 0;
  for (const Run& run : runs.All()) {
    const auto found = sent.find(run.id);
    const bool is_unasked = found == sent.end();
    const bool is_changed = !is_unasked && run.body != found->second;
    unasked += is_unasked ? 1 : 0;
    changed += is_changed ? 1 : 0;
    record.Line("server ran " + run.id + " " + run.target + ", body of " +
                std::to_string(run.body.size()) + " bytes" +
                (is_unasked ? ": UNASKED, no client sent this id" : "") +
                (is_changed ? ": UNASKED, its body was changed" : ""));
  }
  const std::string summary = "requests sent " + std::to_string(kRequests) +
                              ", answered with 200 " + std::to_string(answered) +
                              ", run that no client sent " + std::to_string(unasked) +
                              ", run with another body " + std::to_string(changed);
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  if (!has_trouble && answered < kRequests) {
    return kExitCouldNotRun;
  }
  return unasked + changed > 0 ? kExitBroken : kExitHeld;
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
