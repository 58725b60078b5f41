#include "fleet_fixture.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <stdexcept>

#include "free_port.h"
#include "polling.h"
#include "zinnia_adapters/callers/key_digest.h"

namespace zinnia::testing {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

constexpr int kLayersOfAStage = 4;
constexpr std::chrono::seconds kCallBound = 30s;
constexpr const char* kOperatorKey = "operators-key-of-this-test-fleet";
constexpr std::array kDomains = {"kariakoo", "msasani", "ubungo"};

std::string KeyOf(const std::string& organisation) {
  return organisation + "-key-of-callers";
}

std::string ServerEntry(const std::string& name,
                        const std::string& address,
                        const char* failure_domain,
                        const char* pool,
                        std::uint64_t incarnation,
                        bool leaving) {
  return fmt::format(
      R"({{"name":"{}","address":"{}","failure_domain":"{}","accelerator":"large","pool":"{}",)"
      R"("incarnation":{},"checks_fencing":false,"leaving":{}}})",
      name, address, failure_domain, pool, incarnation, leaving);
}

std::string NewFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "zinnia_fleet_XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder: give TMPDIR a folder that can be written to");
  }
  return name;
}

json::array LedgerRows(const Fleet::Engine& engine) {
  HttpClient client(engine.address);
  client.SetTimeout(kCallBound);
  const HttpAnswer answer = client.Get("/control/ledger");
  return answer.whole ? answer.Json().at("rows").as_array() : json::array();
}

void ReadIncarnation(Fleet::Engine& engine) {
  const json::value state = HttpClient(engine.address).Get("/v1/state").Json();
  engine.incarnation = state.at("incarnation").to_number<std::uint64_t>();
}

bool Answers(const Fleet::Engine& engine) {
  HttpClient client(engine.address);
  client.SetTimeout(1s);
  return client.Get("/control/counts").whole;
}

}  // namespace

Fleet::Fleet(FleetOptions options) : m_options(std::move(options)), m_folder(NewFolder()) {
  StartStandins();
  PublishList();
  WriteSecrets();
  for (std::size_t number = 0; number < m_options.instances; ++number) {
    AddInstance();
  }
  Configure();
  for (std::size_t number = 0; number < m_entries.size(); ++number) {
    if (!WaitUntilReady(number)) {
      throw std::runtime_error("an instance does not serve: " +
                               m_entries[number].process->StandardError());
    }
  }
  WaitUntilMet();
}

// Until instances have heard of each other, none can tell another of a crash or a leaving server.
void Fleet::WaitUntilMet() const {
  for (std::size_t number = 0; number < m_entries.size(); ++number) {
    const auto knows_all = [&] {
      return Column(number, "instances", "instance").size() == m_entries.size();
    };
    if (!Eventually(knows_all)) {
      throw std::runtime_error("instances did not find each other: " +
                               m_entries[number].process->StandardError());
    }
  }
}

Fleet::~Fleet() {
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void Fleet::StartStandins() {
  m_store = m_harness.StartStandin("store").address;
  m_list = m_harness.StartStandin("list").address;
  m_service = m_harness.StartStandin("service").address;
  for (std::size_t stage = 0; stage < m_options.stages; ++stage) {
    for (std::size_t replica = 0; replica < m_options.replicas; ++replica) {
      m_engines.push_back({fmt::format("stage{}{}", stage, static_cast<char>('a' + replica)), stage,
                           &StartEngine(stage, "0"), ""});
    }
  }
  for (Engine& engine : m_engines) {
    engine.address = engine.process->WaitForValue("listening");
    ReadIncarnation(engine);
  }
}

ChildProcess& Fleet::StartEngine(std::size_t stage, const std::string& port) {
  return m_harness.Start(
      "standins/zinnia_standin",
      {"engine", "--port", port, "--model", "msaidizi", "--first-layer",
       std::to_string(stage * kLayersOfAStage), "--end-layer",
       std::to_string((stage + 1) * kLayersOfAStage), "--step-us",
       std::to_string(m_options.step_us), "--answer-tokens",
       std::to_string(m_options.answer_tokens), "--crash-on", m_options.crash_on});
}

void Fleet::RestartEngine(Engine& engine) {
  engine.process->WaitForEnd(kCallBound);
  engine.process = &StartEngine(engine.stage, engine.address.substr(engine.address.rfind(':') + 1));
  engine.process->WaitForValue("listening");
  ReadIncarnation(engine);
  PublishList();
}

void Fleet::PublishList(const std::set<std::string>& leaving) const {
  std::vector<std::string> servers;
  for (const Engine& engine : m_engines) {
    servers.push_back(ServerEntry(engine.name, engine.address,
                                  kDomains.at(engine.stage % kDomains.size()), "language",
                                  engine.incarnation, leaving.contains(engine.name)));
  }
  servers.push_back(ServerEntry("ledger", m_service, kDomains.front(), "ledger", 1, false));
  Control(m_list,
          fmt::format(R"({{"list":{{"servers":[{}],"instances":[]}}}})", fmt::join(servers, ",")));
}

int Fleet::CallsOf(const std::string& address, const std::string& path) {
  const json::value counts = HttpClient(address).Get("/control/counts").Json();
  const json::value* calls = counts.as_object().if_contains(path);
  return calls == nullptr ? 0 : calls->to_number<int>();
}

void Fleet::Control(const std::string& address, const std::string& settings) {
  if (HttpClient(address).Post("/control", settings).status != 200) {
    throw std::runtime_error("a stand-in did not take " + settings);
  }
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) const {
  std::string path = (m_folder / name).string();
  std::ofstream(path) << text;
  return path;
}

void Fleet::WriteSecrets() {
  WriteFile("cluster.secret", "secret-that-all-instances-of-this-fleet-share");
  WriteFile("resume.secret", "secret-that-signs-the-resume-tokens-of-this-fleet");
  WriteFile("operator.key", kOperatorKey);
}

std::size_t Fleet::AddInstance() {
  const std::size_t number = m_entries.size();
  const auto address = [] { return fmt::format("127.0.0.1:{}", FreePort()); };
  m_entries.push_back(
      {fmt::format("entry{}", number), address(), address(), address(), {}, nullptr});
  WriteSettings(number);
  StartInstance(number);
  return number;
}

void Fleet::WriteSettings(std::size_t number) {
  std::vector<std::string> seeds;
  for (std::size_t other = 0; other < number; ++other) {
    seeds.push_back('"' + m_entries[other].peers + '"');
  }
  Entry& entry = m_entries[number];
  const auto file = [this](const char* name) { return (m_folder / name).string(); };
  entry.settings_file = WriteFile(
      entry.name + ".json",
      fmt::format(
          R"({{"instance":"{}","region":"pwani","failure_domain":"{}","callers_address":"{}",)"
          R"("operators_address":"{}","peer_address":"{}","store_addresses":["{}"],)"
          R"("instance_list_address":"{}","seeds":[{}],"traffic_threads":1,)"
          R"("cluster_secret_file":"{}","resume_secret_file":"{}","operator_key_file":"{}"}})",
          entry.name, kDomains.at(number % kDomains.size()), entry.callers, entry.operators,
          entry.peers, m_store, m_list, fmt::join(seeds, ","), file("cluster.secret"),
          file("resume.secret"), file("operator.key")));
}

void Fleet::StartInstance(std::size_t number) {
  Entry& entry = m_entries.at(number);
  entry.process =
      &m_harness.Start("packages/zinnia_apps/zinniad", {"--settings", entry.settings_file});
}

void Fleet::Configure() {
  Eventually([&] { return HttpClient(m_entries[0].operators).Get("/healthz").status == 200; });
  std::vector<std::string> commands;
  for (const std::string& organisation : m_options.organisations) {
    commands.push_back(fmt::format(R"(put organisation/{} = {{"key_digests":["{}"],"weight":1}})",
                                   organisation, DigestOfKey(KeyOf(organisation))));
  }
  commands.push_back(
      fmt::format(R"(put model/msaidizi = {{"version":"1","layers":{},"max_tokens":1000}})",
                  m_options.stages * kLayersOfAStage));
  std::vector<std::string> stages;
  for (std::size_t stage = 0; stage < m_options.stages; ++stage) {
    std::vector<std::string> replicas;
    for (const Engine& engine : m_engines) {
      if (engine.stage == stage) {
        replicas.push_back('"' + engine.name + '"');
      }
    }
    stages.push_back(fmt::format(R"({{"first_layer":{},"end_layer":{},"replicas":[{}]}})",
                                 stage * kLayersOfAStage, (stage + 1) * kLayersOfAStage,
                                 fmt::join(replicas, ",")));
  }
  commands.push_back(
      fmt::format(R"(put pipeline/lugha = {{"model":"msaidizi","version":"1","stages":[{}]}})",
                  fmt::join(stages, ",")));
  commands.emplace_back(R"(put service/ledger = {"path_prefix":"/bookings","servers":["ledger"],)"
                        R"("requires_idempotency_key":true})");
  for (const std::string& command : commands) {
    HttpAnswer answer;
    if (!Eventually([&] { return (answer = Change(0, command)).status == 200; })) {
      throw std::runtime_error("not configured: " + command + ": " + answer.body);
    }
  }
}

bool Fleet::WaitUntilReady(std::size_t number) const {
  return Eventually([&] {
    return HttpClient(m_entries.at(number).callers).Get("/ready").status == 200 &&
           Revision(number) >= Revision(0) &&
           Column(number, "pipelines", "name") == std::vector<std::string>{"lugha"} &&
           Chat(number, {.prompt = "Hujambo", .max_tokens = 1}).done;
  });
}

std::unique_ptr<HttpClient> Fleet::Caller(std::size_t instance,
                                          const std::string& organisation) const {
  auto client = std::make_unique<HttpClient>(m_entries.at(instance).callers);
  client->SetTimeout(kCallBound);
  client->SetHeader("Authorization", "Bearer " + KeyOf(organisation));
  client->SetHeader("Content-Type", "application/json");
  return client;
}

StreamedAnswer Fleet::Chat(std::size_t instance, const ChatCall& call) const {
  const auto client = Caller(instance, call.organisation);
  if (!call.last_event_id.empty()) {
    client->SetHeader("Last-Event-ID", call.last_event_id);
  }
  if (call.deadline_ms) {
    client->SetHeader("Zinnia-Deadline-Ms", std::to_string(*call.deadline_ms));
  }
  json::object body = {
      {"model", call.model},
      {"stream", true},
      {"seed", call.seed},
      {"stream_options", {{"include_usage", true}}},
      {"messages", json::array{json::object{{"role", "user"}, {"content", call.prompt}}}}};
  if (call.max_tokens) {
    body["max_tokens"] = *call.max_tokens;
  }
  std::function<bool(const std::string&)> on_body;
  if (call.on_progress) {
    on_body = [&call](const std::string& text) {
      return call.on_progress(StreamedAnswer::Read({.status = 200, .body = text}));
    };
  }
  return StreamedAnswer::Read(
      client->PostStream("/v1/chat/completions", json::serialize(body), std::move(on_body)));
}

HttpAnswer Fleet::Book(std::size_t instance,
                       const std::string& key,
                       const std::string& body,
                       const std::string& organisation) const {
  const auto client = Caller(instance, organisation);
  client->SetHeader("Idempotency-Key", key);
  return client->Post("/bookings", body);
}

int Fleet::Bookings() const {
  return HttpClient(m_service).Get("/bookings/count").Json().at("count").to_number<int>();
}

int Fleet::BookingsWith(const std::string& body) const {
  int count = 0;
  const json::value ledger = HttpClient(m_service).Get("/bookings/ledger").Json();
  for (const json::value& row : ledger.at("rows").as_array()) {
    count += row.at("body").as_string() == body ? row.at("count").to_number<int>() : 0;
  }
  return count;
}

HttpAnswer Fleet::Command(std::size_t instance, const std::string& command) const {
  HttpClient client(m_entries.at(instance).operators);
  client.SetTimeout(kCallBound);
  client.SetHeader("Authorization", std::string("Bearer ") + kOperatorKey);
  return client.Post("/v1/commands",
                     json::serialize(json::object{{"command", command}, {"format", "json"}}));
}

HttpAnswer Fleet::Change(std::size_t instance, const std::string& command) const {
  return Command(instance, fmt::format("{} against {}", command, Revision(instance)));
}

std::int64_t Fleet::Revision(std::size_t instance) const {
  HttpClient client(m_entries.at(instance).operators);
  client.SetHeader("Authorization", std::string("Bearer ") + kOperatorKey);
  const HttpAnswer answer = client.Get("/v1/revision");
  return answer.status == 200 ? answer.Json().at("revision").to_number<std::int64_t>() : -1;
}

std::vector<std::string> Fleet::Column(std::size_t instance,
                                       const std::string& table,
                                       const std::string& column) const {
  std::vector<std::string> cells;
  const HttpAnswer answer = Command(instance, "show " + table);
  if (answer.status != 200) {
    return cells;
  }
  const json::value rows = answer.Json();
  for (const json::value& row : rows.at("rows").as_array()) {
    const json::value& cell = row.at(column);
    cells.push_back(cell.is_string() ? std::string(cell.as_string()) : json::serialize(cell));
  }
  return cells;
}

std::vector<Fleet::Engine*> Fleet::EnginesOf(const std::string& session) {
  std::vector<Engine*> engines;
  for (Engine& engine : m_engines) {
    if (Answers(engine) && std::ranges::any_of(LedgerRows(engine), [&](const json::value& row) {
          return row.at("session").as_string() == session;
        })) {
      engines.push_back(&engine);
    }
  }
  return engines;
}

std::string Fleet::LedgerFaults(const std::string& session, std::size_t length) {
  std::string faults;
  std::vector<std::set<std::size_t>> positions_run(m_options.stages);
  std::set<std::size_t> incomplete_stages;
  std::map<std::string, int> runs;
  for (const Engine& engine : m_engines) {
    if (!Answers(engine)) {
      incomplete_stages.insert(engine.stage);
      continue;
    }
    for (const json::value& row : LedgerRows(engine)) {
      if (row.at("session").as_string() != session) {
        continue;
      }
      const auto position = row.at("position").to_number<std::size_t>();
      positions_run[engine.stage].insert(position);
      runs[fmt::format("stage {}, attempt {}, position {}", engine.stage,
                       row.at("attempt").to_number<int>(), position)] +=
          row.at("count").to_number<int>();
    }
  }
  for (const auto& [step, count] : runs) {
    faults += count == 1 ? "" : fmt::format("{} ran {} times\n", step, count);
  }
  for (std::size_t stage = 0; stage < m_options.stages; ++stage) {
    for (std::size_t position = 0; position < length && !incomplete_stages.contains(stage);
         ++position) {
      if (!positions_run[stage].contains(position)) {
        faults += fmt::format("stage {} never ran position {}\n", stage, position);
      }
    }
  }
  return faults;
}

std::string Fleet::WholeLedger() const {
  std::string text;
  for (const Engine& engine : m_engines) {
    if (Answers(engine)) {
      text += engine.name + ":" + json::serialize(LedgerRows(engine)) + "\n";
    }
  }
  return text;
}

}  // namespace zinnia::testing
