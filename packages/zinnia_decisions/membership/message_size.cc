#include "zinnia_decisions/membership/message_size.h"

namespace zinnia {
namespace {

constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kFrameBytes = 3 * kWordBytes;

std::size_t SizeOfText(const std::string& text) {
  return kWordBytes + (text.size() + kWordBytes) / kWordBytes * kWordBytes;
}

struct RumourSize {
  std::size_t operator()(const MemberRumour& rumour) const {
    return EstimateSize(rumour.instance) + 3 * kWordBytes;
  }
  std::size_t operator()(const LeavingRumour& rumour) const {
    return SizeOfText(rumour.server) + 2 * kWordBytes;
  }
  std::size_t operator()(const CrashRumour& rumour) const {
    return SizeOfText(rumour.server) + 5 * kWordBytes + rumour.fingerprints.size() * 2 * kWordBytes;
  }
  std::size_t operator()(const ConfigurationRumour& rumour) const {
    return EstimateSize(rumour.delta);
  }
};

}  // namespace

std::size_t EstimateSize(const Instance& instance) {
  return 3 * kWordBytes + SizeOfText(instance.name) + SizeOfText(instance.peer_address.ip) +
         SizeOfText(instance.failure_domain) + SizeOfText(instance.region);
}

std::size_t EstimateSize(const ConfigurationDelta& delta) {
  std::size_t size = 5 * kWordBytes;
  for (const ConfigurationEntry& entry : delta.entries) {
    size += 3 * kWordBytes + SizeOfText(entry.path) + SizeOfText(entry.value.value_or(""));
  }
  return size;
}

std::size_t EstimateSize(const Rumour& rumour) {
  return 2 * kWordBytes + std::visit(RumourSize{}, rumour);
}

std::size_t EstimateSize(const ProbeMessage& message) {
  std::size_t size = kFrameBytes + 6 * kWordBytes + EstimateSize(message.sender);
  if (message.target) {
    size += EstimateSize(*message.target);
  }
  for (const Rumour& rumour : message.rumours) {
    size += EstimateSize(rumour);
  }
  return size;
}

}  // namespace zinnia
