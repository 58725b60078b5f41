#include "zinnia_adapters/engines/http_stage_links.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cassert>
#include <utility>

#include "zinnia_adapters/engines/engine_channel.h"
#include "zinnia_adapters/engines/side_calls.h"
#include "zinnia_adapters/engines/step_codec.h"
#include "zinnia_decisions/ports/snapshot_source.h"

namespace zinnia {
namespace {

namespace json = boost::json;

constexpr Duration kFindTimeout = std::chrono::milliseconds(500);
constexpr Duration kExportTimeout = std::chrono::seconds(5);
constexpr Duration kImportTimeout = std::chrono::seconds(5);

/** The import's body: the export's answer under the new attempt number. */
Result<std::string> MakeImport(const std::string& exported,
                               const SessionName& session,
                               AttemptNumber new_attempt) {
  boost::system::error_code error;
  json::value document = json::parse(exported, error);
  if (error || !document.is_object() || !document.as_object().contains("blob")) {
    return MakeError(ErrorKind::kBackendRejected, "the exported cache is cut or not understood");
  }
  document.as_object()["session"] = session;
  document.as_object()["attempt"] = new_attempt;
  return json::serialize(document);
}

Result<std::uint32_t> ReadLength(const std::string& body) {
  boost::system::error_code error;
  const json::value document = json::parse(body, error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* length = object ? object->if_contains("length") : nullptr;
  if (length == nullptr || !length->is_int64()) {
    return MakeError(ErrorKind::kBackendRejected, "the import's answer is not understood");
  }
  return static_cast<std::uint32_t>(length->as_int64());
}

}  // namespace

HttpStageLinks::HttpStageLinks(const ChannelParts& parts) : m_parts(parts) {}

HttpStageLinks::~HttpStageLinks() = default;

void HttpStageLinks::SendStep(const BackendServerName& server,
                              std::uint32_t hop,
                              StepRequest step,
                              std::weak_ptr<StepListener> listener) {
  const bool held = step.isolated && m_holds > 0;
  PendingStep pending{hop, std::move(step), std::move(listener), {}};
  if (held) {
    m_held.emplace_back(server, std::move(pending));
  } else {
    ChannelTo(server).Send(std::move(pending));
  }
}

void HttpStageLinks::ReleaseIsolated() {
  // Called without a HoldIsolated before it: steps would be let go while a crash is unknown.
  assert(m_holds > 0);
  if (--m_holds > 0) {
    return;
  }
  for (auto& [server, step] : std::exchange(m_held, {})) {
    ChannelTo(server).Send(std::move(step));
  }
}

void HttpStageLinks::ReleaseSession(const BackendServerName& server,
                                    const SessionName& session,
                                    AttemptNumber attempt) {
  ChannelTo(server).Side().Release(session, attempt);
}

void HttpStageLinks::FindSession(const BackendServerName& server,
                                 const SessionName& session,
                                 std::function<void(Result<HeldSession>)> callback) {
  const json::value body = {{"session", session}};
  ChannelTo(server).Side().Call(
      "/v1/sessions/find", json::serialize(body), kFindTimeout,
      [callback = std::move(callback)](const Result<std::string>& answer) {
        if (!answer) {
          callback(answer.error());
          return;
        }
        callback(DecodeHeldSession(*answer));
      });
}

void HttpStageLinks::MoveCache(const BackendServerName& from,
                               const BackendServerName& to,
                               const SessionName& session,
                               AttemptNumber attempt,
                               AttemptNumber new_attempt,
                               std::function<void(Result<std::uint32_t>)> callback) {
  const json::value body = {{"session", session}, {"attempt", attempt}};
  // The target's channel is taken now: when the export is over, these links may be gone.
  const auto target = ChannelTo(to).shared_from_this();
  ChannelTo(from).Side().Call(
      "/v1/cache/export", json::serialize(body), kExportTimeout,
      [target, session, new_attempt,
       callback = std::move(callback)](const Result<std::string>& exported) {
        if (!exported) {
          callback(exported.error());
          return;
        }
        auto import = MakeImport(*exported, session, new_attempt);
        if (!import) {
          callback(import.error());
          return;
        }
        target->Side().Call(
            "/v1/cache/import", std::move(*import), kImportTimeout,
            [target, session, new_attempt, callback](const Result<std::string>& imported) {
              const Result<std::uint32_t> length =
                  imported ? ReadLength(*imported) : Result<std::uint32_t>(imported.error());
              // An import whose answer was lost may have been kept: without the release, half a
              // cache would stay at the target under the new attempt.
              if (!length) {
                target->Side().Release(session, new_attempt);
              }
              callback(length);
            });
      });
}

EngineChannel& HttpStageLinks::ChannelTo(const BackendServerName& server) {
  const auto found = m_channels.find(server);
  if (found != m_channels.end()) {
    return *found->second;
  }
  DropOldChannels();
  return *m_channels.emplace(server, EngineChannel::Create(m_parts, server)).first->second;
}

void HttpStageLinks::DropOldChannels() {
  const auto snapshot = m_parts.snapshots.Current();
  std::erase_if(m_channels, [&](const auto& entry) {
    return !snapshot->servers.contains(entry.first) && entry.second->IsIdle();
  });
}

}  // namespace zinnia
