#pragma once

namespace zinnia {

/** The virtual time of start-time fair queueing, and the start tags that follow from it.

    The start tag of a request is the finish tag of its organisation's previous request, but not
    earlier than `max_saved_requests` before the virtual time. With one request, an organisation
    below its share can send two in quick succession without delay, and an idle one saves up no
    more.
*/
class StartTags {
 public:
  explicit StartTags(double max_saved_requests = 1.0) : m_max_saved_requests(max_saved_requests) {}

  /** The lowest start tag that a request may get now. */
  double Earliest(double cost, double weight = 1.0) const;

  /** Returns the start tag of the next request of an organisation with this finish tag, and
      advances the finish tag by cost / weight. */
  double Assign(double& finish_tag, double cost, double weight = 1.0) const;

  /** A request with this start tag is served. */
  void OnServed(double start_tag);

  double VirtualTime() const { return m_virtual_time; }

 private:
  double m_max_saved_requests;
  double m_virtual_time = 0.0;
};

}  // namespace zinnia
