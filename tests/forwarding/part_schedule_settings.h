#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace zinnia {

/** What a schedule plays. */
struct PartScheduleSettings {
  std::uint64_t seed = 1;
  std::size_t instances = 9;
  std::size_t servers = 33;

  /** Of these, those that requests begin at; when one ends, another takes its place a while later.
      Zero: all. */
  std::size_t first_servers = 0;

  /** Sound requests, of which each has two to four shared parts and runs for up to four seconds. */
  double sound_per_second = 80.0;
  std::size_t shared_parts = 60;

  /** Parts that crash each server that begins to answer a request with them. */
  std::size_t harmful_parts = 1;

  /** Requests a second with each harmful part, from a moment on. */
  double harmful_per_second = 5.0;
  std::chrono::milliseconds harmful_from{4'000};

  /** A harmful part is one of the shared parts, and did no harm before that moment. */
  bool was_sound_before = false;

  /** It is the one that half of the requests have. */
  bool is_most_common = false;

  /** Part of the harmful requests whose servers end before the instance sees their answer begin. */
  double unseen_beginnings = 0.3;

  /** All requests have one more part in common. */
  bool have_common_part = false;

  /** It is harmful from that moment on. */
  bool is_common_part_harmful = false;

  std::chrono::seconds duration{20};

  /** All servers of a third of the fleet end in one moment, twice. */
  bool domains_die = false;

  /** All servers end, twice, one after the other within this time; zero: they don't. */
  std::chrono::milliseconds pool_dies_within{0};

  /** Servers end one after the other, this long apart; zero: none. */
  std::chrono::milliseconds series{0};

  /** When one of the instances starts anew, knowing nothing; zero: never. */
  std::chrono::milliseconds restart_at{0};
};

}  // namespace zinnia
