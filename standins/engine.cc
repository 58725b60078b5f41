#include "engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace zinnia::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kParsedBytesPerBodyByte = 4;

std::uint64_t IncarnationNow() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

json::value ToJson(const std::optional<Loaded>& loaded) {
  if (!loaded) {
    return nullptr;
  }
  return {{"model", loaded->model},
          {"version", loaded->version},
          {"first_layer", loaded->layers.first},
          {"end_layer", loaded->layers.end}};
}

std::uint32_t HighestPriority(const json::array& steps) {
  std::uint32_t highest = 0;
  for (const json::value& step : steps) {
    std::uint32_t priority = 0;
    ReadNumber(step.as_object(), "priority", priority);
    highest = std::max(highest, priority);
  }
  return highest;
}

/** The answer to a step that wasn't run. */
std::string Refusal(const json::value& step, std::string_view status) {
  std::uint32_t attempt = 0;
  ReadNumber(step.as_object(), "attempt", attempt);
  return fmt::format(R"({{"status":"{}","attempt":{},"length":0,"prompt_tokens":0,"states":[],)"
                     R"("token":null}})",
                     status, attempt);
}

}  // namespace

Engine::Engine(asio::io_context& context, EngineSettings settings)
    : m_settings(std::move(settings)),
      m_runner(m_settings.steps),
      m_loader(context, m_settings.loader, m_runner),
      m_timer(context),
      m_incarnation(IncarnationNow()) {
  m_runner.Load(m_settings.loaded);
}

void Engine::Handle(Call call, Reply reply) {
  if (call.path == "/v1/steps") {
    TakeBatch(call.body, std::move(reply));
  } else if (call.path == "/v1/state") {
    reply(200, State());
  } else if (call.path == "/v1/orders") {
    m_loader.Order(json::parse(call.body).as_object(), reply);
  } else if (call.path == "/v1/cache/events") {
    const std::size_t equals = call.query.find("after=");
    reply(200, m_runner.PrefixEvents(
                   equals == std::string::npos ? 0 : std::stoull(call.query.substr(equals + 6))));
  } else if (call.path == "/control/ledger") {
    reply(200, m_runner.Ledger());
  } else {
    HandleSessions(call, reply);
  }
}

void Engine::Control(const json::object& settings) {
  std::int64_t milliseconds = m_load_lag.count();
  ReadNumber(settings, "load_lag_ms", milliseconds);
  m_load_lag = std::chrono::milliseconds(milliseconds);
  if (settings.contains("step_ms")) {
    ReadNumber(settings, "step_ms", milliseconds);
    m_settings.batch_time = std::chrono::milliseconds(milliseconds);
  }
  if (const json::value* leaving = settings.if_contains("leaving")) {
    m_runner.SetLeaving(leaving->as_bool());
  }
  if (const json::value* text = settings.if_contains("crash_on")) {
    m_runner.SetCrashOn(std::string(text->as_string()));
  }
  if (const json::value* truncate = settings.if_contains("truncate_next_export")) {
    m_truncate_next_export = truncate->as_bool();
  }
  if (const json::value* drop = settings.if_contains("drop_caches"); drop && drop->as_bool()) {
    m_runner.DropCaches();
  }
}

void Engine::TakeBatch(const std::string& body, Reply reply) {
  Batch batch{
      .memory = std::make_unique<json::monotonic_resource>(body.size() * kParsedBytesPerBodyByte),
      .reply = std::move(reply)};
  batch.body = json::parse(body, batch.memory.get());
  const json::array& steps = batch.body.at("steps").as_array();
  batch.steps = steps.size();
  if (m_queued_steps + batch.steps > m_settings.longest_queue) {
    RefuseAll(batch, "overloaded");
    return;
  }
  m_queued_steps += batch.steps;
  m_queue.emplace(HighestPriority(steps), std::move(batch));
  NoteLoad();
  if (!m_running) {
    StartNext(std::chrono::steady_clock::now());
  }
}

void Engine::StartNext(TimePoint start) {
  if (m_queue.empty()) {
    return;
  }
  m_running = std::move(m_queue.extract(m_queue.begin()).mapped());
  m_queued_steps -= m_running->steps;
  NoteLoad();
  std::string answers;
  std::uint64_t prefill_positions = 0;
  for (const json::value& step : m_running->body.at("steps").as_array()) {
    answers.append(answers.empty() ? "" : ",");
    try {
      m_runner.Run(step.as_object(), answers, prefill_positions);
    } catch (const std::exception&) {
      answers.append(Refusal(step, "rejected"));  // thrown before anything was appended
    }
  }
  const TimePoint end =
      start + m_settings.batch_time + m_settings.position_time * prefill_positions;
  auto finish = [this, end, answers = std::move(answers)](boost::system::error_code) {
    const Reply reply = std::move(m_running->reply);
    m_running.reset();
    NoteLoad();
    reply(200, fmt::format(R"({{"load":{},"answers":[{}]}})", Load(), answers));
    StartNext(end);
  };
  m_timer.expires_at(end);
  m_timer.async_wait(std::move(finish));
}

void Engine::RefuseAll(const Batch& batch, std::string_view status) const {
  std::string answers;
  for (const json::value& step : batch.body.at("steps").as_array()) {
    answers.append(answers.empty() ? "" : ",").append(Refusal(step, status));
  }
  batch.reply(200, fmt::format(R"({{"load":{},"answers":[{}]}})", Load(), answers));
}

void Engine::HandleSessions(const Call& call, const Reply& reply) {
  const json::value parsed = json::parse(call.body);
  const json::object& body = parsed.as_object();
  const std::string_view session = body.at("session").as_string();
  std::uint32_t attempt = 0;
  ReadNumber(body, "attempt", attempt);
  if (call.path == "/v1/sessions/find") {
    const auto found = m_runner.Find(session);
    reply(found ? 200 : 404, found.value_or(ErrorBody("unknown_session")));
  } else if (call.path == "/v1/sessions/release") {
    m_runner.Release(session, attempt);
    reply(200, "{}");
  } else if (call.path == "/v1/cache/export") {
    const auto exported =
        m_runner.Export(session, attempt, std::exchange(m_truncate_next_export, false));
    reply(exported ? 200 : 404, exported.value_or(ErrorBody("unknown_session")));
  } else if (call.path == "/v1/cache/import") {
    const auto length = m_runner.Import(body);
    reply(length ? 200 : 422, length ? fmt::format(R"({{"length":{}}})", *length)
                                     : ErrorBody("broken_blob", "nothing was kept"));
  } else {
    reply(404, ErrorBody("unknown_path", call.path));
  }
}

std::string Engine::State() const {
  json::object state = {{"model", nullptr},
                        {"version", nullptr},
                        {"first_layer", 0},
                        {"end_layer", 0},
                        {"loading", ToJson(m_loader.Loading())},
                        {"leaving", m_runner.IsLeaving()},
                        {"checks_fencing", m_loader.ChecksFencing()},
                        {"highest_epoch", m_loader.HighestEpoch()},
                        {"incarnation", m_incarnation},
                        {"load", json::parse(Load())}};
  if (m_runner.Held()) {
    const json::value held = ToJson(m_runner.Held());
    for (const auto& [name, value] : held.as_object()) {
      state[name] = value;
    }
  }
  return json::serialize(state);
}

void Engine::NoteLoad() {
  const TimePoint now = std::chrono::steady_clock::now();
  m_load_reports.push_back({now, m_running ? m_running->steps : 0, m_queued_steps});
  while (m_load_reports.size() > 1 && m_load_reports[1].at <= now - m_load_lag) {
    m_load_reports.pop_front();
  }
}

std::string Engine::Load() const {
  const TimePoint newest = std::chrono::steady_clock::now() - m_load_lag;
  LoadReport report;
  for (const LoadReport& candidate : m_load_reports) {
    if (candidate.at > newest) {
      break;
    }
    report = candidate;
  }
  return fmt::format(R"({{"running":{},"queued":{}}})", report.running, report.queued);
}

}  // namespace zinnia::standins
