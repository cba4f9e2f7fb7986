// What upstreams say about themselves in response headers: that they leave, and
// that they want no request for a time.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "include/gateway/leaving_upstreams.h"
#include "include/gateway/upstream_directory.h"
#include "platform/header_codec.h"
#include "tests/fakes/gateway_fixture.h"

namespace papaya {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Request(const std::string& id) {
  return absl::StrReplaceAll(kPostRequest, {{"Id: a1", "Id: " + id}});
}

std::string Response(const std::string& id,
                     const std::string& status,
                     const std::string& headers) {
  return absl::StrCat("HTTP/1.1 ", status, "\r\nPapayaarch-Attempt-Id: ", id,
                      "\r\n", headers, "Content-Length: 2\r\n\r\nok");
}

// Opens more requests than the other upstream has slots, and checks that none
// reaches the upstream `avoided`. Then answers all of them.
void CheckAvoided(GatewayFixture* f, size_t avoided) {
  constexpr size_t kRequests = 6;
  const size_t before = f->RequestsAt(avoided);
  const size_t other = 1 - avoided;
  const size_t full =
      f->RequestsAt(other) + static_cast<size_t>(f->records[other].slots);
  std::map<std::string, std::unique_ptr<RawPeer>> callers;
  for (size_t i = 0; i < kRequests; ++i) {
    const std::string id = absl::StrCat(
        "n", SteadyNow().time_since_epoch() / std::chrono::nanoseconds(1));
    callers[id] = f->Call(Request(id));
  }
  f->RunUntil([&] { return f->RequestsAt(other) >= full; });
  const TimePoint end = SteadyNow() + milliseconds(100);
  f->RunUntil([&] { return SteadyNow() > end; });
  CHECK(f->RequestsAt(avoided) == before);
  std::set<std::string> answered;
  f->RunUntil([&] {
    for (const auto& [id, caller] : callers) {
      for (const std::unique_ptr<RawPeer>& peer : f->upstreams[other]->peers) {
        if (Has(peer->received, "Id: " + id) && answered.insert(id).second) {
          peer->Send(Response(id, "200 OK", ""));
        }
      }
    }
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return Has(caller.second->received, "ok");
    });
  });
  CHECK(f->RequestsAt(avoided) == before);
}

TEST_CASE("Gateway: sends nothing new to an upstream that says it leaves",
          "[gateway]") {
  const std::string form = GENERATE(
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nServer-Leaving: 1\r\n"
      "Content-Length: 2\r\n\r\nok",
      "HTTP/1.1 500 Oops\r\nPapayaarch-Attempt-Id: a1\r\nServer-Leaving: 1\r\n"
      "Content-Length: 2\r\n\r\nno",
      // A header without the rest of its response.
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: a1\r\nServer-Leaving: 1\r\n"
      "Content-Length: 9\r\n\r\nok",
      // A late response to another request.
      "HTTP/1.1 200 OK\r\nPapayaarch-Attempt-Id: old\r\nServer-Leaving: 1\r\n"
      "Content-Length: 2\r\n\r\nok");
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(form);
  f.RunUntil([&] { return !f.leaving.empty(); });
  CHECK(f.leaving.front() == f.records[index].id);
  CheckAvoided(&f, index);
  // A snapshot whose registrations do not show it yet changes nothing.
  f.PublishUpstreams();
  CheckAvoided(&f, index);
}

TEST_CASE("Gateway: a stream from a leaving upstream goes on to its end",
          "[gateway]") {
  GatewayFixture f(RequestKind::kStream, /*is_resumable=*/true);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(absl::StrReplaceAll(kStreamHead, {{"Content-Type",
                                                    "Server-Leaving: 1\r\n"
                                                    "Content-Type"}}) +
                 Chunk("id: 1\ndata: a\n\n"));
  f.RunUntil([&] { return Has(caller->received, "data: a"); });
  REQUIRE(f.leaving.size() == 1);
  f.records[f.IndexOf(upstream)].is_draining = true;
  f.PublishUpstreams();
  upstream->Send(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  f.RunUntil([&] { return Has(caller->received, "\r\n0\r\n"); });
  CHECK(Has(caller->received, "data: b"));
  CHECK(f.reports.front().attempts == 1);
}

TEST_CASE("Gateway: keeps no connection to a leaving upstream", "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  upstream->Send(Response("a1", "200 OK", "Server-Leaving: 1\r\n"));
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  f.RunUntil([&] { return upstream->has_ended; });
}

TEST_CASE("Gateway: an upstream that asks for a delay gets no request in it",
          "[gateway]") {
  const std::string delay =
      GENERATE("30", "29.5", "99999999999999", "Fri, 31 Dec 2100 23:59:59 GMT");
  const std::string status = GENERATE("503 Full\r\nPapayaarch-Not-Executed: 1",
                                      "503 Service Unavailable");
  GatewayFixture f(RequestKind::kIdempotent);
  const std::unique_ptr<RawPeer> caller = f.Call(kPostRequest);
  RawPeer* upstream = f.AwaitRequest();
  const size_t index = f.IndexOf(upstream);
  upstream->Send(
      Response("a1", status, absl::StrCat("Retry-After: ", delay, "\r\n")));
  f.RunUntil([&] { return f.RequestsAt(1 - index) == 1; });
  f.upstreams[1 - index]->peers.back()->Send(Response("a1", "200 OK", ""));
  f.RunUntil([&] { return Has(caller->received, "ok"); });
  // Longer than the backoff after a failure.
  const TimePoint end = SteadyNow() + milliseconds(300);
  f.RunUntil([&] { return SteadyNow() > end; });
  CheckAvoided(&f, index);
  f.PublishUpstreams();
  CheckAvoided(&f, index);
}

TEST_CASE("Gateway: callers learn when closed upstreams accept work again",
          "[gateway]") {
  GatewayFixture f(RequestKind::kNonIdempotent);
  std::vector<std::unique_ptr<RawPeer>> callers;
  callers.push_back(f.Call(kPostRequest));
  for (size_t attempt = 1; attempt <= 2; ++attempt) {
    f.RunUntil([&] { return f.RequestsAt(0) + f.RequestsAt(1) == attempt; });
    for (const std::unique_ptr<RawUpstream>& upstream : f.upstreams) {
      for (const std::unique_ptr<RawPeer>& peer : upstream->peers) {
        if (!peer->received.empty()) {
          peer->received = "POST /p/ answered";
          peer->Send(Response("a1", "503 Full\r\nPapayaarch-Not-Executed: 1",
                              "Retry-After: 40\r\n"));
        }
      }
    }
  }
  // The request could wait 21 of its 60 s.
  f.RunUntil([&] { return Has(callers[0]->received, "\r\n\r\n"); });
  CHECK(callers[0]->received.starts_with("HTTP/1.1 503"));
  CHECK((Has(callers[0]->received, "Retry-After: 40.00") ||
         Has(callers[0]->received, "Retry-After: 39.")));
  // Later requests are told the same at once.
  callers.push_back(f.Call(kPostRequest));
  f.RunUntil([&] { return Has(callers[1]->received, "\r\n\r\n"); });
  CHECK(callers[1]->received.starts_with("HTTP/1.1 503"));
  CHECK(f.RequestsAt(0) + f.RequestsAt(1) == 2);
}

TEST_CASE("Platform: reads what an upstream says about itself", "[platform]") {
  const HeaderCodec codec = platform::MakeHeaderCodec();
  CHECK(codec.read_response(200, {{"Server-Leaving", "1"}}).is_leaving);
  CHECK(codec.read_response(503, {{"server-leaving", " 1 "}}).is_leaving);
  CHECK_FALSE(codec.read_response(200, {{"Server-Leaving", "0"}}).is_leaving);
  CHECK_FALSE(codec.read_response(200, {{"Server-Leaving", "x"}}).is_leaving);
  const auto delay = [&codec](const std::string& value) {
    return codec.read_response(503, {{"Retry-After", value}}).retry_after;
  };
  CHECK(delay("3") == seconds(3));
  CHECK(delay("0.25") == milliseconds(250));
  CHECK(delay("0") == Duration());
  CHECK(delay("1e300") == std::chrono::hours(24));
  CHECK(delay("Thu, 01 Jan 1970 00:00:00 GMT") == Duration());
  CHECK(delay("Fri, 31 Dec 2100 23:59:59 GMT") == std::chrono::hours(24));
  for (const char* malformed : {"", "-1", "nan", "inf", "soon", "1 2", "3s"}) {
    CHECK_FALSE(delay(malformed).has_value());
  }
  // Other statuses do not ask for a delay.
  CHECK_FALSE(codec.read_response(429, {{"Retry-After", "3"}}).retry_after);
}

TEST_CASE("LeavingUpstreams: a mark ends with the next start of the instance",
          "[gateway]") {
  const UpstreamId first("i#1");
  const UpstreamId second("i#2");
  const TimePoint now{seconds(100)};
  LeavingUpstreams leaving;
  CHECK(leaving.Mark(first, "i"));
  CHECK_FALSE(leaving.Mark(first, "i"));
  SECTION("not with a registration of the same start") {
    leaving.OnRegistered(first, "i");
    CHECK(leaving.Contains(first, "i"));
  }
  SECTION("not with the removal of its registration") {
    leaving.OnRemoved("i", now);
    leaving.OnTick(now + std::chrono::minutes(5));
    leaving.OnRegistered(first, "i");
    leaving.OnTick(now + std::chrono::hours(1));
    CHECK(leaving.Contains(first, "i"));
  }
  SECTION("with a registration of another start") {
    leaving.OnRegistered(second, "i");
    CHECK_FALSE(leaving.Contains(first, "i"));
    CHECK_FALSE(leaving.Contains(second, "i"));
    CHECK(leaving.size() == 0);
  }
  SECTION("some time after its removal, so that memory stays bounded") {
    leaving.OnRemoved("i", now);
    leaving.OnTick(now + std::chrono::minutes(10));
    CHECK(leaving.size() == 0);
  }
}

TEST_CASE("UpstreamDirectory: returns a leaving upstream as draining",
          "[gateway]") {
  int changes = 0;
  UpstreamDirectory directory(
      {.decode =
           [](const PlatformObject& object) -> absl::StatusOr<UpstreamRecord> {
         UpstreamRecord record;
         record.instance = object.name;
         record.id =
             UpstreamId(absl::StrCat(object.name, "#", object.version.value()));
         return record;
       },
       .changed = [&changes] { ++changes; },
       .event = [](const Event&) {}});
  PlatformObject object;
  object.name = "i";
  object.version = ObjectVersion(1);
  const TimePoint now{seconds(100)};
  directory.Replace({object}, now);
  directory.OnLeaving(directory.Records().front());
  CHECK(changes == 2);
  CHECK(directory.Records().front().is_draining);
  // Still listed as ready, and listed again after an outage of the store.
  directory.Replace({}, now);
  directory.Replace({object}, now);
  CHECK(directory.Records().front().is_draining);
  object.version = ObjectVersion(2);
  directory.Replace({object}, now);
  CHECK_FALSE(directory.Records().front().is_draining);
}

}  // namespace
}  // namespace papaya
