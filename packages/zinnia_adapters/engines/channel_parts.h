#pragma once

#include <boost/asio/io_context.hpp>

namespace zinnia {

class ChannelListener;
class Clock;
class Scheduler;
class SnapshotSource;

/** The objects that the engine links of one traffic thread work with. All must outlive the links
    and, after them, the loop's last run. */
struct ChannelParts {
  boost::asio::io_context& loop;
  const Clock& clock;
  Scheduler& scheduler;
  const SnapshotSource& snapshots;
  ChannelListener& listener;
};

}  // namespace zinnia
