#include "zinnia_decisions/fleet_control/server_table.h"

#include <CppUTest/TestHarness.h>

namespace zinnia {

TEST_GROUP(ServerTable) {
  static constexpr int kListings = 10;

  ServerTable table;
  InstanceListing listing;

  void setup() override {
    ListedServer row;
    row.server.name = "a";
    listing.servers = {row};
    row.server.name = "b";
    listing.servers.push_back(row);
    table.OnListing(listing);
    listing.servers.pop_back();
  }

  BackendServerState StateAfterListings() {
    for (int count = 0; count < kListings; ++count) {
      table.OnListing(listing);
    }
    return table.StateOf(table.rows().at("b"));
  }
};

// Guards against a server that is taken for gone since its row can't be read.
TEST(ServerTable, AServerWhoseRowCannotBeReadIsListed) {
  listing.unreadable_servers = {"b"};
  CHECK(StateAfterListings() == BackendServerState::kLive);
}

// Control: one that is missing is not.
TEST(ServerTable, AServerThatIsMissingIsNotLive) {
  CHECK(StateAfterListings() != BackendServerState::kLive);
}

}  // namespace zinnia
