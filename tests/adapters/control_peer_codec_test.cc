// g++ 12 wrongly believes that moving a Rumour reads members that were never written.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include "zinnia_adapters/peers/peer_codec.h"

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_base/random/random_source.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

constexpr std::uint64_t kSeed = 20'261'202;

Instance MakeInstance(const std::string& name) {
  return {name, {"10.1.2.3", 7000}, "akl-a", "akl", 42};
}

ProbeMessage MakeProbe() {
  ProbeMessage message;
  message.kind = ProbeKind::kPingRequest;
  message.sequence = 17;
  message.sender = MakeInstance("entry-1");
  message.sender_incarnation = 3;
  message.target = MakeInstance("entry-2");
  message.revision = 99;
  message.rumours = {
      MemberRumour{MakeInstance("entry-3"), 8, MemberState::kSuspect}, LeavingRumour{"draft-7", 5},
      CrashRumour{"draft-8", 6, {{1, 2}, {3, 4}}, 250, true},
      ConfigurationRumour{
          {98,
           99,
           {{"organisation/petrie", 99, "{\"weight\":2}"}, {"model/x", 99, std::nullopt}}}}};
  return message;
}

std::string AnyText(RandomSource& random) {
  std::string text(RandomBelow(random, 20), ' ');
  for (char& letter : text) {
    letter = static_cast<char>(RandomBelow(random, 256));
  }
  return text;
}

Rumour AnyRumour(RandomSource& random) {
  const std::string text = AnyText(random);
  const std::uint64_t number = random();
  switch (RandomBelow(random, 4)) {
    case 0:
      return MemberRumour{MakeInstance(text), number,
                          static_cast<MemberState>(RandomBelow(random, 4))};
    case 1:
      return LeavingRumour{text, number};
    case 2:
      return CrashRumour{
          text, number, {{number, ~number}}, static_cast<std::uint32_t>(number), number % 2 == 0};
    default:
      return ConfigurationRumour{{number, number + 1, {{text, number, text}}}};
  }
}

}  // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, GivesBackEveryKindOfRumour) {
  const ProbeMessage message = MakeProbe();
  CHECK(DecodeProbe(EncodeProbe(message).value()).value() == message);
}

TEST(PeerCodec, GivesBackAnyMessage) {
  RandomSource random(kSeed);
  constexpr int kRounds = 2'000;
  for (int round = 0; round < kRounds; ++round) {
    ProbeMessage message = MakeProbe();
    message.sequence = random();
    message.kind = static_cast<ProbeKind>(RandomBelow(random, 3));
    message.sender.name = AnyText(random);
    if (RandomBelow(random, 2) == 0) {
      message.target.reset();
    }
    message.rumours.clear();
    for (std::uint64_t count = RandomBelow(random, 16); count > 0; --count) {
      message.rumours.push_back(AnyRumour(random));
    }
    CHECK(DecodeProbe(EncodeProbe(message).value()).value() == message);
  }
}

TEST(PeerCodec, RefusesWhatDoesNotFitInADatagram) {
  ProbeMessage message = MakeProbe();
  message.rumours.push_back(LeavingRumour{std::string(kLargestDatagramBytes, 'x'), 1});
  CHECK(EncodeProbe(message).error().kind == ErrorKind::kPayloadTooLarge);
}

// Symptom: an instance crashes, or takes half a message for a whole one. Events: a datagram arrives
// cut off at some byte. Cause: the reader trusts lengths written in the message.
TEST(PeerCodec, RefusesEveryPrefix) {
  const std::string bytes = EncodeProbe(MakeProbe()).value();
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const auto result = DecodeProbe(std::string_view(bytes).substr(0, length));
    CHECK(result.has_error());
    CHECK(result.error().kind == ErrorKind::kInvalidRequest);
  }
  CHECK(DecodeProbe(bytes + "x").has_error());
}

// Symptom: an instance crashes or hangs on a damaged datagram. Events: any bits of a valid message
// are flipped. Cause: pointers, counts and enumerators in it are used unchecked. (A flip may still
// give a readable message; the authentication code is what refuses that.)
TEST(PeerCodec, SurvivesFlippedBits) {
  const std::string bytes = EncodeProbe(MakeProbe()).value();
  RandomSource random(kSeed);
  constexpr int kRounds = 20'000;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string damaged = bytes;
    for (std::uint64_t flips = 1 + RandomBelow(random, 8); flips > 0; --flips) {
      damaged[RandomBelow(random, damaged.size())] ^=
          static_cast<char>(1 << RandomBelow(random, 8));
    }
    refused += DecodeProbe(damaged).has_error() ? 1 : 0;
  }
  CHECK(refused > kRounds / 4);
}

// Symptom: one datagram of 8 KB costs megabytes. Events: its packed form names long runs of zeros.
// Cause: the segment size written in it is allocated unchecked.
TEST(PeerCodec, RefusesADatagramThatUnpacksToMegabytes) {
  // One segment of 256 Ki words (2 MB), as packed words: tag, count-1 = 0, size; then zero runs.
  std::string bytes("\x40\x04", 2);
  for (int run = 0; run < 1'024; ++run) {
    bytes.append("\x00\xff", 2);
  }
  const auto result = DecodeProbe(bytes);
  CHECK(result.has_error());
  CHECK(result.error().message.find("too large") != std::string::npos);
}

TEST(PeerCodec, TheSealRefusesEveryDamageAndEveryOtherSecret) {
  const PeerAuthenticator ours("our secret");
  const std::string payload = EncodeProbe(MakeProbe()).value();
  const std::string datagram = ours.SealDatagram(payload);
  CHECK(ours.OpenDatagram(datagram) == payload);
  for (std::size_t bit = 0; bit < datagram.size() * 8; ++bit) {
    std::string damaged = datagram;
    damaged[bit / 8] ^= static_cast<char>(1 << (bit % 8));
    CHECK_FALSE(ours.OpenDatagram(damaged).has_value());
  }
  for (std::size_t length = 0; length < datagram.size(); ++length) {
    CHECK_FALSE(ours.OpenDatagram(std::string_view(datagram).substr(0, length)).has_value());
  }
  CHECK_FALSE(PeerAuthenticator("another").OpenDatagram(datagram).has_value());
}

}  // namespace zinnia
