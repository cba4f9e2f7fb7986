#include "include/wire/http_object_store.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "include/base/error.h"
#include "include/wire/http_client.h"
#include "include/wire/steady_time.h"
#include "include/wire/url_text.h"
#include "src/wire/object_json.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr Bytes kMaxListBytes{64 * 1024 * 1024};

// The calls of one kind: what may still be made, and what was.
class CallMeter {
 public:
  explicit CallMeter(const CallBudget& budget)
      : budget_(budget), level_(budget.burst) {}

  // Takes one call out of the budget; false if there is none left.
  bool Take(TimePoint now) {
    const double gained = ToSeconds(now - filled_) * budget_.per_second;
    level_ = std::min(budget_.burst, level_ + gained);
    filled_ = now;
    if (level_ < 1.0) {
      ++counts_.refused;
      return false;
    }
    level_ -= 1.0;
    ++counts_.sent;
    return true;
  }

  void CountFailure() { ++counts_.failed; }

  const CallCounts& counts() const { return counts_; }

 private:
  const CallBudget budget_;
  double level_;
  TimePoint filled_ = SteadyNow();
  CallCounts counts_;
};

// One call on its way.
struct Call {
  const char* step;
  CallMeter* meter;
  HttpRequest request;
  Duration timeout;
};

std::string ObjectTarget(const std::string& key) {
  return absl::StrCat("/objects/", EncodeUrlText(key));
}

absl::StatusCode CodeOfHttpStatus(int status) {
  switch (status) {
    case 204:
      return absl::StatusCode::kDeadlineExceeded;
    case 404:
      return absl::StatusCode::kNotFound;
    case 412:
      return absl::StatusCode::kAborted;
    case 413:
      return absl::StatusCode::kInvalidArgument;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    default:
      return absl::StatusCode::kUnavailable;
  }
}

// What the HTTP client could not do, as an ObjectStore says it.
absl::Status ClientError(const absl::Status& error, const ErrorOrigin& origin) {
  const absl::StatusCode code = absl::IsDeadlineExceeded(error)
                                    ? absl::StatusCode::kDeadlineExceeded
                                    : absl::StatusCode::kUnavailable;
  return MakeError(code, origin, std::string(error.message()));
}

HttpRequest GetRequest(std::string target) {
  HttpRequest request;
  request.target = std::move(target);
  return request;
}

HttpRequest WriteRequest(const ConditionalWrite& write) {
  HttpRequest request;
  request.method = write.value ? "PUT" : "DELETE";
  request.target = absl::StrCat(
      ObjectTarget(write.key), "?expected=", write.expected.value(),
      "&operation=", EncodeUrlText(write.operation.value()));
  request.body = write.value.value_or("");
  return request;
}

}  // namespace

// Makes the calls; shared with those in flight.
class HttpObjectStore::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(asio::any_io_executor executor, const HttpObjectStoreOptions& options)
      : reads(options.reads),
        writes(options.writes),
        watches(options.watches),
        options_(options),
        executor_(std::move(executor)),
        pool_(options.max_idle_connections) {}

  // Makes `call` and gives what `parse` reads from a 200 answer.
  template <typename T>
  void Start(Call call,
             std::optional<T> (*parse)(const std::string& body),
             std::function<void(absl::StatusOr<T>)> done) {
    if (!call.meter->Take(SteadyNow())) {
      const absl::Status refused =
          MakeError(absl::StatusCode::kResourceExhausted, OriginOf(call),
                    "over our own budget of calls");
      asio::post(executor_,
                 [refused, done = std::move(done)] { done(refused); });
      return;
    }
    asio::co_spawn(
        executor_,
        Run<T>(shared_from_this(), std::move(call), parse, std::move(done)),
        asio::detached);
  }

  CallMeter reads;
  CallMeter writes;
  CallMeter watches;

 private:
  // Static, so that the coroutine itself keeps the caller alive.
  template <typename T>
  static asio::awaitable<void> Run(
      std::shared_ptr<Caller> self,
      Call call,
      std::optional<T> (*parse)(const std::string& body),
      std::function<void(absl::StatusOr<T>)> done) {
    // Leaves the caller's stack before anything can be known.
    co_await asio::post(self->executor_, asio::use_awaitable);
    const absl::StatusOr<HttpResponse> response =
        co_await FetchHttp(&self->pool_, self->options_.address, call.request,
                           SteadyNow() + call.timeout, kMaxListBytes);
    absl::StatusOr<T> result = self->Read<T>(call, response, parse);
    if (absl::IsUnavailable(result.status())) {
      call.meter->CountFailure();
    }
    done(std::move(result));
  }

  template <typename T>
  absl::StatusOr<T> Read(const Call& call,
                         const absl::StatusOr<HttpResponse>& response,
                         std::optional<T> (*parse)(const std::string& body)) {
    if (!response.ok()) {
      return ClientError(response.status(), OriginOf(call));
    }
    if (response->status != 200) {
      return MakeError(CodeOfHttpStatus(response->status), OriginOf(call),
                       absl::StrCat("the platform answered ", response->status,
                                    " ", response->body));
    }
    const std::optional<T> parsed = parse(response->body);
    if (!parsed) {
      return MakeError(absl::StatusCode::kUnavailable, OriginOf(call),
                       "the platform's answer is broken");
    }
    return *parsed;
  }

  ErrorOrigin OriginOf(const Call& call) const {
    return {.step = call.step, .peer = options_.address};
  }

  const HttpObjectStoreOptions options_;
  asio::any_io_executor executor_;
  HttpClientPool pool_;
};

HttpObjectStore::HttpObjectStore(const asio::any_io_executor& executor,
                                 const HttpObjectStoreOptions& options)
    : options_(options), caller_(std::make_shared<Caller>(executor, options)) {}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::Get(const std::string& key, GetCallback done) {
  caller_->Start<StoredObject>({.step = "store.get",
                                .meter = &caller_->reads,
                                .request = GetRequest(ObjectTarget(key)),
                                .timeout = options_.call_timeout},
                               ParseStoredObject, std::move(done));
}

void HttpObjectStore::Put(const ConditionalWrite& write, PutCallback done) {
  caller_->Start<ObjectVersion>({.step = "store.put",
                                 .meter = &caller_->writes,
                                 .request = WriteRequest(write),
                                 .timeout = options_.call_timeout},
                                ParseObjectVersion, std::move(done));
}

void HttpObjectStore::List(const std::string& prefix, ListCallback done) {
  const std::string target =
      absl::StrCat("/objects?prefix=", EncodeUrlText(prefix));
  caller_->Start<std::vector<StoredObject>>({.step = "store.list",
                                             .meter = &caller_->reads,
                                             .request = GetRequest(target),
                                             .timeout = options_.call_timeout},
                                            ParseObjectList, std::move(done));
}

void HttpObjectStore::Watch(const std::string& key,
                            ObjectVersion after,
                            GetCallback done) {
  const std::string target =
      absl::StrCat(ObjectTarget(key), "?watch_after=", after.value());
  caller_->Start<StoredObject>({.step = "store.watch",
                                .meter = &caller_->watches,
                                .request = GetRequest(target),
                                .timeout = options_.watch_timeout},
                               ParseStoredObject, std::move(done));
}

void HttpObjectStore::ListVms(VmsCallback done) {
  caller_->Start<std::vector<PlatformVm>>({.step = "store.list_vms",
                                           .meter = &caller_->reads,
                                           .request = GetRequest("/vms"),
                                           .timeout = options_.call_timeout},
                                          ParseVmList, std::move(done));
}

const CallCounts& HttpObjectStore::read_counts() const {
  return caller_->reads.counts();
}

const CallCounts& HttpObjectStore::write_counts() const {
  return caller_->writes.counts();
}

const CallCounts& HttpObjectStore::watch_counts() const {
  return caller_->watches.counts();
}

}  // namespace papaya
