#include "session_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t kChecksumDigits = 16;

std::string ChecksumOf(std::string_view text, std::uint64_t model_hash) {
  return fmt::format("{:016x}", Hash64(text, model_hash));
}

}  // namespace

void AttemptCache::CutTo(std::uint32_t length) {
  rows.resize(static_cast<std::size_t>(length) * layers.Count());
  tokens.resize(
      std::min<std::size_t>(tokens.size(), length > prompt_tokens ? length - prompt_tokens : 0));
}

std::string AttemptCache::Export(std::uint64_t model_hash) const {
  const std::string text = json::serialize(json::object{{"first_layer", layers.first},
                                                        {"end_layer", layers.end},
                                                        {"prompt_tokens", prompt_tokens},
                                                        {"samples", samples},
                                                        {"seed", seed},
                                                        {"tokens", json::value_from(tokens)},
                                                        {"rows", json::value_from(rows)}});
  return ChecksumOf(text, model_hash) + text;
}

std::optional<AttemptCache> AttemptCache::Import(std::string_view blob, std::uint64_t model_hash) {
  const std::string_view checksum = blob.substr(0, kChecksumDigits);
  const std::string_view text = blob.substr(checksum.size());
  if (checksum != ChecksumOf(text, model_hash)) {
    return std::nullopt;
  }
  const json::value whole = json::parse(text);
  return AttemptCache{.layers = {json::value_to<std::uint32_t>(whole.at("first_layer")),
                                 json::value_to<std::uint32_t>(whole.at("end_layer"))},
                      .prompt_tokens = json::value_to<std::uint32_t>(whole.at("prompt_tokens")),
                      .samples = whole.at("samples").as_bool(),
                      .seed = json::value_to<std::uint64_t>(whole.at("seed")),
                      .tokens = json::value_to<std::vector<std::uint32_t>>(whole.at("tokens")),
                      .rows = json::value_to<std::vector<std::uint64_t>>(whole.at("rows"))};
}

AttemptCache* Session::Find(std::uint32_t attempt) {
  const auto found = std::ranges::find(attempts, attempt, &AttemptCache::attempt);
  return found == attempts.end() ? nullptr : &*found;
}

const AttemptCache* Session::Highest() const {
  const auto found = std::ranges::max_element(attempts, {}, &AttemptCache::attempt);
  return found == attempts.end() ? nullptr : &*found;
}

AttemptCache& Session::Add(AttemptCache cache) {
  return attempts.emplace_back(std::move(cache));
}

void Session::Release(std::uint32_t attempt) {
  released_below = std::max(released_below, attempt + 1);
  std::erase_if(attempts,
                [this](const AttemptCache& cache) { return cache.attempt < released_below; });
}

void Session::CountRun(std::uint32_t attempt,
                       Layers layers,
                       std::uint32_t position,
                       std::size_t count) {
  auto row = std::ranges::find_if(ledger, [&](const LedgerRow& candidate) {
    return candidate.attempt == attempt && candidate.layers == layers;
  });
  if (row == ledger.end()) {
    row = ledger.insert(row, {attempt, layers, {}});
  }
  row->counts.resize(std::max(row->counts.size(), position + count));
  for (std::size_t index = position; index < position + count; ++index) {
    ++row->counts[index];
  }
}

}  // namespace zinnia::standins
