#pragma once

namespace zinnia {

/** Streams of one service, as far as they determine shares of scarce capacity. */
struct ServiceDemand {
  /** This instance's streams at the time that the reports of the others are from. */
  double running = 0.0;

  /** This instance's streams that wait now, without the one that is to be placed. */
  double queued = 0.0;

  /** Streams of all other instances, as in their latest reports. */
  double others_running = 0.0;
};

}  // namespace zinnia
