#include "session_table.h"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <cstring>
#include <iterator>

#include "zinnia_base/hashing/fingerprint.h"

namespace zinnia::standins {

namespace {

/** The fixed part at the start of an exported cache. */
struct BlobHeader {
  std::uint64_t checksum = 0;  // of all that follows
  std::uint64_t seed = 0;
  Layers layers;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t samples = 0;
  std::uint64_t token_count = 0;
  std::uint64_t row_count = 0;
};

std::uint64_t ChecksumOf(std::string_view bytes, std::uint64_t model_hash) {
  return Hash64(bytes.substr(sizeof(BlobHeader::checksum)), model_hash);
}

template <typename Number>
void AppendAll(std::string& bytes, const std::vector<Number>& numbers) {
  bytes.append(reinterpret_cast<const char*>(numbers.data()), numbers.size() * sizeof(Number));
}

template <typename Number>
void TakeAll(std::string_view& bytes, std::uint64_t count, std::vector<Number>& numbers) {
  numbers.resize(count);
  if (count > 0) {
    std::memcpy(numbers.data(), bytes.data(), count * sizeof(Number));
  }
  bytes.remove_prefix(count * sizeof(Number));
}

}  // namespace

void AttemptCache::CutTo(std::uint32_t length) {
  rows.resize(static_cast<std::size_t>(length) * layers.Count());
  tokens.resize(
      std::min<std::size_t>(tokens.size(), length > prompt_tokens ? length - prompt_tokens : 0));
}

std::string AttemptCache::Export(std::uint64_t model_hash) const {
  BlobHeader header{.seed = seed,
                    .layers = layers,
                    .prompt_tokens = prompt_tokens,
                    .samples = samples ? 1U : 0U,
                    .token_count = tokens.size(),
                    .row_count = rows.size()};
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  AppendAll(bytes, tokens);
  AppendAll(bytes, rows);
  header.checksum = ChecksumOf(bytes, model_hash);
  std::memcpy(bytes.data(), &header.checksum, sizeof(header.checksum));
  std::string blob;
  blob.reserve(bytes.size() * 2);
  boost::algorithm::hex_lower(bytes, std::back_inserter(blob));
  return blob;
}

std::optional<AttemptCache> AttemptCache::Import(std::string_view blob, std::uint64_t model_hash) {
  std::string bytes;
  try {
    boost::algorithm::unhex(blob, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
  BlobHeader header;
  if (bytes.size() < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.checksum != ChecksumOf(bytes, model_hash)) {
    return std::nullopt;
  }
  AttemptCache cache{.layers = header.layers,
                     .prompt_tokens = header.prompt_tokens,
                     .samples = header.samples != 0,
                     .seed = header.seed};
  std::string_view rest = std::string_view(bytes).substr(sizeof(header));
  TakeAll(rest, header.token_count, cache.tokens);
  TakeAll(rest, header.row_count, cache.rows);
  return cache;
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
