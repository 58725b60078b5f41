#include "zinnia_decisions/forwarding/reachability/peer_chooser.h"
#include "zinnia_base/time/virtual_time.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

using std::chrono::seconds;

TEST_GROUP(PeerChooser) {
  VirtualTime time;
  RandomSource random{1};
  PeerChooser peers{time, random, "self"};

  static Instance MakeInstance(const std::string& name, std::uint16_t requests_port) {
    Instance instance;
    instance.name = name;
    instance.requests_port = requests_port;
    return instance;
  }
};

// Guards against an instance that sends requests to itself, or to one that takes none.
TEST(PeerChooser, OnlyPeersThatTakeRequestsAreChosen) {
  CHECK_FALSE(peers.HasPeers({MakeInstance("self", 7), MakeInstance("older", 0)}));
  CHECK_FALSE(peers.Choose({MakeInstance("self", 7), MakeInstance("older", 0)}, {}).has_value());
  const auto chosen = peers.Choose({MakeInstance("self", 7), MakeInstance("peer", 7)}, {});
  CHECK_TRUE(chosen.has_value());
  CHECK_EQUAL("peer", chosen->name);
}

// Guards against asking the same peers again and again that reach no server either.
TEST(PeerChooser, APeerThatCouldNotHelpIsLeftOutForAWhile) {
  const std::vector<Instance> instances = {MakeInstance("a", 7), MakeInstance("b", 7)};
  peers.Exclude("a");
  for (int choice = 0; choice < 20; ++choice) {
    CHECK_EQUAL("b", peers.Choose(instances, {})->name);
  }
  CHECK_FALSE(peers.Choose(instances, {"b"}).has_value());
  time.AdvanceBy(seconds(2));
  CHECK_EQUAL("a", peers.Choose(instances, {"b"})->name);
}

// Guards against one peer that gets the requests of a whole failure domain.
TEST(PeerChooser, PeersShareTheRequests) {
  const std::vector<Instance> instances = {MakeInstance("a", 7), MakeInstance("b", 7),
                                           MakeInstance("c", 7)};
  std::map<InstanceName, int> chosen;
  for (int choice = 0; choice < 3'000; ++choice) {
    ++chosen[peers.Choose(instances, {})->name];
  }
  for (const auto& [name, times] : chosen) {
    CHECK_TRUE(times > 900 && times < 1'100);
  }
  CHECK_EQUAL(3U, chosen.size());
}

}  // namespace zinnia
