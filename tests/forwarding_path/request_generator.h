#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/** A sound request, and what its server must get of it. */
struct GeneratedRequest {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  std::string bytes;
};

/** Draws sound requests in every form: with a length or in chunks, with extensions of chunks and
    trailers, and bodies whose ends look like the framing of chunks. */
class RequestGenerator {
 public:
  explicit RequestGenerator(std::uint64_t seed) : m_random(seed) {}

  GeneratedRequest Draw(const std::string& id) {
    GeneratedRequest request;
    request.id = id;
    request.method = OneIn(3) ? "PUT" : "POST";
    request.target = "/safe/" + id + (OneIn(4) ? "?part=0" : "");
    request.body = DrawBody();
    request.bytes = fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nX-Id: {}\r\nX-Key: key-1\r\n{}{}",
                                request.method, request.target, id,
                                OneIn(6) ? "Expect: 100-continue\r\n" : "", Framed(request.body));
    return request;
  }

  /** Cuts bytes into pieces at any places, often near their end. */
  std::vector<std::string> Cut(std::string_view bytes) {
    std::vector<std::size_t> places = {bytes.size()};
    for (std::uint64_t count = Below(4); count > 0; --count) {
      const std::size_t from_end =
          Below(2) == 0 ? bytes.size() : std::min<std::size_t>(8, bytes.size());
      places.push_back(bytes.size() - Below(from_end));
    }
    std::sort(places.begin(), places.end());
    std::vector<std::string> pieces;
    std::size_t from = 0;
    for (const std::size_t place : places) {
      if (place > from) {
        pieces.emplace_back(bytes.substr(from, place - from));
      }
      from = place;
    }
    return pieces;
  }

  std::uint64_t Below(std::uint64_t bound) { return m_random() % bound; }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }

 private:
  std::string DrawBody() {
    static constexpr std::string_view kEnds[] = {
        "", "0", "00", "0\r\n", "0\r\n\r", "0\r\n\r\n", "0;\r\n", "\r\n", "\n", "1\r\n", "x0\r\n"};
    std::string body;
    const std::uint64_t length = OneIn(2) ? Below(4) : Below(5'000);
    while (body.size() < length) {
      body.push_back("0123 \r\n;abc"[Below(11)]);
    }
    return body + std::string(kEnds[Below(std::size(kEnds))]);
  }

  std::string Framed(const std::string& body) {
    if (OneIn(2)) {
      return fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    }
    std::string text = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t from = 0; from < body.size();) {
      const std::size_t count =
          std::min<std::size_t>(1 + Below(OneIn(2) ? 5 : 2'000), body.size() - from);
      text += fmt::format("{}{:x}{}\r\n{}\r\n", OneIn(5) ? "00" : "", count,
                          OneIn(5) ? ";a=\"0\"" : "", body.substr(from, count));
      from += count;
    }
    return text + (OneIn(4) ? "0;last\r\n" : "0\r\n") + (OneIn(4) ? "X-Trailer: 0\r\n" : "") +
           "\r\n";
  }

  std::mt19937_64 m_random;
};

}  // namespace zinnia
