#include "src/daemon/note_pages.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "include/rollout/release_note.h"
#include "include/wire/steady_time.h"
#include "src/daemon/note_json.h"

namespace papaya {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* kNotesPath = "/v1/notes";
constexpr const char* kCheckPath = "/v1/notes/check";
constexpr const char* kRetryAfterSeconds = "2";

// Lets a coroutine wait for the result of a function that reports it through a
// callback.
template <typename T>
struct PendingResult {
  explicit PendingResult(const asio::any_io_executor& executor)
      : arrival(executor, asio::steady_timer::time_point::max()) {}

  void Set(const T& result) {
    value = result;
    arrival.cancel();
  }

  std::optional<T> value;
  // Never expires; cancelled when `value` is set.
  asio::steady_timer arrival;
};

template <typename T>
asio::awaitable<T> Await(std::shared_ptr<PendingResult<T>> pending) {
  if (!pending->value) {
    boost::system::error_code ignored;
    co_await pending->arrival.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *pending->value;
}

json::object ErrorJson(const absl::Status& status) {
  return {{"message", std::string(status.message())}};
}

HttpResponse ErrorResponse(int http_status, const absl::Status& status) {
  return MakeJsonResponse(
      http_status, json::serialize(json::object{{"error", ErrorJson(status)}}));
}

// 404 if the note does not exist, otherwise 503 with Retry-After.
HttpResponse StoreErrorResponse(const absl::Status& status) {
  if (absl::IsNotFound(status)) {
    return ErrorResponse(404, status);
  }
  HttpResponse response = ErrorResponse(503, status);
  response.headers.Set("Retry-After", kRetryAfterSeconds);
  return response;
}

HttpResponse ConflictResponse(const NoteResult& result) {
  return MakeJsonResponse(409, json::serialize(json::object{
                                   {"error", ErrorJson(result.status)},
                                   {"note", NoteWithTextToJson(result.note)}}));
}

HttpResponse ChangeResponse(const NoteResult& result) {
  switch (result.status.code()) {
    case absl::StatusCode::kOk:
      return MakeJsonResponse(200, json::serialize(NoteToJson(result.note)));
    case absl::StatusCode::kInvalidArgument:
      return MakeJsonResponse(422, FaultsToJson(result.faults));
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kFailedPrecondition:
      return ConflictResponse(result);
    default:
      return StoreErrorResponse(result.status);
  }
}

}  // namespace

NotePages::NotePages(ReleaseNoteStore* note_store,
                     ConfigHook config,
                     Duration min_judged_move)
    : note_store_(*note_store),
      get_config_(std::move(config)),
      min_judged_move_(min_judged_move) {}

asio::awaitable<HttpResponse> NotePages::Handle(HttpRequest request) {
  const std::string path = PathOfTarget(request.target);
  const bool is_read = request.method == "GET";
  if (path == kCheckPath && request.method == "POST") {
    co_return Check(request.body);
  }
  if (path == kNotesPath && is_read) {
    co_return co_await List();
  }
  const std::string prefix = std::string(kNotesPath) + "/";
  const NoteId id(path.starts_with(prefix) ? path.substr(prefix.size()) : "");
  if (!id.empty() && is_read) {
    co_return co_await Show(id);
  }
  if (!id.empty() && (request.method == "PUT" || request.method == "DELETE")) {
    co_return co_await Change(std::move(request), id);
  }
  co_return ErrorResponse(
      404, absl::NotFoundError("no page with this method and path"));
}

HttpResponse NotePages::Check(const std::string& text) const {
  const std::shared_ptr<const FleetConfig> config = get_config_();
  const std::vector<TextFault> faults =
      CheckReleaseNote(text, config.get(), WallNow(), min_judged_move_);
  return faults.empty() ? MakeJsonResponse(200, "{}")
                        : MakeJsonResponse(422, FaultsToJson(faults));
}

asio::awaitable<HttpResponse> NotePages::List() {
  using Notes = std::pair<absl::Status, std::vector<StoredNote>>;
  const auto pending = std::make_shared<PendingResult<Notes>>(
      co_await asio::this_coro::executor);
  note_store_.List(
      [pending](absl::Status status, std::vector<StoredNote> notes) {
        pending->Set({std::move(status), std::move(notes)});
      });
  const Notes notes = co_await Await(pending);
  if (!notes.first.ok()) {
    co_return StoreErrorResponse(notes.first);
  }
  json::array listed;
  for (const StoredNote& note : notes.second) {
    listed.push_back(NoteToJson(note));
  }
  co_return MakeJsonResponse(200,
                             json::serialize(json::object{{"notes", listed}}));
}

asio::awaitable<HttpResponse> NotePages::Show(NoteId id) {
  const auto pending = std::make_shared<PendingResult<NoteResult>>(
      co_await asio::this_coro::executor);
  note_store_.Get(
      id, [pending](const NoteResult& result) { pending->Set(result); });
  const NoteResult result = co_await Await(pending);
  if (!result.status.ok()) {
    co_return StoreErrorResponse(result.status);
  }
  co_return MakeJsonResponse(200,
                             json::serialize(NoteWithTextToJson(result.note)));
}

asio::awaitable<HttpResponse> NotePages::Change(HttpRequest request,
                                                NoteId id) {
  NoteRequest note_request;
  note_request.id = std::move(id);
  note_request.author = request.headers.Get("papaya-author");
  note_request.operation = OperationId(request.headers.Get("papaya-operation"));
  note_request.expected = ObjectVersion(std::strtoull(
      QueryValue(request.target, "expected").c_str(), nullptr, 10));
  note_request.text = request.body;
  if (note_request.operation.empty()) {
    co_return ErrorResponse(400, absl::InvalidArgumentError(
                                     "the papaya-operation header is missing"));
  }
  const auto pending = std::make_shared<PendingResult<NoteResult>>(
      co_await asio::this_coro::executor);
  const ReleaseNoteStore::Done done = [pending](const NoteResult& result) {
    pending->Set(result);
  };
  if (request.method == "DELETE") {
    note_store_.Withdraw(note_request, WallNow(), done);
  } else if (note_request.expected == ObjectVersion()) {
    note_store_.Submit(note_request, WallNow(), done);
  } else {
    note_store_.Revise(note_request, WallNow(), done);
  }
  const NoteResult result = co_await Await(pending);
  co_return ChangeResponse(result);
}

}  // namespace papaya
