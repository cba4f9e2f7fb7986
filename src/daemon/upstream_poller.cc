#include "src/daemon/upstream_poller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"
#include "src/daemon/upstream_json.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kPollInterval{1000};
constexpr std::chrono::milliseconds kPollTimeout{800};
constexpr Bytes kMaxPollBytes{1024 * 1024};

HttpRequest MakeGet(const std::string& target) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  return request;
}

}  // namespace

UpstreamPoller::UpstreamPoller(asio::io_context& context, Hooks hooks)
    : context_(context), hooks_(std::move(hooks)) {}

UpstreamPoller::~UpstreamPoller() = default;

void UpstreamPoller::OnSnapshot(
    const std::shared_ptr<const RoutingSnapshot>& snapshot) {
  std::map<UpstreamId, Engine> engines;
  for (const RoutedUpstream& upstream : snapshot->upstreams()) {
    if (upstream.spec.kind != UpstreamKind::kModelEngine) {
      continue;
    }
    const auto known = engines_.find(upstream.spec.id);
    Engine engine;
    if (known != engines_.end() &&
        known->second.address == upstream.spec.address) {
      engine = known->second;
    }
    engine.address = upstream.spec.address;
    engines.emplace(upstream.spec.id, std::move(engine));
  }
  engines_ = std::move(engines);
}

void UpstreamPoller::OnTick(TimePoint now) {
  for (auto& [id, engine] : engines_) {
    if (engine.is_polling || now < engine.next_poll) {
      continue;
    }
    engine.is_polling = true;
    engine.next_poll = now + kPollInterval;
    asio::co_spawn(context_, Poll(id, engine.address), asio::detached);
  }
}

asio::awaitable<void> UpstreamPoller::Poll(UpstreamId id, std::string address) {
  const std::weak_ptr<bool> alive = alive_;
  const bool answered = co_await PollLoad(id, address);
  if (!alive.expired() && answered) {
    co_await PollCache(id, address);
  }
  if (alive.expired()) {
    co_return;
  }
  const auto engine = engines_.find(id);
  if (engine != engines_.end()) {
    engine->second.is_polling = false;
  }
}

asio::awaitable<bool> UpstreamPoller::PollLoad(UpstreamId id,
                                               std::string address) {
  const std::weak_ptr<bool> alive = alive_;
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(address, MakeGet("/v1/load"),
                         SteadyNow() + Duration(kPollTimeout), kMaxPollBytes);
  if (alive.expired() || !response.ok() || response->status != 200) {
    co_return false;
  }
  const absl::StatusOr<LoadReport> report = ParseLoadReport(response->body);
  if (!report.ok()) {
    co_return false;
  }
  hooks_.load(id, *report);
  if (report->leaving) {
    hooks_.leaving(id);
  }
  co_return true;
}

asio::awaitable<void> UpstreamPoller::PollCache(UpstreamId id,
                                                std::string address) {
  const std::weak_ptr<bool> alive = alive_;
  const auto before = engines_.find(id);
  if (before == engines_.end()) {
    co_return;
  }
  const std::string target =
      absl::StrCat("/v1/cache_events?after=", before->second.cache_cursor);
  const absl::StatusOr<HttpResponse> response =
      co_await FetchHttp(address, MakeGet(target),
                         SteadyNow() + Duration(kPollTimeout), kMaxPollBytes);
  if (alive.expired() || !response.ok() || response->status != 200) {
    co_return;
  }
  const absl::StatusOr<CacheEventPage> page =
      ParseCacheEventPage(response->body);
  const auto engine = engines_.find(id);
  if (!page.ok() || engine == engines_.end()) {
    co_return;
  }
  engine->second.cache_cursor = page->next;
  if (!page->event.stored.empty() || !page->event.evicted.empty()) {
    hooks_.cache(id, page->event);
  }
}

}  // namespace papaya
