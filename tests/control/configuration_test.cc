#include "tests/control/control_fleet.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double WeightAt(ControlFleet& fleet, std::size_t index, const std::string& organisation) {
  const auto configuration = fleet.At(index).ConfigurationInForce().Current();
  const auto found = configuration->organisations().find(organisation);
  return found == configuration->organisations().end() ? 0.0 : found->second.weight;
}

ChangedPath LongOrganisationPath(int number) {
  return {fmt::format("organisation/organisation-{}", number),
          fmt::format(R"({{"key_digests":["{:0>300}"]}})", number)};
}

}  // namespace

TEST_GROUP(Configuration) {
  ControlFleet fleet{6};

  void setup() override {
    fleet.StartAll();
    fleet.time.AdvanceBy(seconds(5));
    const auto first = fleet.Change(0, 0, {OrganisationPath("kitanda", 1)});
    fleet.time.AdvanceBy(seconds(2));
    CHECK_TRUE(*first && **first);
    CHECK_TRUE(fleet.AllAt(1));
  }
};

TEST(Configuration, IsInForceEverywhereWithinASecond) {
  const auto change = fleet.Change(4, 1, {OrganisationPath("kitanda", 2)});
  fleet.time.AdvanceBy(milliseconds(1000));
  CHECK_TRUE(fleet.AllAt(2));
  LONGS_EQUAL(2, WeightAt(fleet, 5, "kitanda"));
}

// Two operators change one path against the same revision at once. Without the compare-and-swap,
// one change would be lost silently.
TEST(Configuration, RaceLosesWithConflictThatNamesTheNewerRevision) {
  const auto one = fleet.Change(1, 1, {OrganisationPath("kitanda", 2)});
  const auto other = fleet.Change(2, 1, {OrganisationPath("kitanda", 3)});
  fleet.time.AdvanceBy(seconds(2));
  const bool first_won = (*one)->has_value();
  CHECK_TRUE(first_won != (*other)->has_value());
  const Error error = first_won ? (*other)->error() : (*one)->error();
  CHECK_TRUE(error.kind == ErrorKind::kRevisionConflict);
  STRCMP_CONTAINS("newest is 2", error.message.c_str());
  STRCMP_CONTAINS("organisation/kitanda", error.message.c_str());
  CHECK_TRUE(fleet.AllAt(2));
  LONGS_EQUAL(first_won ? 2 : 3, WeightAt(fleet, 0, "kitanda"));
}

TEST(Configuration, StaleRevisionIsRefusedEvenIfItsPathsDidNotChange) {
  fleet.Change(1, 1, {OrganisationPath("other", 2)});
  fleet.time.AdvanceBy(seconds(2));
  const auto stale = fleet.Change(2, 1, {OrganisationPath("kitanda", 3)});
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE((*stale)->has_error());
  STRCMP_CONTAINS("none of the touched paths changed", (*stale)->error().message.c_str());
}

// A write succeeds but its response is lost: the change must not be reported as failed.
TEST(Configuration, LostStoreAnswerIsSettledByReadingBack) {
  fleet.store.responses_to_lose = 1;
  const auto change = fleet.Change(3, 1, {OrganisationPath("kitanda", 7)}, "id-7");
  fleet.time.AdvanceBy(seconds(3));
  CHECK_TRUE(*change && **change);
  LONGS_EQUAL(2, ***change);
  const auto again = fleet.Change(1, 1, {OrganisationPath("kitanda", 7)}, "id-7");
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE(again->value().has_value());
  LONGS_EQUAL(2, ***again);
  CHECK_TRUE(fleet.AllAt(2));
}

TEST(Configuration, StoreOutageRefusesChangesAndAppliesNothing) {
  fleet.store.outage = true;
  const auto change = fleet.Change(3, 1, {OrganisationPath("kitanda", 7)});
  fleet.time.AdvanceBy(seconds(20));
  CHECK_TRUE((*change)->has_error());
  CHECK_TRUE((*change)->error().kind == ErrorKind::kStoreUnavailable);
  CHECK_TRUE((*change)->error().was_run == WasRun::kNo);
  CHECK_TRUE(fleet.AllAt(1));
  fleet.store.outage = false;
  fleet.time.AdvanceBy(seconds(20));
  CHECK_TRUE(fleet.AllAt(1));
}

TEST(Configuration, InvalidChangeIsRefusedWhole) {
  const auto change =
      fleet.Change(3, 1, {OrganisationPath("kitanda", 7), {"organisation/bad", "{\"wait\":1}"}});
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE((*change)->error().kind == ErrorKind::kInvalidRequest);
  CHECK_TRUE(fleet.AllAt(1));
}

// An instance that starts during a store outage must get its configuration from peers.
TEST(Configuration, NewInstanceTakesTheHighestRevisionOfItsPeersDuringAnOutage) {
  fleet.Change(0, 1, {OrganisationPath("kitanda", 5)});
  fleet.time.AdvanceBy(seconds(2));
  fleet.store.outage = true;
  fleet.Restart(5);
  CHECK_FALSE(fleet.At(5).IsReady());
  fleet.time.AdvanceBy(seconds(3));
  LONGS_EQUAL(2, fleet.RevisionAt(5));
  CHECK_TRUE(fleet.At(5).IsReady());
}

// An instance resumes with stale datagrams in its buffers: the revision must decide, not the time
// of arrival.
TEST(Configuration, PausedInstanceIgnoresStaleDatagramsOnResume) {
  fleet.processes[5]->scheduler.Pause();
  for (ConfigurationRevision revision = 1; revision < 5; ++revision) {
    fleet.Change(0, revision, {OrganisationPath("kitanda", static_cast<int>(revision) + 1)});
    fleet.time.AdvanceBy(seconds(20));
  }
  fleet.processes[5]->scheduler.Resume();
  ConfigurationRevision last = fleet.RevisionAt(5);
  for (int step = 0; step < 500; ++step) {
    fleet.time.AdvanceBy(milliseconds(10));
    CHECK_TRUE(fleet.RevisionAt(5) >= last);
    last = fleet.RevisionAt(5);
  }
  CHECK_TRUE(fleet.AllAt(5));
}

TEST(Configuration, OlderDocumentReplayedByAPeerIsIgnored) {
  fleet.Change(0, 1, {OrganisationPath("kitanda", 9)});
  fleet.time.AdvanceBy(seconds(2));
  ProbeMessage replay{ProbeKind::kAck, 0};
  replay.sender = fleet.instances[0];
  replay.sender_incarnation = 1;
  replay.revision = 1;
  ConfigurationDelta old{0, 1, {{"organisation/kitanda", 1, R"({"weight":1})"}}};
  replay.rumours.emplace_back(ConfigurationRumour{old});
  fleet.At(3).OnProbe(replay);
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE(fleet.AllAt(2));
  LONGS_EQUAL(9, WeightAt(fleet, 3, "kitanda"));
}

// Restoring the store from a backup must neither revert accepted changes nor reuse their revisions.
TEST(Configuration, RestoredStoreDoesNotRevertAndIsReinstated) {
  const FakeStore::State backup = fleet.store.Save();
  fleet.Change(0, 1, {OrganisationPath("kitanda", 2)});
  fleet.time.AdvanceBy(seconds(2));
  fleet.Change(0, 2, {OrganisationPath("new", 2)});
  fleet.time.AdvanceBy(seconds(2));
  fleet.store.Restore(backup);
  const auto refused = fleet.Change(2, 3, {OrganisationPath("kitanda", 4)});
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE((*refused)->has_error());
  CHECK_TRUE((*refused)->error().kind == ErrorKind::kStoreUnavailable);
  CHECK_TRUE(fleet.processes[2]->decisions.Has("keep_newer_than_store"));
  fleet.time.AdvanceBy(seconds(30));
  const ConfigurationRevision reinstated = fleet.RevisionAt(2);
  CHECK_TRUE(reinstated > 3);
  CHECK_TRUE(fleet.AllAt(reinstated));
  const auto accepted = fleet.Change(2, reinstated, {OrganisationPath("kitanda", 4)});
  fleet.time.AdvanceBy(seconds(2));
  CHECK_TRUE(accepted->value().has_value());
  CHECK_TRUE(fleet.AllAt(reinstated + 1));
  LONGS_EQUAL(2, WeightAt(fleet, 1, "new"));
  LONGS_EQUAL(4, WeightAt(fleet, 1, "kitanda"));
}

// A watch after a version that the restored store has not reached yet would miss the restore.
TEST(Configuration, StoreWatcherDetectsARestoreWithoutAnyChange) {
  const FakeStore::State backup = fleet.store.Save();
  fleet.Change(0, 1, {OrganisationPath("kitanda", 2)});
  fleet.time.AdvanceBy(seconds(2));
  fleet.store.Restore(backup);
  fleet.time.AdvanceBy(seconds(40));
  CHECK_TRUE(fleet.RevisionAt(0) > 2);
  CHECK_TRUE(fleet.AllAt(fleet.RevisionAt(0)));
}

TEST(Configuration, RemovalsReachInstancesThatMissedThem) {
  fleet.processes[5]->scheduler.Pause();
  fleet.Change(0, 1, {{"organisation/kitanda", std::nullopt}});
  fleet.time.AdvanceBy(seconds(20));
  fleet.processes[5]->scheduler.Resume();
  fleet.time.AdvanceBy(seconds(5));
  LONGS_EQUAL(2, fleet.RevisionAt(5));
  LONGS_EQUAL(0, WeightAt(fleet, 5, "kitanda"));
}

// Compaction must not lose or duplicate entries: an instance without peers reads all from the
// store.
TEST(Configuration, CompactedConfigurationIsReadWholeFromTheStore) {
  for (int change = 1; change <= 250; ++change) {
    fleet.Change(0, static_cast<ConfigurationRevision>(change), {LongOrganisationPath(change)});
    fleet.time.AdvanceBy(milliseconds(300));
  }
  CHECK_TRUE(fleet.AllAt(251));
  CHECK_TRUE(fleet.store.largest_value < 100'000);
  fleet.Cut(5);
  fleet.Restart(5);
  fleet.time.AdvanceBy(seconds(5));
  LONGS_EQUAL(251, fleet.RevisionAt(5));
  LONGS_EQUAL(251, fleet.At(5).ConfigurationInForce().Current()->organisations().size());
}

TEST(Configuration, FewInstancesWatchTheStore) {
  std::size_t holders = 0;
  for (std::size_t index = 0; index < 6; ++index) {
    holders += fleet.At(index).IsStoreWatcher() ? 1 : 0;
  }
  LONGS_EQUAL(6, holders);
  ControlFleet larger(30);
  larger.StartAll();
  larger.time.AdvanceBy(seconds(10));
  holders = 0;
  for (std::size_t index = 0; index < 30; ++index) {
    holders += larger.At(index).IsStoreWatcher() ? 1 : 0;
  }
  LONGS_EQUAL(6, holders);
}

// A single watcher for the whole fleet would leave one side of a network partition without changes.
TEST(Configuration, BothSidesOfAPartitionGetChanges) {
  fleet.Cut(3);
  fleet.time.AdvanceBy(seconds(10));
  fleet.Change(0, 1, {OrganisationPath("kitanda", 2)});
  fleet.time.AdvanceBy(seconds(3));
  CHECK_TRUE(fleet.AllAt(2));
}

}  // namespace zinnia
