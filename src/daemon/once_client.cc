#include "src/daemon/once_client.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

#include "include/wire/steady_time.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

// Runs `start` on `context`, passing it a callback that resumes the calling
// coroutine on its own executor with a result.
template <typename Result>
asio::awaitable<Result> CallOn(
    asio::io_context& context,
    std::function<void(std::function<void(Result)>)> start) {
  // GCC 12 would destroy a lambda twice that is written inside the co_await
  // expression.
  auto initiate = [&context, &start](auto handler) {
    using Handler = decltype(handler);
    auto shared = std::make_shared<Handler>(std::move(handler));
    const std::function<void(Result)> resume = [shared](Result result) {
      const auto executor = asio::get_associated_executor(*shared);
      asio::post(executor, [shared, result = std::move(result)]() mutable {
        std::move (*shared)(std::move(result));
      });
    };
    asio::post(context, [start, resume] { start(resume); });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Result)>(initiate,
                                                        asio::use_awaitable);
}

}  // namespace

asio::awaitable<absl::StatusOr<OnceDecision>> OnceClient::Decide(
    OnceRequest request) {
  using Result = absl::StatusOr<OnceDecision>;
  return CallOn<Result>(
      context_, [this, request = std::move(request)](
                    const std::function<void(Result)>& resume) {
        const absl::Status status = controller_->Decide(
            request, SteadyNow(),
            [resume](const OnceDecision& decision) { resume(decision); });
        if (!status.ok()) {
          resume(status);
        }
      });
}

void OnceClient::End(RequestId id, Outcome outcome, StoredAnswer answer) {
  asio::post(context_,
             [this, id, outcome, answer = std::move(answer)]() mutable {
               controller_->End(id, outcome, std::move(answer));
             });
}

asio::awaitable<absl::StatusOr<HttpResponse>> OnceClient::Forward(
    RouterId issuer,
    Incarnation incarnation,
    ForwardRequest request,
    TimePoint deadline) {
  return CallOn<absl::StatusOr<HttpResponse>>(
      context_,
      [this, issuer = std::move(issuer), incarnation,
       request = std::move(request), deadline](const ReplyHook& resume) {
        forward_(issuer, incarnation, request, deadline, resume);
      });
}

asio::awaitable<std::vector<std::string>> OnceClient::IssueTickets(
    AccountId account,
    int count) {
  using Result = std::vector<std::string>;
  return CallOn<Result>(
      context_, [this, account = std::move(account),
                 count](const std::function<void(Result)>& resume) {
        resume(controller_->IssueTickets(account, count, SteadyNow()));
      });
}

}  // namespace papaya
