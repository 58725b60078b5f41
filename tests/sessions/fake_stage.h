#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/sessions/fake_model.h"
#include "tests/sessions/step_ledger.h"
#include "zinnia_decisions/ports/stage_links.h"
#include "zinnia_world/fleet/backend_server.h"

namespace zinnia {

/** An in-memory model engine that accepts a step only at the cached length, as specified in
    docs/PROTOCOLS.md. Adoption moves the cache instead of copying it, the stricter behaviour. */
class FakeStage {
 public:
  FakeStage(LoadedRange loaded, StepLedger& ledger)
      : m_loaded(std::move(loaded)), m_ledger(&ledger) {}

  bool refuses_as_leaving = false;
  bool refuses_as_overloaded = false;

  const LoadedRange& Loaded() const { return m_loaded; }
  void Load(std::string version) {
    m_loaded.version = std::move(version);
    m_caches.clear();
  }

  StepAnswer Run(const StepRequest& step) {
    StepAnswer answer{.status = Check(step), .attempt = step.attempt};
    if (answer.status == StepStatus::kDone) {
      answer.status = PrepareCache(step, answer);
    }
    if (answer.status != StepStatus::kDone) {
      return answer;
    }
    Cache& cache = m_caches[{step.session, step.attempt}];
    const auto inputs = ReadInputs(step, cache, answer);
    std::vector<std::string> outputs;
    for (const std::string& input : inputs) {
      m_ledger->Run(step.session, step.attempt, step.layers, cache.length);
      outputs.push_back(RunLayers(input, cache));
    }
    answer.length = cache.length;
    if (step.sample) {
      answer.token = FakeModel::Sample(outputs.back(), step.seed);
      cache.prompt_tokens = cache.prompt_tokens == 0 ? cache.length : cache.prompt_tokens;
      cache.tokens.push_back(*answer.token);
    } else {
      answer.states = std::move(outputs);
    }
    return answer;
  }

  std::optional<HeldSession> Find(const SessionName& session) const {
    std::optional<HeldSession> held;
    for (const auto& [key, cache] : m_caches) {
      if (key.first == session && (!held || key.second > held->attempt)) {
        held = HeldSession{key.second, cache.length, cache.prompt_tokens, cache.tokens};
      }
    }
    return held;
  }

  void Release(const SessionName& session, AttemptNumber attempt) {
    std::erase_if(m_caches, [&](const auto& entry) {
      return entry.first.first == session && entry.first.second <= attempt;
    });
  }

  std::size_t HeldCaches() const { return m_caches.size(); }

  /** Copies one cache to another stage, like KV export and import. */
  std::optional<std::uint32_t> ExportTo(FakeStage& to,
                                        const SessionName& session,
                                        AttemptNumber attempt,
                                        AttemptNumber new_attempt) const {
    const auto cache = m_caches.find({session, attempt});
    if (cache == m_caches.end()) {
      return std::nullopt;
    }
    to.m_caches[{session, new_attempt}] = cache->second;
    m_ledger->Inherit(session, attempt, new_attempt, m_loaded.layers, cache->second.length);
    return cache->second.length;
  }

 private:
  struct Cache {
    std::vector<FakeModel::LayerCache> layers;
    std::uint32_t length = 0;
    std::uint32_t prompt_tokens = 0;
    std::vector<SampledToken> tokens;
  };

  StepStatus Check(const StepRequest& step) const {
    if (refuses_as_leaving) {
      return StepStatus::kLeaving;
    }
    if (refuses_as_overloaded) {
      return StepStatus::kOverloaded;
    }
    const bool loaded = step.version == m_loaded.version && step.layers == m_loaded.layers;
    return loaded ? StepStatus::kDone : StepStatus::kNotLoaded;
  }

  StepStatus PrepareCache(const StepRequest& step, StepAnswer& answer) {
    auto cache = m_caches.find({step.session, step.attempt});
    if (cache == m_caches.end() && step.adopt) {
      const auto older = m_caches.find({step.session, step.adopt->attempt});
      if (older == m_caches.end()) {
        return StepStatus::kUnknownSession;
      }
      if (older->second.length < step.adopt->length) {
        answer.length = older->second.length;
        return StepStatus::kWrongLength;
      }
      Adopt(step, std::move(older->second));
      m_caches.erase(older);
      cache = m_caches.find({step.session, step.attempt});
    }
    if (cache == m_caches.end() && step.position == 0) {
      m_caches[{step.session, step.attempt}].layers.resize(m_loaded.layers.Count());
      return StepStatus::kDone;
    }
    if (cache == m_caches.end()) {
      return StepStatus::kUnknownSession;
    }
    answer.length = cache->second.length;
    return answer.length == step.position ? StepStatus::kDone : StepStatus::kWrongLength;
  }

  void Adopt(const StepRequest& step, Cache cache) {
    const std::uint32_t length = step.adopt->length;
    for (FakeModel::LayerCache& layer : cache.layers) {
      layer.resize(length);
    }
    cache.length = length;
    const std::size_t known =
        length + 1 < cache.prompt_tokens ? 0 : length + 1 - cache.prompt_tokens;
    cache.tokens.resize(std::min(cache.tokens.size(), known));
    m_caches[{step.session, step.attempt}] = std::move(cache);
    m_ledger->Inherit(step.session, step.adopt->attempt, step.attempt, step.layers, length);
  }

  static std::vector<std::string> ReadInputs(const StepRequest& step,
                                             Cache& cache,
                                             StepAnswer& answer) {
    if (const auto* hidden = std::get_if<HiddenInput>(&step.input)) {
      return hidden->states;
    }
    const auto& input = std::get<TokenInput>(step.input);
    std::vector<std::string> states;
    if (step.position == 0) {
      for (const std::string& word : FakeModel::Words(input.prompt)) {
        states.push_back(FakeModel::Embed(word));
      }
      cache.prompt_tokens = static_cast<std::uint32_t>(states.size());
      answer.prompt_tokens = cache.prompt_tokens;
    }
    for (const TokenId token : input.tokens) {
      states.push_back(FakeModel::Embed(token));
    }
    return states;
  }

  std::string RunLayers(std::string state, Cache& cache) const {
    for (std::uint32_t layer = 0; layer < m_loaded.layers.Count(); ++layer) {
      state = FakeModel::RunLayer(m_loaded.layers.first + layer, state, cache.layers[layer]);
    }
    ++cache.length;
    return state;
  }

  LoadedRange m_loaded;
  StepLedger* m_ledger;
  std::map<std::pair<SessionName, AttemptNumber>, Cache> m_caches;
};

}  // namespace zinnia
