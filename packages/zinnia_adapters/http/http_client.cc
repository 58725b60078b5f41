#include "zinnia_adapters/http/http_client.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "zinnia_adapters/http/answer_reader.h"
#include "zinnia_adapters/http/answers_in_hand.h"
#include "zinnia_adapters/http/http_connection_pool.h"

namespace zinnia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Stream = HttpConnectionPool::Stream;
using StringRequest = http::request<http::string_body>;

constexpr auto kTuple = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 8'192;

/** One call of HttpClient. `answer_begun` is set by the first byte of an answer. */
struct Exchange {
  NetworkAddress address;
  HttpRequest request;
  TimePoint deadline{};
  HttpClient::Callback callback;
  bool on_kept_connection = false;
  bool answer_begun = false;
};

/** What has arrived of the answer to a call. `let_go` tells why the call was ended for the bound on
    all answers. */
struct AnswerUnderWay {
  AnswerUnderWay(const AnswerLimits& limits, bool is_head_request)
      : reader(limits, is_head_request) {}

  std::size_t HeldBytes() const { return head_bytes + buffer.capacity() + body.capacity(); }

  AnswersInHand::Call call = 0;
  AnswerReader reader;
  beast::flat_buffer buffer;
  std::size_t head_bytes = 0;
  std::string body;
  std::optional<HttpFailure> let_go;
};

/** A call whose answer is being read. */
struct ReadingCall {
  const NetworkAddress& address;
  Stream& stream;
  AnswerUnderWay& answer;
};

std::size_t BytesOf(const AnswerReader::Fields& head) {
  std::size_t bytes = 0;
  for (const auto& field : head) {
    bytes += field.name_string().size() + field.value().size();
  }
  return bytes;
}

/** A peer or path that went silent shows by itself within `kProbeSeconds` times two, also while a
    long poll waits for its answer and nothing else is sent. */
void ProbeWhileIdle(int descriptor) {
  constexpr int kOn = 1;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds, sizeof(kProbeSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof(kProbeSeconds));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

StringRequest ToBeast(const NetworkAddress& address, const HttpRequest& request) {
  StringRequest message(http::string_to_verb(request.method), request.target, 11);
  message.method_string(request.method);
  message.set(http::field::host, address.ToString());
  for (const auto& [name, value] : request.headers) {
    message.insert(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

HttpResponse ResponseOf(const AnswerReader& reader, std::string body) {
  HttpResponse response;
  response.status = reader.Status();
  for (const auto& field : reader.Head()) {
    response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  response.body = std::move(body);
  return response;
}

HttpFailure Failed(HttpFailureStage stage,
                   const NetworkAddress& address,
                   const beast::error_code& error) {
  return {stage, address.ToString() + ": " + error.message()};
}

HttpFailure Failed(const NetworkAddress& address, const AnswerFault& fault) {
  const auto stage = fault.kind == AnswerFaultKind::kCutShort ? HttpFailureStage::kNoAnswer
                                                              : HttpFailureStage::kBadAnswer;
  return {stage, address.ToString() + ": " + fault.detail};
}

}  // namespace

void throw_exception_from_error(const HttpFailure& failure, const boost::source_location&) {
  throw std::runtime_error(failure.message);
}

class HttpClient::Impl {
 public:
  /** With no `loop`, it runs its own on a thread of its own. */
  Impl(const Clock& clock, Post post, HttpClientOptions options, asio::io_context* loop)
      : m_clock(clock),
        m_post(std::move(post)),
        m_options(options),
        m_in_hand(options.answers_in_hand_bytes),
        m_own_context(loop == nullptr ? std::make_unique<asio::io_context>(1) : nullptr),
        m_context(loop == nullptr ? *m_own_context : *loop),
        m_pool(clock, options.idle_connections_per_address, options.idle_limit),
        m_work(asio::make_work_guard(m_context)) {
    if (m_own_context) {
      m_thread = std::thread([this] { m_context.run(); });
    }
  }

  ~Impl() {
    if (m_own_context) {
      m_context.stop();
      m_thread.join();
    }
  }

  void Start(std::shared_ptr<Exchange> exchange, Duration time_limit) {
    exchange->deadline = m_clock.Now() + time_limit;
    asio::post(m_context, [this, exchange = std::move(exchange)] {
      asio::co_spawn(m_context, Run(exchange), asio::detached);
    });
  }

 private:
  asio::awaitable<void> Run(std::shared_ptr<Exchange> exchange);
  asio::awaitable<HttpResult> TryOnce(Exchange& exchange, bool may_use_kept);
  asio::awaitable<std::optional<HttpFailure>> Connect(Exchange& exchange, Stream& stream);
  asio::awaitable<HttpResult> Converse(Exchange& exchange, std::unique_ptr<Stream> stream);
  asio::awaitable<std::optional<HttpFailure>> Read(Exchange& exchange,
                                                   Stream& stream,
                                                   AnswerUnderWay& answer);
  void AddToBody(AnswerUnderWay& answer, const std::string& bytes);
  void Hold(const AnswerUnderWay& answer, std::size_t bytes);
  void LetGo(const AnswersInHand::Excess& excess);
  void Finish(const std::shared_ptr<Exchange>& exchange, HttpResult result);

  const Clock& m_clock;
  const Post m_post;
  const HttpClientOptions m_options;
  std::map<NetworkAddress, std::size_t> m_in_flight;
  AnswersInHand m_in_hand;
  AnswersInHand::Call m_last_call = 0;
  std::map<AnswersInHand::Call, ReadingCall> m_answers;
  const std::unique_ptr<asio::io_context> m_own_context;
  asio::io_context& m_context;
  HttpConnectionPool m_pool;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

asio::awaitable<void> HttpClient::Impl::Run(std::shared_ptr<Exchange> exchange) {
  std::size_t& in_flight = m_in_flight[exchange->address];
  if (in_flight >= m_options.calls_in_flight_per_address) {
    Finish(exchange, HttpFailure{HttpFailureStage::kNotSent,
                                 exchange->address.ToString() + ": too many calls in flight"});
    co_return;
  }
  ++in_flight;
  HttpResult result = co_await TryOnce(*exchange, true);
  const bool stale = result.has_error() && exchange->on_kept_connection && !exchange->answer_begun;
  const bool harmless = result.has_error() && (exchange->request.repeatable ||
                                               result.error().stage == HttpFailureStage::kNotSent);
  if (stale && harmless) {
    result = co_await TryOnce(*exchange, false);
  }
  if (--in_flight == 0) {
    m_in_flight.erase(exchange->address);
  }
  Finish(exchange, std::move(result));
}

asio::awaitable<HttpResult> HttpClient::Impl::TryOnce(Exchange& exchange, bool may_use_kept) {
  auto stream = may_use_kept ? m_pool.Take(exchange.address) : nullptr;
  exchange.on_kept_connection = stream != nullptr;
  if (!stream) {
    stream = std::make_unique<Stream>(m_context);
    std::optional<HttpFailure> failure = co_await Connect(exchange, *stream);
    if (failure) {
      co_return std::move(*failure);
    }
  }
  HttpResult result = co_await Converse(exchange, std::move(stream));
  co_return result;
}

asio::awaitable<std::optional<HttpFailure>> HttpClient::Impl::Connect(Exchange& exchange,
                                                                      Stream& stream) {
  beast::error_code error;
  const auto ip = asio::ip::make_address(exchange.address.ip, error);
  if (error) {
    co_return Failed(HttpFailureStage::kNotSent, exchange.address, error);
  }
  const asio::ip::tcp::endpoint endpoint(ip, exchange.address.port);
  stream.expires_after(exchange.deadline - m_clock.Now());
  std::tie(error) = co_await stream.async_connect(endpoint, kTuple);
  if (error) {
    co_return Failed(HttpFailureStage::kNotSent, exchange.address, error);
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  ProbeWhileIdle(stream.socket().native_handle());
  co_return std::nullopt;
}

asio::awaitable<HttpResult> HttpClient::Impl::Converse(Exchange& exchange,
                                                       std::unique_ptr<Stream> stream) {
  StringRequest message = ToBeast(exchange.address, exchange.request);
  stream->expires_after(exchange.deadline - m_clock.Now());
  const auto [write_error, written] = co_await http::async_write(*stream, message, kTuple);
  if (write_error) {
    const auto stage = written > 0 ? HttpFailureStage::kNoAnswer : HttpFailureStage::kNotSent;
    co_return Failed(stage, exchange.address, write_error);
  }
  AnswerUnderWay answer(m_options.answer, message.method() == http::verb::head);
  answer.call = ++m_last_call;
  m_answers.emplace(answer.call, ReadingCall{exchange.address, *stream, answer});
  std::optional<HttpFailure> failure = co_await Read(exchange, *stream, answer);
  m_answers.erase(answer.call);
  m_in_hand.Remove(answer.call);
  if (failure) {
    co_return std::move(*failure);
  }
  if (answer.reader.KeepsConnection() && answer.buffer.size() == 0) {
    stream->expires_never();
    m_pool.Keep(exchange.address, std::move(stream));
  }
  co_return ResponseOf(answer.reader, std::move(answer.body));
}

asio::awaitable<std::optional<HttpFailure>> HttpClient::Impl::Read(Exchange& exchange,
                                                                   Stream& stream,
                                                                   AnswerUnderWay& answer) {
  while (!answer.reader.IsDone()) {
    const auto [error, bytes] =
        co_await stream.async_read_some(answer.buffer.prepare(kReadBytes), kTuple);
    answer.buffer.commit(bytes);
    exchange.answer_begun = exchange.answer_begun || bytes > 0;
    if (answer.let_go) {
      co_return std::move(answer.let_go);
    }
    if (error && error != asio::error::eof) {
      co_return Failed(HttpFailureStage::kNoAnswer, exchange.address, error);
    }
    const auto fault = error ? answer.reader.ReadEnd() : answer.reader.Read(answer.buffer);
    if (fault) {
      co_return Failed(exchange.address, *fault);
    }
    if (answer.reader.HasHead() && answer.head_bytes == 0) {
      answer.head_bytes = BytesOf(answer.reader.Head());
    }
    AddToBody(answer, answer.reader.TakeBody());
    if (answer.let_go) {
      co_return std::move(answer.let_go);
    }
  }
  co_return std::nullopt;
}

/** Ends calls before the body grows, so that all together never hold more than they may. */
void HttpClient::Impl::AddToBody(AnswerUnderWay& answer, const std::string& bytes) {
  const std::size_t needed = answer.body.size() + bytes.size();
  if (needed <= answer.body.capacity()) {
    Hold(answer, answer.HeldBytes());
    answer.body += bytes;
    return;
  }
  const std::size_t room =
      std::max(needed, std::min(2 * answer.body.capacity(), m_options.answer.body_bytes));
  Hold(answer, answer.HeldBytes() + room);
  if (answer.let_go) {
    return;
  }
  std::string grown;
  grown.reserve(room);
  grown += answer.body;
  grown += bytes;
  answer.body = std::move(grown);
  Hold(answer, answer.HeldBytes());
}

void HttpClient::Impl::Hold(const AnswerUnderWay& answer, std::size_t bytes) {
  m_in_hand.Set(answer.call, bytes);
  while (const auto excess = m_in_hand.TakeExcess()) {
    LetGo(*excess);
  }
}

/** Frees the body at once; the call itself ends when its read has returned. */
void HttpClient::Impl::LetGo(const AnswersInHand::Excess& excess) {
  const ReadingCall& reading = m_answers.at(excess.call);
  reading.answer.let_go = HttpFailure{
      HttpFailureStage::kBadAnswer,
      fmt::format("{}: all answers hold more than answers_in_hand_bytes = {}, this one {} bytes",
                  reading.address.ToString(), m_options.answers_in_hand_bytes, excess.bytes)};
  std::string().swap(reading.answer.body);
  reading.stream.close();
}

void HttpClient::Impl::Finish(const std::shared_ptr<Exchange>& exchange, HttpResult result) {
  m_post(
      [exchange, result = std::move(result)]() mutable { exchange->callback(std::move(result)); });
}

HttpClient::HttpClient(const Clock& clock, Post post, HttpClientOptions options)
    : m_impl(std::make_unique<Impl>(clock, std::move(post), options, nullptr)) {}

HttpClient::HttpClient(const Clock& clock,
                       Post post,
                       HttpClientOptions options,
                       asio::io_context& loop)
    : m_impl(std::make_unique<Impl>(clock, std::move(post), options, &loop)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const NetworkAddress& address,
                      HttpRequest request,
                      Duration time_limit,
                      Callback callback) {
  auto exchange = std::make_shared<Exchange>();
  exchange->address = address;
  exchange->request = std::move(request);
  exchange->callback = std::move(callback);
  m_impl->Start(std::move(exchange), time_limit);
}

}  // namespace zinnia
