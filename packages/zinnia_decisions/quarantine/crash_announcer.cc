#include "zinnia_decisions/quarantine/crash_announcer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "zinnia_decisions/membership/gossip_membership.h"

namespace zinnia {

struct CrashAnnouncer::Announcement {
  std::vector<CrashRumour> rumours;
  std::function<void()> done;
  std::map<InstanceName, Instance> unacknowledged;
  std::map<std::uint64_t, InstanceName> sent;
  Duration waited{};
  std::unique_ptr<ScheduledCall> timer;
};

CrashAnnouncer::CrashAnnouncer(GossipMembership& membership, Scheduler& scheduler)
    : m_membership(membership), m_scheduler(scheduler) {}

CrashAnnouncer::~CrashAnnouncer() = default;

void CrashAnnouncer::Announce(std::vector<CrashRumour> rumours, std::function<void()> done) {
  auto announcement = std::make_unique<Announcement>();
  announcement->rumours = std::move(rumours);
  announcement->done = std::move(done);
  for (const Instance& peer : m_membership.LiveInstances()) {
    if (peer.name != m_membership.Self().name && announcement->unacknowledged.size() < kMaxPeers) {
      announcement->unacknowledged.emplace(peer.name, peer);
    }
  }
  m_announcements.push_back(std::move(announcement));
  const auto added = std::prev(m_announcements.end());
  Send(**added);
  const bool no_peers = (*added)->unacknowledged.empty();
  (*added)->timer = m_scheduler.ScheduleAfter(no_peers ? Duration::zero() : kRetryInterval,
                                              [this, added] { OnTimer(added); });
}

void CrashAnnouncer::Send(Announcement& announcement) {
  for (const auto& [name, peer] : announcement.unacknowledged) {
    for (const CrashRumour& rumour : announcement.rumours) {
      announcement.sent.emplace(m_membership.PingWithRumour(peer, rumour), name);
    }
  }
}

void CrashAnnouncer::OnTimer(Announcements::iterator announcement) {
  Announcement& current = **announcement;
  current.waited += kRetryInterval;
  if (current.unacknowledged.empty() || current.waited >= kAcknowledgementTimeout) {
    Finish(announcement);
    return;
  }
  Send(current);
  current.timer =
      m_scheduler.ScheduleAfter(kRetryInterval, [this, announcement] { OnTimer(announcement); });
}

void CrashAnnouncer::OnAcknowledged(std::uint64_t sequence) {
  for (auto announcement = m_announcements.begin(); announcement != m_announcements.end();
       ++announcement) {
    Announcement& current = **announcement;
    const auto found = current.sent.find(sequence);
    if (found == current.sent.end()) {
      continue;
    }
    const InstanceName name = found->second;
    current.sent.erase(found);
    const bool has_more =
        std::ranges::any_of(current.sent, [&](const auto& entry) { return entry.second == name; });
    if (!has_more) {
      current.unacknowledged.erase(name);
    }
    if (current.unacknowledged.empty()) {
      Finish(announcement);
    }
    return;
  }
}

void CrashAnnouncer::Finish(Announcements::iterator announcement) {
  // Keeps the announcement alive until return: its own timer may be the caller.
  const std::unique_ptr<Announcement> finished = std::move(*announcement);
  m_announcements.erase(announcement);
  finished->done();
}

}  // namespace zinnia
