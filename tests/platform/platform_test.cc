#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <iterator>
#include <random>

#include "platform/base64.h"
#include "platform/engine_client.h"
#include "platform/platform_codec.h"
#include "platform/platform_store.h"
#include "platform/prompt_parts.h"
#include "platform/record_reader.h"
#include "tests/adapters/traffic_loop.h"
#include "tests/adapters/traffic_scripted_server.h"
#include "zinnia_adapters/http/http_client.h"
#include "zinnia_base/time/system_clock.h"

#include <CppUTest/TestHarness.h>

namespace zinnia::platform {

TEST_GROUP(PlatformHeaders) {
  PlatformCodec codec;
  MessageCodec::Fields fields;
};

TEST(PlatformHeaders, ReadsWhatARequestCarries) {
  fields.set("Zinniastage-Attempt-Id", "r-1");
  fields.set("Authorization", "Token key");
  fields.set("Zinniastage-Deadline-Ms", "1500");
  fields.set("Zinniastage-Token-Usage", "1460,80");
  fields.set("Zinniastage-Length-Hint", "60");
  fields.set("Last-Event-Id", "12");
  const RequestFacts facts = codec.ReadRequest(fields);
  STRCMP_EQUAL("r-1", facts.id.c_str());
  STRCMP_EQUAL("key", facts.api_key.c_str());
  CHECK_EQUAL(1'500, facts.deadline->count());
  CHECK_EQUAL(1'460U, facts.prompt_tokens);
  CHECK_EQUAL(80U, facts.most_answer_tokens);
  CHECK_EQUAL(60U, *facts.expected_answer_tokens);
  CHECK_EQUAL(12U, *facts.last_event_id);
}

TEST(PlatformHeaders, NonsenseIsTakenForMissing) {
  fields.set("Authorization", "Basic key");
  fields.set("Zinniastage-Deadline-Ms", "soon");
  fields.set("Zinniastage-Token-Usage", ",");
  const RequestFacts facts = codec.ReadRequest(fields);
  CHECK_TRUE(facts.api_key.empty());
  CHECK_FALSE(facts.deadline.has_value());
  CHECK_EQUAL(0U, facts.prompt_tokens);
}

// Symptom: a server sees a caller's key, or believes an organisation that the caller made up.
// Cause: headers of the caller passed on that only the router may set.
TEST(PlatformHeaders, TheCallersKeyAndItsOwnClaimsDoNotReachServers) {
  fields.set("Authorization", "Token key");
  fields.set("Zinniastage-Tenant-Id", "made-up");
  fields.set("Zinniastage-Target-Instance", "made-up");
  fields.set("Zinniastage-Hop-Count", "made-up");
  ForwardingMarks marks;
  marks.server = "i-1";
  marks.deadline_left = std::chrono::milliseconds(700);
  marks.path = {{"i-1", {"10.0.0.1", 80}, {0, 20}}, {"i-2", {"10.0.0.2", 80}, {20, 80}}};
  codec.MarkRequest(fields, marks);
  CHECK_EQUAL(0U, fields.count("Authorization"));
  CHECK_EQUAL(0U, fields.count("Zinniastage-Tenant-Id"));
  STRCMP_EQUAL("i-1", std::string(fields["Zinniastage-Target-Instance"]).c_str());
  STRCMP_EQUAL("700", std::string(fields["Zinniastage-Deadline-Ms"]).c_str());
  STRCMP_EQUAL("10.0.0.1:80=0-20,10.0.0.2:80=20-80",
               std::string(fields["Zinniastage-Hop-Count"]).c_str());
  CHECK_EQUAL(0U, fields.count("Zinniastage-Request-Priority"));
}

TEST(PlatformHeaders, ServersAreToldThePriorityOfClassesUpToTheLastTheyKnow) {
  ForwardingMarks marks;
  marks.priority = 2;
  codec.MarkRequest(fields, marks);
  STRCMP_EQUAL("2", std::string(fields["Zinniastage-Request-Priority"]).c_str());
  marks.priority = 40;
  codec.MarkRequest(fields, marks);
  STRCMP_EQUAL("9", std::string(fields["Zinniastage-Request-Priority"]).c_str());
}

TEST(PlatformHeaders, ReadsWhatAnAnswerVouchesFor) {
  CHECK_TRUE(codec.ReadAnswer(421, fields).not_run);
  CHECK_FALSE(codec.ReadAnswer(503, fields).not_run);
  fields.set("Zinniastage-Not-Executed", "1");
  fields.set("At-Server", "10.0.0.2:80");
  const AnswerFacts facts = codec.ReadAnswer(503, fields);
  CHECK_TRUE(facts.not_run);
  CHECK_FALSE(facts.is_signed);
  STRCMP_EQUAL("10.0.0.2:80", facts.server_at_fault.c_str());
}

TEST(PlatformHeaders, ReadsTheLimitThatAServerNames) {
  CHECK_FALSE(codec.ReadAnswer(200, fields).notices.requests_per_second.has_value());
  fields.set("Server-Limit", "11.2");
  DOUBLES_EQUAL(11.2, codec.ReadAnswer(200, fields).notices.requests_per_second.value(), 1e-9);
  fields.set("Server-Limit", "0");
  DOUBLES_EQUAL(0.0, codec.ReadAnswer(503, fields).notices.requests_per_second.value(), 1e-9);
  for (const char* no_rate : {"", "many", "-1", "nan", "inf", "12 a second"}) {
    fields.set("Server-Limit", no_rate);
    CHECK_FALSE(codec.ReadAnswer(200, fields).notices.requests_per_second.has_value());
  }
}

TEST(PlatformHeaders, ReadsThePauseThatARefusingServerAsksFor) {
  fields.set("Retry-After", "2.5");
  CHECK_TRUE(codec.ReadAnswer(503, fields).notices.pause == std::chrono::milliseconds(2'500));
  CHECK_FALSE(codec.ReadAnswer(200, fields).notices.pause.has_value());
  fields.set("Retry-After", "1e300");
  CHECK_TRUE(codec.ReadAnswer(503, fields).notices.pause == std::chrono::hours(24));
  for (const char* unreadable : {"", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    fields.set("Retry-After", unreadable);
    const ServerNotices notices = codec.ReadAnswer(503, fields).notices;
    CHECK_FALSE(notices.pause.has_value());
    STRCMP_CONTAINS("Retry-After", notices.unreadable.c_str());
  }
}

TEST(PlatformHeaders, ReadsThatAServerIsLeaving) {
  CHECK_FALSE(codec.ReadAnswer(200, fields).notices.is_leaving);
  fields.set("Server-Leaving", "1");
  CHECK_TRUE(codec.ReadAnswer(200, fields).notices.is_leaving);
}

TEST_GROUP(PromptParts) {
  static constexpr const char* kName = "Zinniastage-Prefix-Hash";

  PlatformCodec codec;
  MessageCodec::Fields fields;

  std::vector<Fingerprint> Read(const std::string& value) {
    fields.set(kName, value);
    return codec.ReadRequest(fields).prompt_parts;
  }

  static std::string Entry(std::size_t number) {
    return fmt::format("{:x}:10", number);
  }
};

TEST(PromptParts, AllButTheLastAreReadInOrder) {
  CHECK_TRUE(codec.ReadRequest(fields).prompt_parts.empty());
  CHECK_TRUE(Read("").empty());
  CHECK_TRUE(Read("a1:10").empty());
  const auto one = Read("a1:10,b2:20");
  CHECK_EQUAL(1U, one.size());
  const auto two = Read("c3:1,a1:10,b2:20");
  CHECK_EQUAL(2U, two.size());
  CHECK_TRUE(two[1] == one[0]);
  CHECK_FALSE(two[0] == one[0]);
}

// Guards against one part that counts as several, and against several that count as one.
TEST(PromptParts, SpacesLetterCaseAndLeadingZerosMakeNoOtherPart) {
  const auto part = Read("a1f:10,9:1");
  for (const char* same : {"A1F:10,9:1", " \ta1f : 10 , 9:1", "00a1F:7,9:1", "a1f:10,0A1f:3,9:1"}) {
    CHECK_TRUE(Read(same) == part);
  }
  CHECK_EQUAL(1U, Read("0:1,000:1,9:1").size());
  for (const char* other : {"a1f0:10,9:1", "1f:10,9:1", "0:10,9:1"}) {
    CHECK_EQUAL(1U, Read(other).size());
    CHECK_FALSE(Read(other) == part);
  }
}

TEST(PromptParts, MalformedEntriesAreSkipped) {
  const auto sound = Read("a1:10,b2:20,9:1");
  CHECK_EQUAL(2U, sound.size());
  for (const char* malformed : {"", "a", ":", ":10", "c3:", "xyz:10", "0x1:10", "-1:10", "c3:-1",
                                "c3:many", "c3:1:2", "c 3:1", "c3;1", "\xff:1"}) {
    CHECK_TRUE(Read(std::string("a1:10,") + malformed + ",b2:20,9:1") == sound);
  }
}

// Guards against a request whose own part is taken for one that others share.
TEST(PromptParts, TheLastEntryIsTheLastEvenIfMalformed) {
  const auto sound = Read("a1:10,b2:20,9:1");
  CHECK_TRUE(Read("a1:10,b2:20,nonsense") == sound);
  CHECK_TRUE(Read("a1:10,b2:20,") == sound);
}

TEST(PromptParts, SeveralLinesAreOneList) {
  const auto sound = Read("a1:10,b2:20,9:1");
  fields.set(kName, "a1:10,b2:20");
  fields.insert(kName, "9:1");
  CHECK_TRUE(codec.ReadRequest(fields).prompt_parts == sound);
}

// Guards against a header that makes each request costly.
TEST(PromptParts, TheFirstOnesAreReadUpToABound) {
  std::string many;
  for (std::size_t number = 0; number < 2 * kMaxPromptParts; ++number) {
    many += Entry(number) + "," + Entry(number) + ",";
  }
  const auto parts = Read(many + "9:1");
  CHECK_EQUAL(kMaxPromptParts, parts.size());
  CHECK_TRUE(parts[0] == Read(Entry(0) + ",9:1")[0]);
  CHECK_TRUE(parts.back() == Read(Entry(kMaxPromptParts - 1) + ",9:1")[0]);
}

// Guards against a server or a peer that reads other parts than the caller sent.
TEST(PromptParts, TheHeaderIsPassedOnUnchanged) {
  const std::string sent = "00A1:10 , a1:10,nonsense,,c3:7";
  for (const bool to_peer : {false, true}) {
    fields.clear();
    fields.insert(kName, sent);
    fields.insert(kName, "D4:1");
    ForwardingMarks marks;
    marks.server = "i-1";
    to_peer ? codec.MarkRequestForPeer(fields, marks) : codec.MarkRequest(fields, marks);
    const auto [first, end] = fields.equal_range(kName);
    CHECK_EQUAL(2, std::distance(first, end));
    STRCMP_EQUAL(sent.c_str(), std::string(first->value()).c_str());
    STRCMP_EQUAL("D4:1", std::string(std::next(first)->value()).c_str());
  }
}

TEST_GROUP(PlatformRecords) {
  PlatformRecordReader reader;
};

TEST(PlatformRecords, Base64ReadsBackAllBytes) {
  for (const std::string& bytes : {std::string(), std::string("a"), std::string("ab"),
                                   std::string("abc"), std::string("\0\xff\x80", 3)}) {
    CHECK_TRUE(bytes == DecodeBase64(EncodeBase64(bytes)));
  }
  STRCMP_EQUAL("bm9kZS0x", EncodeBase64("node-1").c_str());
}

TEST(PlatformRecords, KnowsWhoseRecordAKeyIs) {
  CHECK_TRUE(reader.IsConfiguration("op/config"));
  STRCMP_EQUAL("i-1", reader.RegistrationOf("servers/i-1")->c_str());
  CHECK_FALSE(reader.RegistrationOf("instances/n").has_value());
}

TEST(PlatformRecords, ReadsTheConfiguration) {
  const auto rules = reader.ReadRules(
      R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/p/","type":"streaming",
      "timeout_ms":20000,"target_latency_ms":500,"priority":1,"max_attempts":2,"public":false,
      "resumable":true,"target_gap_ms":200,
      "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
      {"name":"q","hostname":"h","path_prefix":"/q/","type":"something new","service":"t"}],
      "services":[{"name":"s","max_connections":10,"runtime":{"layers":80,"layer_mb":1750.0,
      "kv_bytes":918000,"step_ms":1.02,"usual":{"prompt":774,"answer":200},
      "types":[{"name":"a100","megabytes":72000.0,"pace":2.4,"read_factor":3.2}]}},
      {"name":"t"}],"limits":{"max_header_bytes":100,"idle_timeout_ms":5000},
      "tenants":[{"name":"o","api_keys":["k1","k2"],"priority":3},{"name":"p","api_keys":["k3"]}]})");
  CHECK_TRUE(rules.has_value());
  CHECK_EQUAL(7U, rules->version);
  const ForwardRoute& route = rules->routes[0];
  CHECK_TRUE(route.MayRepeat());
  CHECK_EQUAL(2U, route.services.size());
  CHECK_EQUAL(200, route.event_gap_objective.count());
  CHECK_TRUE(rules->routes[1].repeatability == Repeatability::kNonIdempotent);
  CHECK_EQUAL(1U, rules->routes[1].most_servers);
  CHECK_TRUE(rules->services.at("s").engine->IsLayered());
  DOUBLES_EQUAL(2.4, rules->services.at("s").engine->accelerators.at("a100").step_factor, 1e-9);
  CHECK_FALSE(rules->services.at("t").engine.has_value());
  STRCMP_EQUAL("o", rules->organisation_by_key.at("k2").c_str());
  CHECK_EQUAL(3U, rules->organisation_priorities.at("o"));
  CHECK_FALSE(rules->organisation_priorities.contains("p"));
  CHECK_EQUAL(100U, rules->caller_bounds.most_header_bytes);
  CHECK_FALSE(reader.ReadRules("{}").has_value());
}

// Symptom: an instance ends, or believes half of a record. Sequence: a record is cut off, or has
// fields of other types. Cause: a reader that throws what nobody expects.
TEST(PlatformRecords, MalformedRecordsGiveATypedErrorAndNothingElse) {
  const std::string good =
      R"({"version":7,"routes":[{"hostname":"h","path_prefix":"/p/","service":"s"}],
      "services":[{"name":"s","runtime":{"layers":80,"types":[{"name":"a"}]}}],
      "tenants":[{"name":"o","api_keys":["k"]}],"limits":{"idle_timeout_ms":5}})";
  CHECK_TRUE(reader.ReadRules(good).has_value());
  for (std::size_t length = 0; length < good.size(); ++length) {
    CHECK_FALSE(reader.ReadRules(good.substr(0, length)).has_value());
  }
  for (const char* text :
       {"[]", "7", R"({"version":"7","routes":[],"services":[]})",
        R"({"version":7,"routes":[3],"services":[]})", R"({"version":7,"routes":{},"services":[]})",
        R"({"version":7,"routes":[],"services":[{"name":5}]})",
        R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"o","api_keys":[7]}]})",
        R"({"version":7,"routes":[],"services":[],"tenants":[7]})"}) {
    CHECK_FALSE(reader.ReadRules(text).has_value());
  }
  for (const char* text : {"", "{}", R"({"service":"s"})", R"({"service":"s","address":7})",
                           R"({"service":"s","address":"1.2.3.4"})"}) {
    CHECK_FALSE(reader.ReadServer("i", text).has_value());
  }
}

namespace {

constexpr const char* kEntry = R"({"service":"s","address":"10.0.0.1:80","zone":"k","version":"v1",
    "max_batch_size":6,"phase":"draining","cold_remaining_ms":0,"sequence":4,"born":1700000000123,
    "type":"l4","layers":{"source":3,"to":9,"version":1}})";

/** The entry with one text in it replaced by another. */
std::string EntryWith(const std::string& text, const std::string& other) {
  std::string entry = kEntry;
  const std::size_t at = entry.find(text);
  CHECK_TRUE(at != std::string::npos);
  return entry.replace(at, text.size(), other);
}

}  // namespace

// Symptom: requests go to a server that is none, or a good one is never used again. Sequence:
// somebody else writes under the servers' keys, or a write goes wrong. Cause: missing fields and
// fields of other types read as defaults.
TEST(PlatformRecords, AnEntryThatBreaksAnyRuleNamesNoServer) {
  CHECK_TRUE(reader.ReadServer("i", kEntry).has_value());
  const std::pair<const char*, const char*> changes[] = {
      {R"("service":"s",)", ""},
      {R"("service":"s")", R"("service":7)"},
      {R"("service":"s")", R"("service":"")"},
      {R"("address":"10.0.0.1:80")", R"("address":"10.0.0.1")"},
      {R"("address":"10.0.0.1:80")", R"("address":"host:80")"},
      {R"("address":"10.0.0.1:80")", R"("address":"10.0.0.1:99999")"},
      {R"("zone":"k",)", ""},
      {R"("zone":"k")", R"("zone":["k"])"},
      {R"("max_batch_size":6)", R"("max_batch_size":"6")"},
      {R"("max_batch_size":6)", R"("max_batch_size":0)"},
      {R"("max_batch_size":6)", R"("max_batch_size":-6)"},
      {R"("max_batch_size":6)", R"("max_batch_size":6.5)"},
      {R"("max_batch_size":6)", R"("max_batch_size":1e30)"},
      {R"("phase":"draining")", R"("phase":"resting")"},
      {R"("phase":"draining")", R"("phase":true)"},
      {R"("sequence":4)", R"("sequence":null)"},
      {R"("born":1700000000123)", R"("born":"1700000000123")"},
      {R"("born":1700000000123)", R"("born":1700000000123.5)"},
      {R"("born":1700000000123)", R"("born":-1)"},
      {R"("type":"l4")", R"("type":4)"},
      {R"("source":3,"to":9)", R"("source":9,"to":3)"},
      {R"("source":3)", R"("source":-3)"},
      {R"("to":9)", R"("to":9000000000)"},
      {R"({"source":3,"to":9,"version":1})", R"("3-9")"},
  };
  for (const auto& [text, other] : changes) {
    CHECK_FALSE_TEXT(reader.ReadServer("i", EntryWith(text, other)).has_value(), other);
  }
  const std::string deep(100'000, '[');
  CHECK_FALSE(reader.ReadServer("i", EntryWith("\"v1\"", deep)).has_value());
}

// Any bytes may lie under a server's key. Whatever is believed of them keeps the rules of its
// fields.
TEST(PlatformRecords, RandomlySpoiltEntriesNeverReadAsSomethingElse) {
  std::mt19937 random(20'261'203);
  int believed = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string entry = kEntry;
    for (unsigned changes = 1 + random() % 4; changes > 0; --changes) {
      // Half of the changes are characters that mean something in an entry.
      constexpr std::string_view kMeaningful = "0123456789-.e\"{}[],:";
      const bool any_byte = random() % 2 == 0;
      entry[random() % entry.size()] =
          any_byte ? static_cast<char>(random() % 256) : kMeaningful[random() % kMeaningful.size()];
    }
    const auto server = reader.ReadServer("i", entry);
    if (!server) {
      CHECK_FALSE(server.error().message.empty());
      continue;
    }
    ++believed;
    CHECK_TRUE(server->most_requests >= 1);
    CHECK_TRUE(server->layers.first <= server->layers.end);
    CHECK_FALSE(server->service.empty());
    CHECK_FALSE(server->failure_domain.empty());
    CHECK_TRUE(server->address.port > 0);
  }
  CHECK_TRUE(believed > 0);  // Changes within texts and numbers leave it an entry.
}

TEST(PlatformRecords, NamesOfStartsBelongToOneStartAndOneRegistration) {
  const auto server = reader.ReadServer("i-1", kEntry);
  const auto later = reader.ReadServer("i-1", EntryWith("1700000000123", "1700000000124"));
  CHECK_TRUE(server->name != later->name);
  CHECK_TRUE(server->registration == later->registration);
  CHECK_TRUE(RegistrationIn(server->name) == "i-1");
  CHECK_TRUE(RegistrationIn(NameOfStart("a@b", 3)) == "a@b");
}

TEST(PlatformRecords, ReadsAServersEntry) {
  const auto server = reader.ReadServer("i-1", kEntry);
  CHECK_TRUE(server.has_value());
  CHECK_TRUE(server->draining);
  CHECK_EQUAL(6U, server->most_requests);
  CHECK_TRUE((server->layers == LayerRange{3, 9}));
  CHECK_FALSE(reader.ReadServer("i-1", R"({"service":"s","address":"nowhere"})").has_value());
}

namespace {

struct RecordingEraListener final : StoreEraListener {
  void OnStoreEra(StoreEra era) override { eras.push_back(era); }
  void OnUnreadableStoreEra(const std::string& text) override { unreadable.push_back(text); }
  std::vector<StoreEra> eras;
  std::vector<std::string> unreadable;
};

}  // namespace

TEST_GROUP(PlatformCalls) {
  SystemClock clock;
  boost::asio::io_context loop;
  unsigned status = 200;
  std::string body = "{}";
  std::vector<std::string> sent;

  /** Bodies of the next answers, before `body`. */
  std::deque<std::string> next_bodies;
  ScriptedServer server{loop, [this](ScriptedServer::Received received) {
                          sent.push_back(received.request.body());
                          if (next_bodies.empty()) {
                            received.answer(status, body);
                            return;
                          }
                          received.answer(status, next_bodies.front());
                          next_bodies.pop_front();
                        }};
  std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>(
      clock, [this](std::function<void()> call) { boost::asio::post(loop, std::move(call)); },
      HttpClientOptions{}, loop);
  KeyValueStore store{client, server.Address()};
  EngineClient engines{client};

  std::string KindAfter(unsigned answered) {
    status = answered;
    std::string kind;
    store.CompareAndSwap("k", 1, "v", 5, [&](const Result<std::uint64_t>& result) {
      kind = result ? "done" : std::string(NameOf(result.error().kind));
    });
    CHECK_TRUE(RunUntil(loop, [&] { return !kind.empty(); }));
    return kind;
  }
};

TEST(PlatformCalls, TellsWhatAWriteCertainlyDidNotDo) {
  body = R"({"revision":9})";
  STRCMP_EQUAL("done", KindAfter(200).c_str());
  STRCMP_CONTAINS("\"expected\":[{\"key\":\"k\",\"revision\":1}]", sent[0].c_str());
  STRCMP_CONTAINS("\"lease_id\":5", sent[0].c_str());
  STRCMP_EQUAL("store_conflict", KindAfter(412).c_str());
  STRCMP_EQUAL("not_found", KindAfter(404).c_str());
  STRCMP_EQUAL("store_unavailable", KindAfter(503).c_str());
  STRCMP_EQUAL("store_unavailable", KindAfter(429).c_str());
  STRCMP_EQUAL("store_outcome_unknown", KindAfter(500).c_str());
}

TEST(PlatformCalls, ReadsWhatAWatchSaw) {
  body = R"({"events":[{"key":"a","value":"bm9kZS0x","revision":5,"lease_id":0},
             {"key":"b","revision":6,"compacted":true}],"at":6})";
  std::optional<StoreBatch> batch;
  store.Watch("", 4, std::chrono::milliseconds(100),
              [&](const Result<StoreBatch>& result) { batch = result.value(); });
  CHECK_TRUE(RunUntil(loop, [&] { return batch.has_value(); }));
  CHECK_EQUAL(6U, batch->version);
  STRCMP_EQUAL("node-1", batch->records[0].value->c_str());
  CHECK_FALSE(batch->records[1].value.has_value());
  STRCMP_CONTAINS("after=4&wait_ms=100", server.targets[0].c_str());
}

// Guards against a removed server that stays known, as its page was read from an older copy than
// the page with the newest record.
TEST(PlatformCalls, AListThatMayLagReachesAsFarAsItsOldestPage) {
  next_bodies = {R"({"entries":[{"key":"a","value":"","revision":95}],"at":99,"has_more":true})",
                 R"({"entries":[{"key":"b","value":"","revision":80}],"at":99,"has_more":true})"};
  body = R"({"entries":[{"key":"c","value":"","revision":90}],"at":99})";
  std::optional<StoreBatch> batch;
  const auto keep = [&](const Result<StoreBatch>& result) { batch = result.value(); };
  store.ListMayLag("", keep);
  CHECK_TRUE(RunUntil(loop, [&] { return batch.has_value(); }));
  CHECK_EQUAL(3U, batch->records.size());
  CHECK_EQUAL(80U, batch->version);
}

TEST(PlatformCalls, ALostHistoryHasItsOwnKind) {
  status = 410;
  std::string kind;
  store.Watch("", 4, std::chrono::milliseconds(100), [&](const Result<StoreBatch>& result) {
    kind = std::string(NameOf(result.error().kind));
  });
  CHECK_TRUE(RunUntil(loop, [&] { return !kind.empty(); }));
  STRCMP_EQUAL("store_history_lost", kind.c_str());
}

// Guards against a change of era that is noticed only once a call succeeds.
TEST(PlatformCalls, FailedCallsNameTheStoresEraToo) {
  RecordingEraListener heard;
  store.SetEraListener(&heard);
  server.response_headers["Store-Era"] = "7";
  KindAfter(200);
  KindAfter(503);
  server.response_headers["store-era"] = "-1";
  KindAfter(412);
  server.response_headers.clear();
  KindAfter(200);
  CHECK_EQUAL(2U, heard.eras.size());
  CHECK_EQUAL(7U, heard.eras.back());
  CHECK_EQUAL(1U, heard.unreadable.size());
}

TEST(PlatformCalls, ABatchCarriesTheEraOfItsAnswer) {
  body = R"({"events":[],"entries":[],"at":6})";
  server.response_headers["Store-Era"] = "2";
  std::vector<std::optional<StoreEra>> eras;
  const auto keep = [&](const Result<StoreBatch>& result) { eras.push_back(result.value().era); };
  store.Watch("", 4, std::chrono::milliseconds(100), keep);
  CHECK_TRUE(RunUntil(loop, [&] { return eras.size() == 1; }));
  store.List("", keep);
  CHECK_TRUE(RunUntil(loop, [&] { return eras.size() == 2; }));
  server.response_headers.clear();
  store.List("", keep);
  CHECK_TRUE(RunUntil(loop, [&] { return eras.size() == 3; }));
  CHECK_EQUAL(2U, *eras[0]);
  CHECK_EQUAL(2U, *eras[1]);
  CHECK_FALSE(eras[2].has_value());
}

TEST(PlatformCalls, AMalformedAnswerIsNoAnswer) {
  for (const char* text : {"", "nonsense", "[]", R"({"events":7,"at":1})",
                           R"({"events":[{"key":"a","value":"?","revision":5}],"at":6})"}) {
    body = text;
    std::string kind;
    store.Watch("", 4, std::chrono::milliseconds(100), [&](const Result<StoreBatch>& result) {
      kind = result ? "batch" : std::string(NameOf(result.error().kind));
    });
    CHECK_TRUE(RunUntil(loop, [&] { return !kind.empty(); }));
    STRCMP_EQUAL("store_outcome_unknown", kind.c_str());
  }
  for (const char* text : {"", "[]", R"({"pace":-1})", R"({"pace":1e300})", R"({"pace":1e999})",
                           R"({"pace":"fast"})", R"({"stalled_servers":[7]})",
                           R"({"stalled_servers":[{"id":"r","address":"10.0.0.1:99999"}]})",
                           R"({"stalled_servers":[{"id":"r","address":"nowhere"}]})"}) {
    body = text;
    std::optional<bool> read;
    engines.ReadReport({"i-1", server.Address(), {}},
                       [&](const Result<EngineReport>& result) { read = result.has_value(); });
    CHECK_TRUE(RunUntil(loop, [&] { return read.has_value(); }));
    CHECK_FALSE_TEXT(*read, text);
  }
}

// Symptom: no server is ever found stalled, and callers leave. Sequence: a report lists requests
// that wait. Cause: the ids in the list taken for servers; they are those of requests.
TEST(PlatformCalls, AReportNamesStalledServersByTheirAddress) {
  body = R"({"stalled_servers":[{"id":"request-1","address":"10.0.0.2:80"}]})";
  std::optional<EngineReport> report;
  engines.ReadReport({"i-1", server.Address(), {}},
                     [&](const Result<EngineReport>& result) { report = result.value(); });
  CHECK_TRUE(RunUntil(loop, [&] { return report.has_value(); }));
  STRCMP_EQUAL("10.0.0.2:80", report->stalled[0].server.ToString().c_str());
  STRCMP_EQUAL("request-1", report->stalled[0].request_id.c_str());
}

TEST(PlatformCalls, OrdersCarryTheirFencingNumber) {
  status = 412;
  ServerEntry entry;
  entry.name = "i-1";
  entry.address = server.Address();
  std::string kind;
  engines.Place(entry, {20, 31}, 4, [&](const Result<void>& result) {
    kind = result ? "done" : std::string(NameOf(result.error().kind));
  });
  CHECK_TRUE(RunUntil(loop, [&] { return !kind.empty(); }));
  STRCMP_EQUAL("stale_epoch", kind.c_str());
  STRCMP_CONTAINS("\"fencing_token\":4", sent[0].c_str());
  STRCMP_CONTAINS("\"source\":20,\"to\":31", sent[0].c_str());
}

}  // namespace zinnia::platform
