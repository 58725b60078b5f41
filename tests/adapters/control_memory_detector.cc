#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "zinnia_adapters/peers/peer_codec.h"

namespace {

/** CppUTest's leak detector keeps its table without a lock unless told otherwise, and fails tests
    that allocate on several threads with "Deallocating non-allocated memory". kj's first exception
    makes a table that stays; made here, no test is blamed for it. */
[[maybe_unused]] const bool kDetectorIsReady = [] {
  const bool refused = zinnia::DecodeProbe("").has_error();
  MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
  return refused;
}();

}  // namespace
