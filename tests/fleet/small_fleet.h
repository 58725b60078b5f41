#pragma once

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/soak/backend.h"
#include "platform/soak/caller.h"
#include "platform/soak/configuration_judge.h"
#include "platform/soak/fleet.h"
#include "platform/soak/ledger.h"
#include "platform/soak/operator_standin.h"
#include "platform/soak/store_standin.h"

namespace zinnia::platform::soak {

/** Real instances with played servers, store and callers, all judged by the ledger. */
class SmallFleet {
 public:
  /** `name`: of the folder for settings and logs. */
  SmallFleet(const std::string& name, std::size_t instances, std::size_t servers) {
    for (std::size_t index = 0; index < servers; ++index) {
      backends.push_back(
          std::make_unique<Backend>(fmt::format("server-{}", index), ledger, m_store));
      backends.back()->Register();
    }
    const std::string folder = std::string(ZINNIA_BINARIES "/fleet/") + name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    m_fleet = std::make_unique<Fleet>(
        FleetPlaces{ZINNIA_BINARIES "/packages/zinnia_apps/zinniad", folder}, instances,
        /*failure_domains=*/1, m_store.Port(), ledger);
    m_judge = std::make_unique<ConfigurationJudge>(*m_fleet, ledger);
    m_configuration = std::make_unique<OperatorStandin>(m_store, *m_fleet, ledger, *m_judge);
    for (const auto& member : m_fleet->Members()) {
      m_fleet->Start(*member);
    }
  }

  ~SmallFleet() {
    m_callers.clear();
    if (!m_is_terminated) {
      Terminate();
    }
    for (const auto& member : m_fleet->Members()) {
      while (!m_fleet->HasEnded(*member)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    }
  }

  SmallFleet(const SmallFleet&) = delete;
  SmallFleet& operator=(const SmallFleet&) = delete;

  /** Waits until all instances serve; false if one does not. */
  bool IsServed() {
    for (const auto& member : m_fleet->Members()) {
      if (!IsServed(*member)) {
        return false;
      }
    }
    return true;
  }

  const std::vector<std::unique_ptr<Member>>& Members() const { return m_fleet->Members(); }

  void Terminate() {
    for (const auto& member : m_fleet->Members()) {
      m_fleet->Terminate(*member);
    }
    m_is_terminated = true;
  }

  void CallersCome(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      m_callers.push_back(
          std::make_unique<Caller>(fmt::format("caller-{}", index), *m_fleet, ledger, calm));
    }
  }

  Ledger ledger;
  std::vector<std::unique_ptr<Backend>> backends;

  /** Every request must be served. */
  std::atomic<bool> calm = false;

 private:
  static bool IsServed(Member& member) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    for (int number = 0; std::chrono::steady_clock::now() < limit; ++number) {
      auto socket = Socket::Connect(member.callers_port);
      OutgoingCall call;
      call.id = fmt::format("start-{}-{}", member.name, number);
      call.path = "/read/room";
      if (socket && SendCall(*socket, call, member).status == 200) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  bool m_is_terminated = false;
  StoreStandin m_store;
  std::unique_ptr<Fleet> m_fleet;
  std::unique_ptr<ConfigurationJudge> m_judge;
  std::unique_ptr<OperatorStandin> m_configuration;
  std::list<std::unique_ptr<Caller>> m_callers;
};

}  // namespace zinnia::platform::soak
