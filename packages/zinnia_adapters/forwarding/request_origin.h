#pragma once

namespace zinnia {

/** Who sent a request to this instance. kPeer: another instance, which reaches no server and got it
    from the caller. */
enum class RequestOrigin { kCaller, kPeer };

}  // namespace zinnia
