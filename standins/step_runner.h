#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "language_model.h"
#include "prefix_cache.h"
#include "session_table.h"

namespace zinnia::standins {

/** What an engine holds. */
struct Loaded {
  std::string model;
  std::string version;
  Layers layers;

  bool operator==(const Loaded&) const = default;
};

/** Settings of an engine that bear on single steps. */
struct StepSettings {
  std::size_t state_bytes = 0;
  std::uint32_t answer_tokens = 0;  // 0: depends on the hash
  std::size_t prefix_blocks = 256;
  std::chrono::milliseconds event_lag{200};
  std::string crash_on;
};

/** Runs steps one at a time on the caches of one engine, and writes their answers as JSON.

    Keeps the rule that the router builds on: a step is run only at exactly the cached length. */
class StepRunner {
 public:
  explicit StepRunner(StepSettings settings);

  /** Other layers: all caches are gone, as on a real engine. */
  void Load(std::optional<Loaded> loaded);
  const std::optional<Loaded>& Held() const { return m_loaded; }

  /** Appends the answer to `out` and adds to `prefill_positions` what takes the engine time.
      A prompt with `crash_on` in it ends the process without an answer. */
  void Run(const boost::json::object& step, std::string& out, std::uint64_t& prefill_positions);

  /** 404 bodies are the caller's; nothing: not found. */
  std::optional<std::string> Find(std::string_view session) const;
  std::optional<std::string> Export(std::string_view session, std::uint32_t attempt, bool truncate);

  /** The imported length, or nothing if the blob isn't whole. */
  std::optional<std::uint32_t> Import(const boost::json::object& body);

  void Release(std::string_view session, std::uint32_t attempt);
  void DropCaches();
  std::string Ledger() const;
  std::string PrefixEvents(std::uint64_t after) const { return m_prefixes.EventsAfter(after); }

  void SetLeaving(bool leaving) { m_leaving = leaving; }
  bool IsLeaving() const { return m_leaving; }
  void SetCrashOn(std::string text) { m_settings.crash_on = std::move(text); }

 private:
  struct Step;

  /** The status of an answer; `cache` is set if the engine holds one for the step's attempt. */
  std::string_view Prepare(const Step& step, Session& session, AttemptCache*& cache);
  std::string_view Adopt(const Step& step, Session& session, AttemptCache*& cache);
  std::optional<std::vector<std::uint64_t>> InputsOf(const Step& step,
                                                     AttemptCache& cache,
                                                     std::uint64_t& prefill_positions);
  std::vector<std::uint64_t> EmbedPrompt(std::string_view prompt,
                                         AttemptCache& cache,
                                         std::uint64_t& prefill_positions);
  void WriteAnswer(const Step& step,
                   std::string_view status,
                   const AttemptCache* cache,
                   std::uint32_t first_new,
                   std::string& out) const;
  void WriteToken(const AttemptCache& cache, std::uint32_t index, std::string& out) const;
  std::uint32_t TokenAt(const AttemptCache& cache, std::uint32_t index) const;

  StepSettings m_settings;
  std::optional<Loaded> m_loaded;
  LanguageModel m_model;
  std::uint64_t m_model_hash = 0;
  SessionTable m_sessions;
  PrefixCache m_prefixes;
  bool m_leaving = false;
};

}  // namespace zinnia::standins
