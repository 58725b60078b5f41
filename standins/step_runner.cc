#include "step_runner.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdlib>
#include <iterator>
#include <utility>

#include "standin.h"
#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view kDone = "done";
constexpr std::string_view kWrongLength = "wrong_length";
constexpr std::string_view kUnknownSession = "unknown_session";
constexpr std::string_view kNotLoaded = "not_loaded";
constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kRejected = "rejected";

constexpr std::size_t kHashDigits = 16;
constexpr std::size_t kCountDigits = 8;

std::string_view TextIn(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? std::string_view() : std::string_view(value->as_string());
}

template <typename Number>
Number NumberIn(const json::object& object, std::string_view name) {
  Number number = 0;
  ReadNumber(object, name, number);
  return number;
}

std::vector<std::string_view> WordsOf(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  std::vector<std::string_view> words;
  std::size_t start = text.find_first_not_of(kSpace);
  while (start != std::string_view::npos) {
    const std::size_t end = std::min(text.find_first_of(kSpace, start), text.size());
    words.push_back(text.substr(start, end - start));
    start = text.find_first_not_of(kSpace, end);
  }
  return words;
}

template <typename Number>
bool ReadHex(std::string_view digits, Number& number) {
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return error == std::errc() && end == digits.data() + digits.size();
}

std::optional<HiddenState> ReadState(std::string_view text) {
  HiddenState state;
  if (text.size() < kHashDigits + kCountDigits ||
      !ReadHex(text.substr(0, kHashDigits), state.hash) ||
      !ReadHex(text.substr(kHashDigits, kCountDigits), state.prompt_tokens) ||
      state.prompt_tokens == 0) {
    return std::nullopt;
  }
  return state;
}

}  // namespace

/** One step, with views into the parsed body. */
struct StepRunner::Step {
  std::string_view session;
  std::uint32_t attempt = 0;
  std::uint32_t position = 0;
  Layers layers;
  std::uint64_t seed = 0;
  bool sample = false;
  std::string_view version;
  std::string_view prompt;
  const json::array* tokens = nullptr;
  const json::array* states = nullptr;
  const json::object* adopt = nullptr;

  explicit Step(const json::object& body)
      : session(body.at("session").as_string()),
        attempt(body.at("attempt").to_number<std::uint32_t>()),
        position(body.at("position").to_number<std::uint32_t>()),
        layers{body.at("first_layer").to_number<std::uint32_t>(),
               body.at("end_layer").to_number<std::uint32_t>()},
        seed(NumberIn<std::uint64_t>(body, "seed")),
        version(body.at("version").as_string()),
        prompt(TextIn(body, "prompt")) {
    const json::value* value = body.if_contains("sample");
    sample = value != nullptr && value->as_bool();
    value = body.if_contains("tokens");
    tokens = value != nullptr ? value->if_array() : nullptr;
    value = body.if_contains("states");
    states = value != nullptr ? value->if_array() : nullptr;
    value = body.if_contains("adopt");
    adopt = value != nullptr ? value->if_object() : nullptr;
  }
};

StepRunner::StepRunner(StepSettings settings)
    : m_settings(std::move(settings)), m_prefixes(m_settings.prefix_blocks, m_settings.event_lag) {}

void StepRunner::Load(std::optional<Loaded> loaded) {
  m_loaded = std::move(loaded);
  DropCaches();
  m_prefixes = PrefixCache(m_settings.prefix_blocks, m_settings.event_lag);
  if (m_loaded) {
    m_model = LanguageModel(m_loaded->model, m_loaded->version);
    m_model_hash = Hash64(m_loaded->model, Hash64(m_loaded->version));
  }
}

void StepRunner::Run(const json::object& body, std::string& out, std::uint64_t& prefill_positions) {
  const Step step(body);
  if (!m_settings.crash_on.empty() &&
      step.prompt.find(m_settings.crash_on) != std::string_view::npos) {
    std::abort();
  }
  auto found = m_sessions.find(step.session);
  if (found == m_sessions.end()) {
    found = m_sessions.emplace(step.session, Session()).first;
  }
  Session& session = found->second;
  AttemptCache* cache = nullptr;
  std::string_view status = Prepare(step, session, cache);
  std::uint32_t first_new = 0;
  if (status == kDone) {
    first_new = cache->Length();
    const auto inputs = InputsOf(step, *cache, prefill_positions);
    if (!inputs) {
      WriteAnswer(step, kRejected, cache, first_new, out);
      return;
    }
    cache->samples = cache->samples || step.sample;
    cache->seed = step.seed;
    for (const std::uint64_t input : *inputs) {
      m_model.Run(step.layers, input, cache->rows);
    }
    session.CountRun(step.attempt, step.layers, first_new, inputs->size());
  }
  WriteAnswer(step, status, cache, first_new, out);
}

std::string_view StepRunner::Prepare(const Step& step, Session& session, AttemptCache*& cache) {
  if (!m_loaded || m_loaded->version != step.version ||
      step.layers.first < m_loaded->layers.first || step.layers.end > m_loaded->layers.end ||
      step.layers.first >= step.layers.end) {
    return kNotLoaded;
  }
  if (step.attempt < session.released_below) {
    return kUnknownSession;
  }
  cache = session.Find(step.attempt);
  if (cache == nullptr && step.adopt != nullptr) {
    const std::string_view status = Adopt(step, session, cache);
    if (status != kDone) {
      return status;
    }
  }
  if (cache == nullptr) {
    if (step.position > 0) {
      return kUnknownSession;
    }
    if (m_leaving) {
      return kLeaving;
    }
    cache = &session.Add({.attempt = step.attempt, .layers = step.layers});
  }
  if (cache->layers != step.layers) {
    return kRejected;
  }
  return cache->Length() == step.position ? kDone : kWrongLength;
}

std::string_view StepRunner::Adopt(const Step& step, Session& session, AttemptCache*& cache) {
  const auto attempt = step.adopt->at("attempt").to_number<std::uint32_t>();
  const auto length = step.adopt->at("length").to_number<std::uint32_t>();
  if (attempt >= step.attempt) {
    return kRejected;
  }
  const AttemptCache* older = session.Find(attempt);
  if (older == nullptr) {
    return kUnknownSession;
  }
  if (older->Length() < length) {
    return kWrongLength;
  }
  AttemptCache adopted = *older;
  adopted.attempt = step.attempt;
  adopted.CutTo(length);
  cache = &session.Add(std::move(adopted));
  return kDone;
}

std::optional<std::vector<std::uint64_t>> StepRunner::InputsOf(const Step& step,
                                                               AttemptCache& cache,
                                                               std::uint64_t& prefill_positions) {
  std::vector<std::uint64_t> inputs;
  if (step.layers.first > 0 && step.states != nullptr) {
    for (const json::value& text : *step.states) {
      const auto state = ReadState(text.as_string());
      if (!state) {
        return std::nullopt;
      }
      cache.prompt_tokens = state->prompt_tokens;
      inputs.push_back(state->hash);
    }
  }
  if (step.layers.first == 0 && step.prompt.empty() != (step.position > 0)) {
    return std::nullopt;
  }
  if (step.layers.first == 0 && step.position == 0) {
    inputs = EmbedPrompt(step.prompt, cache, prefill_positions);
    if (inputs.empty()) {
      return std::nullopt;
    }
  }
  if (step.layers.first == 0 && step.tokens != nullptr) {
    for (const json::value& token : *step.tokens) {
      cache.tokens.push_back(token.to_number<std::uint32_t>());
      inputs.push_back(m_model.EmbedToken(cache.tokens.back()));
    }
  }
  if (inputs.empty()) {
    return std::nullopt;
  }
  prefill_positions += inputs.size() > 1 ? inputs.size() : 0;
  return inputs;
}

std::vector<std::uint64_t> StepRunner::EmbedPrompt(std::string_view prompt,
                                                   AttemptCache& cache,
                                                   std::uint64_t& prefill_positions) {
  const std::vector<std::string_view> words = WordsOf(prompt);
  cache.prompt_tokens = static_cast<std::uint32_t>(words.size());
  prefill_positions -= m_prefixes.Use(words);
  std::vector<std::uint64_t> inputs;
  inputs.reserve(words.size());
  for (const std::string_view word : words) {
    inputs.push_back(m_model.EmbedWord(word));
  }
  return inputs;
}

void StepRunner::WriteAnswer(const Step& step,
                             std::string_view status,
                             const AttemptCache* cache,
                             std::uint32_t first_new,
                             std::string& out) const {
  const std::uint32_t length = cache == nullptr ? 0 : cache->Length();
  const std::uint32_t prompt_tokens = cache == nullptr ? 0 : cache->prompt_tokens;
  auto to = std::back_inserter(out);
  fmt::format_to(to, R"({{"status":"{}","attempt":{},"length":{},"prompt_tokens":{},"states":[)",
                 status, step.attempt, length, prompt_tokens);
  if (status == kDone && !step.sample) {
    for (std::uint32_t position = first_new; position < length; ++position) {
      fmt::format_to(to, R"({}"{:016x}{:08x})", position == first_new ? "" : ",",
                     cache->OutputAt(position), prompt_tokens);
      const std::size_t digits = kHashDigits + kCountDigits;
      out.append(m_settings.state_bytes - std::min(digits, m_settings.state_bytes), '0')
          .append("\"");
    }
  }
  out.append(R"(],"token":)");
  if (status == kDone && step.sample && length >= prompt_tokens) {
    WriteToken(*cache, length - prompt_tokens, out);
  } else {
    out.append("null");
  }
  out.append("}");
}

void StepRunner::WriteToken(const AttemptCache& cache,
                            std::uint32_t index,
                            std::string& out) const {
  const std::uint32_t token = cache.samples ? TokenAt(cache, index) : cache.tokens[index];
  const std::string text = cache.samples ? LanguageModel::TextOf(token, index) : "";
  fmt::format_to(std::back_inserter(out), R"({{"id":{},"text":"{}","end":{}}})", token, text,
                 token == LanguageModel::kEndToken);
}

std::uint32_t StepRunner::TokenAt(const AttemptCache& cache, std::uint32_t index) const {
  const std::uint32_t last_of_prompt = cache.prompt_tokens - 1;
  const std::uint32_t answer_tokens =
      m_settings.answer_tokens > 0
          ? m_settings.answer_tokens
          : LanguageModel::AnswerTokens(cache.OutputAt(last_of_prompt), cache.seed);
  return m_model.Sample(cache.OutputAt(last_of_prompt + index), cache.seed, index, answer_tokens);
}

std::optional<std::string> StepRunner::Find(std::string_view session) const {
  const auto found = m_sessions.find(session);
  const AttemptCache* cache = found == m_sessions.end() ? nullptr : found->second.Highest();
  if (cache == nullptr) {
    return std::nullopt;
  }
  std::string out = fmt::format(R"({{"attempt":{},"length":{},"prompt_tokens":{},"tokens":[)",
                                cache->attempt, cache->Length(), cache->prompt_tokens);
  std::size_t count = cache->tokens.size();
  if (cache->samples) {
    count = cache->Length() < cache->prompt_tokens ? 0 : cache->Length() - cache->prompt_tokens + 1;
  }
  for (std::uint32_t index = 0; index < count; ++index) {
    out.append(index == 0 ? "" : ",");
    WriteToken(*cache, index, out);
  }
  return out + "]}";
}

std::optional<std::string> StepRunner::Export(std::string_view session,
                                              std::uint32_t attempt,
                                              bool truncate) {
  const auto found = m_sessions.find(session);
  const AttemptCache* cache = found == m_sessions.end() ? nullptr : found->second.Find(attempt);
  if (cache == nullptr) {
    return std::nullopt;
  }
  std::string blob = cache->Export(m_model_hash);
  blob.resize(truncate ? blob.size() / 4 * 2 : blob.size());
  return json::serialize(json::object{
      {"length", cache->Length()}, {"prompt_tokens", cache->prompt_tokens}, {"blob", blob}});
}

std::optional<std::uint32_t> StepRunner::Import(const json::object& body) {
  std::optional<AttemptCache> cache =
      AttemptCache::Import(body.at("blob").as_string(), m_model_hash);
  if (!cache || cache->Length() != NumberIn<std::uint32_t>(body, "length") ||
      cache->prompt_tokens != NumberIn<std::uint32_t>(body, "prompt_tokens")) {
    return std::nullopt;
  }
  cache->attempt = body.at("attempt").to_number<std::uint32_t>();
  Session& session = m_sessions[std::string(body.at("session").as_string())];
  if (AttemptCache* held = session.Find(cache->attempt)) {
    return held->Length();
  }
  return session.Add(std::move(*cache)).Length();
}

void StepRunner::Release(std::string_view session, std::uint32_t attempt) {
  m_sessions[std::string(session)].Release(attempt);
}

void StepRunner::DropCaches() {
  for (auto& [name, session] : m_sessions) {
    session.attempts.clear();
  }
}

std::string StepRunner::Ledger() const {
  json::array rows;
  for (const auto& [name, session] : m_sessions) {
    for (const LedgerRow& row : session.ledger) {
      for (std::size_t position = 0; position < row.counts.size(); ++position) {
        if (row.counts[position] > 0) {
          rows.push_back({{"session", name},
                          {"attempt", row.attempt},
                          {"layer_first", row.layers.first},
                          {"layer_end", row.layers.end},
                          {"position", position},
                          {"count", row.counts[position]}});
        }
      }
    }
  }
  return json::serialize(json::object{{"rows", std::move(rows)}});
}

}  // namespace zinnia::standins
