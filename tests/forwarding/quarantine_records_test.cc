#include <fmt/format.h>

#include "tests/forwarding/control_fleet.h"
#include "zinnia_decisions/forwarding/observed_state/quarantine_records.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(QuarantineRecords) {
  static constexpr int kInstances = 9;
  static constexpr Fingerprint kRequest{0x1234, 0xabcd};

  ControlFleet fleet{kInstances, 3};
  const std::string key = QuarantineRecords::KeyOf({SuspectKind::kRequest, kRequest});
  const std::string key_of_part = QuarantineRecords::KeyOf({SuspectKind::kPromptPart, kRequest});

  void QuarantineAfterStart() {
    fleet.store.Put("configuration", "1");
    fleet.Advance(seconds(3));
    fleet.Quarantine({kRequest, minutes(1), minutes(1)});
    fleet.Advance(milliseconds(500));
  }
};

// Guards against a harmful request that ends three servers again after all instances were killed.
TEST(QuarantineRecords, AllInstancesKnowItAfterAllWereKilledAtOnce) {
  QuarantineAfterStart();
  CHECK_TRUE(fleet.store.Has(key));
  for (std::size_t number = 0; number < fleet.Size(); ++number) {
    fleet.Restart(number);
  }
  CHECK_EQUAL(0, fleet.CountThatKnowQuarantines());
  fleet.Advance(milliseconds(1'500));
  CHECK_EQUAL(kInstances, fleet.CountThatKnowQuarantines());
}

// Guards against a record that is lost with the store's last seconds.
TEST(QuarantineRecords, ItIsWrittenAgainWhenTheStoreComesBackOlder) {
  QuarantineAfterStart();
  fleet.store.GoAway();
  fleet.Advance(milliseconds(300));
  fleet.store.ComeBackOlder(seconds(2));
  CHECK_FALSE(fleet.store.Has(key));
  fleet.Advance(seconds(4));
  CHECK_TRUE(fleet.store.Has(key));
}

// Guards against a quarantine that is not recorded because the store was away.
TEST(QuarantineRecords, ItIsWrittenOnceTheStoreIsBack) {
  fleet.store.Put("configuration", "1");
  fleet.Advance(seconds(3));
  fleet.store.GoAway();
  fleet.Quarantine({kRequest, minutes(1), minutes(1)});
  fleet.Advance(seconds(3));
  fleet.store.ComeBackOlder(Duration::zero());
  fleet.Advance(seconds(4));
  CHECK_TRUE(fleet.store.Has(key));
}

// Guards against a record that has instances refuse a request that has been cleared.
TEST(QuarantineRecords, ItIsRemovedWhenTheRequestIsCleared) {
  QuarantineAfterStart();
  fleet.Clear(kRequest);
  fleet.Advance(seconds(1));
  CHECK_FALSE(fleet.store.Has(key));
}

// Guards against records that stay for good.
TEST(QuarantineRecords, ItEndsWithTheQuarantine) {
  QuarantineAfterStart();
  fleet.Advance(minutes(2));
  fleet.Client(0).RevokeLease(0, [](const Result<void>&) {});  // The store looks at its leases.
  fleet.Advance(seconds(1));
  CHECK_FALSE(fleet.store.Has(key));
}

// Guards against records of other writers, and clocks that are ahead or behind.
TEST(QuarantineRecords, OnlyPlausibleRecordsCount) {
  const WallTimePoint now(std::chrono::hours(1));
  const auto decode = [&](const std::string& value) {
    return QuarantineRecords::Decode(key, value, now);
  };
  const auto sound = decode(R"({"until_unix_ms":3630000,"duration_ms":60000})");
  CHECK_TRUE(sound.has_value());
  CHECK_TRUE(sound->request == kRequest);
  CHECK_EQUAL(30'000, sound->remaining.count());
  CHECK_EQUAL(60'000,
              decode(R"({"until_unix_ms":9930000,"duration_ms":60000})")->remaining.count());
  CHECK_FALSE(decode(R"({"until_unix_ms":3500000,"duration_ms":60000})").has_value());
  CHECK_FALSE(decode(R"({"until_unix_ms":"soon","duration_ms":60000})").has_value());
  CHECK_FALSE(decode("\xff{").has_value());
  // Another writer's number that no duration holds would wrap around.
  for (const char* odd : {"9223372036854775807", "18446744083710", "86400001", "0", "-1"}) {
    CHECK_FALSE_TEXT(
        decode(fmt::format(R"({{"until_unix_ms":9223372036854775807,"duration_ms":{}}})", odd))
            .has_value(),
        odd);
  }
  CHECK_FALSE(QuarantineRecords::Decode("quarantines/zz", "{}", now).has_value());
}

// Guards against a part of a prompt whose record is taken for that of a request.
TEST(QuarantineRecords, TheKeyTellsTheKind) {
  const WallTimePoint now(std::chrono::hours(1));
  const std::string value = R"({"until_unix_ms":3630000,"duration_ms":60000})";
  CHECK_TRUE(QuarantineRecords::Decode(key, value, now)->kind == SuspectKind::kRequest);
  const auto part = QuarantineRecords::Decode(key_of_part, value, now);
  CHECK_TRUE(part->kind == SuspectKind::kPromptPart);
  CHECK_TRUE(part->request == kRequest);
  CHECK_EQUAL(30'000, part->remaining.count());
  const std::string of_another_kind = "quarantines/another_kind/" + kRequest.ToHex();
  CHECK_FALSE(QuarantineRecords::Decode(of_another_kind, value, now).has_value());
}

// Guards against records of older versions that are no longer read.
TEST(QuarantineRecords, TheKeyOfARequestIsItsFingerprintAlone) {
  STRCMP_EQUAL(("quarantines/" + kRequest.ToHex()).c_str(), key.c_str());
}

// Guards against one record for a part and a request whose fingerprints are equal.
TEST(QuarantineRecords, APartAndARequestWithEqualFingerprintsAreTwo) {
  QuarantineAfterStart();
  fleet.Quarantine({kRequest, minutes(1), minutes(1), SuspectKind::kPromptPart});
  fleet.Advance(milliseconds(500));
  CHECK_TRUE(fleet.store.Has(key));
  CHECK_TRUE(fleet.store.Has(key_of_part));
  fleet.Clear(kRequest);
  fleet.Advance(seconds(1));
  CHECK_FALSE(fleet.store.Has(key));
  CHECK_TRUE(fleet.store.Has(key_of_part));
}

// Guards against a harmful part that ends servers again after all instances were killed.
TEST(QuarantineRecords, AllInstancesKnowAPartAfterAllWereKilledAtOnce) {
  fleet.store.Put("configuration", "1");
  fleet.Advance(seconds(3));
  fleet.Quarantine({kRequest, minutes(1), minutes(1), SuspectKind::kPromptPart});
  fleet.Advance(milliseconds(500));
  for (std::size_t number = 0; number < fleet.Size(); ++number) {
    fleet.Restart(number);
  }
  CHECK_EQUAL(0, fleet.CountThatKnowQuarantines(SuspectKind::kPromptPart));
  fleet.Advance(milliseconds(1'500));
  CHECK_EQUAL(kInstances, fleet.CountThatKnowQuarantines(SuspectKind::kPromptPart));
  CHECK_EQUAL(0, fleet.CountThatKnowQuarantines(SuspectKind::kRequest));
}

// Guards against many harmful suspects of one kind that keep those of the other out of the store.
TEST(QuarantineRecords, OneKindNeverCrowdsOutTheOther) {
  RecordingLogger logger;
  for (const SuspectKind kind : kSuspectKinds) {
    QuarantineRecords records(fleet.Client(0), fleet.time, fleet.time, logger);
    for (std::uint64_t number = 0; number <= QuarantineRecords::kMaxRecords; ++number) {
      records.Write({{1, number}, minutes(1), minutes(1), kind});
    }
    const bool is_part = kind == SuspectKind::kPromptPart;
    const SuspectKind other = is_part ? SuspectKind::kRequest : SuspectKind::kPromptPart;
    records.Write({{2, 1}, minutes(1), minutes(1), other});
    fleet.Advance(seconds(1));
    CHECK_TRUE(fleet.store.Has(QuarantineRecords::KeyOf({kind, {1, 1}})));
    CHECK_FALSE(
        fleet.store.Has(QuarantineRecords::KeyOf({kind, {1, QuarantineRecords::kMaxRecords}})));
    CHECK_TRUE(fleet.store.Has(QuarantineRecords::KeyOf({other, {2, 1}})));
  }
}

}  // namespace zinnia
