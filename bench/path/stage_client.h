#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace zinnia::bench {

/** Steps from the benchmark straight to one engine, batched as zinniad batches them: what waits
   goes in one request as soon as a lane is free, two lanes for decode steps and one for prefills.

    The least that a driver can do: no deadlines, no failures, no checks.
*/
class StageClient {
 public:
  /** Gets the engine's answer to one step. */
  using OnAnswer = std::function<void(const boost::json::object& answer)>;

  StageClient(boost::asio::io_context& loop, const std::string& address);
  ~StageClient();

  void Send(bool prefill, std::string step, OnAnswer on_answer);

 private:
  struct Step {
    std::string text;
    OnAnswer on_answer;
  };
  struct Lane;
  struct Queue {
    std::deque<Step> steps;
    std::vector<std::unique_ptr<Lane>> lanes;
  };

  void Flush();
  void FlushQueue(Queue& queue);
  void SendBatch(Queue& queue, Lane& lane);
  void ReadAnswer(Lane& lane);
  bool TakeAnswer(Lane& lane);

  boost::asio::io_context& m_loop;
  Queue m_decode;
  Queue m_prefill;
  bool m_flush_posted = false;
};

}  // namespace zinnia::bench
