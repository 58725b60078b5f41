#include "zinnia_decisions/ports/peer_messages.h"

namespace zinnia {

std::string_view NameOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      break;
  }
  return "left";
}

std::string_view NameOf(IntentVerdict verdict) {
  switch (verdict) {
    case IntentVerdict::kGranted:
      return "granted";
    case IntentVerdict::kAnswered:
      return "answered";
    case IntentVerdict::kStarted:
      return "started";
    case IntentVerdict::kKeyReused:
      break;
  }
  return "key_reused";
}

}  // namespace zinnia
