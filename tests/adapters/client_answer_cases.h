#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/control_raw_http_server.h"

namespace zinnia {

/** What a server sends for one request, which clients must all judge alike. */
struct ClientAnswerCase {
  std::string_view name;
  std::string_view bytes;
};

/** The answer with the body "ok" stands behind other heads. */
inline constexpr std::array kAnswersBehindInterimHeads = {
    ClientAnswerCase{"continue",
                     "HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"processing",
                     "HTTP/1.1 102 Processing\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"early hints, which name a length",
                     "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    ClientAnswerCase{"continue, and the answer later",
                     "HTTP/1.1 100 Continue\r\n\r\n<pause>"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"two interim heads, each in two parts",
                     "HTTP/1.1 102 Pro<pause>cessing\r\n\r\nHTTP/1.1 100 Con<pause>tinue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no<pause>k"},
};

inline constexpr std::array kNoAnswersOfServers = {
    ClientAnswerCase{"switching protocols",
                     "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
                     "Upgrade: other\r\n\r\n"},
    ClientAnswerCase{"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"status 000 behind an interim head",
                     "HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"a status below all", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"a status above all", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok"},
    ClientAnswerCase{"switching protocols behind an interim head",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Odd\r\n\r\n"},
    ClientAnswerCase{"an encoding that nobody asked for",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\n\r\n"},
    ClientAnswerCase{"no HTTP", "\x01\x02garbage\r\n\r\n"},
};

/** The body "ok", and bytes that belong to no request. */
inline constexpr std::array kAnswersWithBytesBehind = {
    ClientAnswerCase{"a second answer",
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"},
    ClientAnswerCase{"a second answer, later",
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok<pause>"
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"},
    ClientAnswerCase{"half a line", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\nHTT"},
    ClientAnswerCase{"a line end behind chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\n\r\n\r\n"},
};

inline std::string SoundAnswer() {
  return "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
}

inline constexpr std::size_t kAnswerHeads = 17;

/** One head more than clients read over. */
inline std::string TooManyInterimHeads() {
  std::string bytes;
  for (std::size_t i = 0; i < kAnswerHeads; ++i) {
    bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  return bytes + SoundAnswer();
}

}  // namespace zinnia
