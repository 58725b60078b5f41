#include <fmt/format.h>

#include <chrono>
#include <string>

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/peers/peer_codec.h"

namespace zinnia {
namespace {

constexpr int kRounds = 200'000;

/** A probe as it goes out in a quiet fleet, with the rumours of a small change. */
ProbeMessage TypicalProbe() {
  ProbeMessage probe;
  probe.sequence = 123'456;
  probe.sender = {"entry-417", {"10.1.2.3", 7000}, "akl-b", "akl", 1'764'000'000'000};
  probe.sender_incarnation = 3;
  probe.revision = 63'000;
  for (int number = 0; number < 3; ++number) {
    const std::string name = "entry-" + std::to_string(number);
    probe.rumours.emplace_back(
        MemberRumour{{name, {"10.1.2.4", 7000}, "akl-c", "akl", 1'764'000'000'000}, 2});
  }
  return probe;
}

void PrintRate(const char* name, std::chrono::steady_clock::time_point start) {
  const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
  fmt::print("{}={:.3f}\n", name, taken.count() / kRounds);
}

int Run() {
  const PeerAuthenticator authenticator("a shared secret of the cluster");
  const ProbeMessage probe = TypicalProbe();
  std::string datagram;
  auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    datagram = authenticator.SealDatagram(EncodeProbe(probe).value());
  }
  PrintRate("encode_and_seal_us", start);
  start = std::chrono::steady_clock::now();
  std::size_t rumours = 0;
  for (int round = 0; round < kRounds; ++round) {
    rumours += DecodeProbe(*authenticator.OpenDatagram(datagram)).value().rumours.size();
  }
  PrintRate("open_and_decode_us", start);
  fmt::print("datagram_bytes={}\nrumours_read={}\n", datagram.size(), rumours);
  return 0;
}

}  // namespace
}  // namespace zinnia

int main() {
  return zinnia::Run();
}
