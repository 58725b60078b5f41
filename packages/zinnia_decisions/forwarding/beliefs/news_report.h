#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "zinnia_decisions/forwarding/beliefs/layers_news.h"
#include "zinnia_decisions/forwarding/beliefs/load_book.h"
#include "zinnia_decisions/forwarding/beliefs/pace_news.h"
#include "zinnia_world/fleet/instance.h"

namespace zinnia {

/** A server that did not go on, and how long ago that was seen. */
struct StallNews {
  BackendServerName server;
  std::chrono::milliseconds age{0};
};

/** What an instance tells a peer a few times a second. */
struct NewsReport {
  Instance instance;

  /** How far it knows the store's records. */
  std::uint64_t revision = 0;
  LoadBook::Uses uses;

  /** From a reader to its own failure domain: what the readers of others told it. From a reader to
      those: the sum over its own domain, as the one entry. */
  std::map<FailureDomainName, LoadBook::Uses> domain_uses;
  std::vector<StallNews> stalls;
  std::vector<PaceNews> slow_servers;

  /** Heard from servers lately, not from the store. */
  std::vector<LayersNews> layers;

  /** The store has answered it without a failure for longer than lapsed entries need to return. */
  bool store_is_steady = false;

  /** It waits for changes of the store so briefly that others need not. */
  bool is_reader = false;

  /** Whether the answer shall hold the store's records that the sender lacks. */
  bool wants_records = false;

  /** It is about to stop. */
  bool leaving = false;
};

}  // namespace zinnia
