#include "zinnia_decisions/forwarding/beliefs/news_exchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "zinnia_decisions/forwarding/beliefs/instance_directory.h"
#include "zinnia_decisions/forwarding/beliefs/server_directory.h"
#include "zinnia_decisions/forwarding/beliefs/store_mirror.h"
#include "zinnia_decisions/once/alive_guard.h"

namespace zinnia {
namespace {

/** Stalls are told for this long; later ones have ended or lapsed. */
constexpr Duration kStallNewsLifetime = std::chrono::seconds(1);

/** What a server said of its layers is told for this long: each peer gets a report in it. Whoever
    takes it in tells it too, so it must be short beside the time between two changes of a server.
 */
constexpr Duration kLayersNewsLifetime = std::chrono::milliseconds(600);

/** Two, so that the others need not fall back on the store while one is frozen or refused. */
constexpr std::size_t kReadersOfDomain = 2;

/** Without news of a reader for this long an instance reads for itself: with the tick of a quarter
    of a second and one call, a change is then in force well within the two seconds allowed. Each
    reader tells up to a hundred peers at least once in it. */
constexpr Duration kReaderNewsLifetime = std::chrono::milliseconds(1'000);

/** A fetch of records that takes longer leaves the way free for one from another peer. A quarter of
    a megabyte takes a tenth of a second on a link of 20 Mbit/s that carries nothing else. */
constexpr Duration kFetchPatience = std::chrono::milliseconds(700);

/** A peer's word on the store holds for some reports. */
constexpr Duration kSteadyNewsLifetime = std::chrono::milliseconds(800);

}  // namespace

NewsExchange::NewsExchange(NewsTransport& transport,
                           Scheduler& scheduler,
                           const Clock& clock,
                           InstanceDirectory& instances,
                           StoreMirror& mirror,
                           NewsSink& sink,
                           std::vector<NetworkAddress> seeds,
                           NewsSettings settings)
    : m_transport(transport),
      m_scheduler(scheduler),
      m_clock(clock),
      m_instances(instances),
      m_mirror(mirror),
      m_sink(sink),
      m_seeds(std::move(seeds)),
      m_settings(settings) {}

void NewsExchange::Start() {
  Tick();
}

void NewsExchange::Tick() {
  std::vector<NetworkAddress> near;
  std::vector<NetworkAddress> far;
  for (const Instance& peer : m_instances.Peers()) {
    const bool is_near = peer.failure_domain == m_instances.Self().failure_domain;
    (is_near ? near : far).push_back(peer.peer_address);
  }
  if (near.empty() && far.empty()) {
    near = m_seeds;
    std::erase(near, m_instances.Self().peer_address);
  }
  SendInTurn(near, m_settings.most_near_peers_at_once, m_next_near, true);
  if (ShouldRead()) {
    for (const NetworkAddress& reader : OtherReaders()) {
      Send(reader, false);
    }
  } else {
    SendInTurn(far, m_settings.most_far_peers_at_once, m_next_far, false);
  }
  m_timer = m_scheduler.ScheduleAfter(m_settings.interval, [this] { Tick(); });
}

/** By name the first of each other failure domain, which reads for it unless it died lately. */
std::vector<NetworkAddress> NewsExchange::OtherReaders() const {
  std::set<FailureDomainName> seen = {m_instances.Self().failure_domain};
  std::vector<NetworkAddress> readers;
  for (const Instance& peer : m_instances.Peers()) {
    if (seen.insert(peer.failure_domain).second) {
      readers.push_back(peer.peer_address);
    }
  }
  return readers;
}

void NewsExchange::SendInTurn(const std::vector<NetworkAddress>& peers,
                              std::size_t most,
                              std::size_t& next,
                              bool are_near) {
  for (std::size_t sent = 0; sent < std::min(peers.size(), most); ++sent) {
    Send(peers[next++ % peers.size()], are_near);
  }
}

NewsReport NewsExchange::MakeReport(bool to_near) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_stalls,
                [now](const auto& stall) { return now - stall.second > kStallNewsLifetime; });
  NewsReport report;
  report.instance = m_instances.Self();
  report.revision = m_mirror.IsFilled() ? m_mirror.Revision() : 0;
  const bool is_reader = ShouldRead();
  if (to_near) {
    report.uses = m_uses;
    for (const auto& [domain, uses] : m_other_domains) {
      if (is_reader && now - uses.first < LoadBook::kPeerReportLifetime) {
        report.domain_uses[domain] = uses.second;
      }
    }
  } else if (is_reader) {
    report.domain_uses[m_instances.Self().failure_domain] = m_domain_sum;
  }
  std::erase_if(m_layers, [now](const auto& entry) {
    return now - entry.second.first > kLayersNewsLifetime;
  });
  for (const auto& [server, heard] : m_layers) {
    report.layers.push_back({server, heard.second});
  }
  report.slow_servers = m_slow_servers;
  report.leaving = m_leaving;
  report.is_reader = m_mirror.IsInContact() && is_reader;
  report.store_is_steady = m_mirror.IsSteadyFor(ServerDirectory::kDoubtAfterFailure);
  for (const auto& [server, seen_at] : m_stalls) {
    report.stalls.push_back(
        {server, std::chrono::duration_cast<std::chrono::milliseconds>(now - seen_at)});
  }
  return report;
}

void NewsExchange::Send(const NetworkAddress& peer, bool is_near) {
  m_transport.Exchange(
      peer, MakeReport(is_near),
      WhileAlive(m_alive, [this, peer, is_near](const Result<MirrorDelta>& answer) {
        if (answer) {
          FetchIfNewer(peer, is_near, answer->revision);
        }
      }));
}

void NewsExchange::FetchIfNewer(const NetworkAddress& peer, bool is_near, std::uint64_t revision) {
  const TimePoint now = m_clock.Now();
  const bool is_behind = revision > m_mirror.Revision() || (revision > 0 && !m_mirror.IsFilled());
  if (!is_behind || (m_fetch_began_at && now - *m_fetch_began_at < kFetchPatience)) {
    return;
  }
  m_fetch_began_at = now;
  const std::uint64_t number = ++m_fetch_number;
  NewsReport report = MakeReport(is_near);
  report.wants_records = true;
  m_transport.Exchange(peer, report,
                       WhileAlive(m_alive, [this, number](const Result<MirrorDelta>& delta) {
                         if (number == m_fetch_number) {
                           m_fetch_began_at.reset();
                         }
                         if (delta) {
                           m_mirror.Merge(*delta);
                         }
                       }));
}

void NewsExchange::SendToAll() {
  const FailureDomainName& own = m_instances.Self().failure_domain;
  for (const Instance& peer : m_instances.Peers()) {
    Send(peer.peer_address, peer.failure_domain == own);
  }
}

void NewsExchange::TellStall(const BackendServerName& server) {
  const bool is_news = !m_stalls.contains(server);
  m_stalls[server] = m_clock.Now();
  if (!is_news) {
    return;
  }
  SendToAll();
}

void NewsExchange::TellAdvance() {
  if (!ShouldRead() || m_mirror.Revision() <= m_told_revision) {
    return;
  }
  m_told_revision = m_mirror.Revision();
  for (const Instance& peer : m_instances.Peers()) {
    if (peer.failure_domain == m_instances.Self().failure_domain) {
      Send(peer.peer_address, true);
    }
  }
}

void NewsExchange::TellLeaving() {
  m_leaving = true;
  SendToAll();
}

void NewsExchange::OnDomainNews(const NewsReport& report, bool is_near) {
  if (is_near) {
    m_sink.OnPeerUses(report.instance.name, report.uses);
  }
  for (const auto& [domain, uses] : report.domain_uses) {
    if (domain == m_instances.Self().failure_domain) {
      continue;
    }
    if (!is_near) {
      m_other_domains[domain] = {m_clock.Now(), uses};
    }
    m_sink.OnDomainUses(domain, uses);
  }
}

bool NewsExchange::IsNamedReader() const {
  const Instance& self = m_instances.Self();
  const auto live = m_instances.LiveInstances();
  const auto before_self = std::count_if(live.begin(), live.end(), [&](const Instance& instance) {
    return instance.failure_domain == self.failure_domain && instance.name < self.name;
  });
  return static_cast<std::size_t>(before_self) < kReadersOfDomain;
}

bool NewsExchange::ShouldRead() const {
  return IsNamedReader() || !m_reader_heard_at ||
         m_clock.Now() - *m_reader_heard_at >= kReaderNewsLifetime;
}

bool NewsExchange::SomePeerIsSteady() const {
  return m_steady_peer_heard_at && m_clock.Now() - *m_steady_peer_heard_at < kSteadyNewsLifetime;
}

MirrorDelta NewsExchange::OnNews(const NewsReport& report) {
  if (report.leaving) {
    m_instances.OnLeft(report.instance.name);
  } else {
    m_instances.OnHeard(report.instance);
  }
  if (report.store_is_steady) {
    m_steady_peer_heard_at = m_clock.Now();
  }
  const bool is_near = report.instance.failure_domain == m_instances.Self().failure_domain;
  if (report.is_reader && is_near) {
    m_reader_heard_at = m_clock.Now();
  }
  OnDomainNews(report, is_near);
  for (const LayersNews& layers : report.layers) {
    m_sink.OnPeerLayers(layers);
  }
  if (!report.slow_servers.empty()) {
    m_sink.OnPeerPaces(report.slow_servers);
  }
  for (const StallNews& stall : report.stalls) {
    if (!m_stalls.contains(stall.server)) {
      m_stalls[stall.server] = m_clock.Now() - stall.age;
      m_sink.OnPeerStall(stall);
    }
  }
  if (!report.leaving) {
    FetchIfNewer(report.instance.peer_address, is_near, report.revision);
  }
  if (!m_mirror.IsFilled()) {
    return {};
  }
  if (report.wants_records && report.revision < m_mirror.Revision()) {
    return m_mirror.ChangesAfter(report.revision);
  }
  MirrorDelta just_revision;
  just_revision.revision = m_mirror.Revision();
  return just_revision;
}

}  // namespace zinnia
