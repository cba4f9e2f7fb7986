#include "src/daemon/scheduler_host.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "include/wire/steady_time.h"
#include "src/daemon/request_mailbox.h"

namespace papaya {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kSchedulerTickInterval{20};

}  // namespace

SchedulerHost::SchedulerHost(asio::io_context& context,
                             SchedulerOptions options,
                             Hooks hooks)
    : context_(context),
      timer_(context),
      hooks_(std::move(hooks)),
      scheduler_(std::move(options), MakeHooks()) {}

SchedulerHooks SchedulerHost::MakeHooks() {
  SchedulerHooks hooks;
  hooks.dispatch = [this](RequestId id, const UpstreamId& upstream) {
    Dispatch(id, upstream);
  };
  hooks.reject = [this](RequestId id, const Rejection& rejection) {
    Reject(id, rejection);
  };
  hooks.preempt = [this](RequestId id) { Preempt(id); };
  hooks.send_demand = [this](const DemandReport& /*whole*/,
                             const DemandParts& parts) {
    hooks_.send_demand(parts);
  };
  hooks.event = [this](const Event& event) { hooks_.event(event); };
  return hooks;
}

void SchedulerHost::Start() {
  asio::post(context_, [this] { Tick(); });
}

void SchedulerHost::Stop() {
  asio::post(context_, [this] {
    stopped_ = true;
    timer_.cancel();
  });
}

void SchedulerHost::Tick() {
  if (stopped_) {
    return;
  }
  scheduler_.OnTick(SteadyNow());
  const SchedulerCounts counts = scheduler_.counts();
  queued_ = counts.queued;
  running_ = counts.running;
  timer_.expires_after(kSchedulerTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void SchedulerHost::Run(std::function<void(TimePoint)> step) {
  asio::post(context_, [step = std::move(step)] { step(SteadyNow()); });
}

void SchedulerHost::SetSnapshot(
    std::shared_ptr<const RoutingSnapshot> snapshot) {
  Run([this, snapshot = std::move(snapshot)](TimePoint now) {
    snapshot_ = snapshot;
    scheduler_.OnSnapshot(snapshot, now);
  });
}

void SchedulerHost::Submit(const RequestSpec& request,
                           std::shared_ptr<RequestMailbox> mailbox) {
  Run([this, request, mailbox = std::move(mailbox)](TimePoint now) {
    mailboxes_[request.id] = mailbox;
    scheduler_.OnRequest(request, now);
  });
}

void SchedulerHost::FirstToken(RequestId id) {
  Run([this, id](TimePoint now) { scheduler_.OnFirstToken(id, now); });
}

void SchedulerHost::SetTokens(RequestId id, Tokens total) {
  Run([this, id, total](TimePoint now) {
    scheduler_.OnTokens(id, total, now);
  });
}

void SchedulerHost::Finish(RequestId id, const AttemptResult& result) {
  Run([this, id, result](TimePoint now) {
    if (result.end == AttemptEnd::kOk) {
      mailboxes_.erase(id);
    }
    scheduler_.OnFinished(id, result, now);
  });
}

void SchedulerHost::Cancel(RequestId id) {
  Run([this, id](TimePoint now) {
    if (mailboxes_.erase(id) > 0) {
      scheduler_.OnCancelled(id, now);
    }
  });
}

void SchedulerHost::AddLoadReport(const UpstreamId& upstream,
                                  const LoadReport& report) {
  Run([this, upstream, report](TimePoint now) {
    scheduler_.OnLoadReport(upstream, report, now);
  });
}

void SchedulerHost::AddCacheEvent(const UpstreamId& upstream,
                                  const CacheEvent& event) {
  Run([this, upstream, event](TimePoint now) {
    scheduler_.OnCacheEvent(upstream, event, now);
  });
}

void SchedulerHost::AddDemandReport(const DemandReport& report) {
  Run([this, report](TimePoint now) {
    scheduler_.OnDemandReport(report, now);
  });
}

void SchedulerHost::PushTo(RequestId id, RequestCommand command, bool is_last) {
  const auto found = mailboxes_.find(id);
  if (found == mailboxes_.end()) {
    return;
  }
  const std::shared_ptr<RequestMailbox> mailbox = found->second;
  if (is_last) {
    mailboxes_.erase(found);
  }
  asio::post(mailbox->executor(),
             [mailbox, command = std::move(command)]() mutable {
               mailbox->Push(std::move(command));
             });
}

void SchedulerHost::Dispatch(RequestId id, const UpstreamId& upstream) {
  RequestCommand command;
  command.kind = RequestCommand::Kind::kDispatch;
  const std::optional<UpstreamIndex> index = snapshot_->FindUpstream(upstream);
  if (index.has_value()) {
    command.upstream = snapshot_->upstream(*index).spec;
  }
  PushTo(id, std::move(command), false);
}

void SchedulerHost::Reject(RequestId id, const Rejection& rejection) {
  RequestCommand command;
  command.kind = RequestCommand::Kind::kReject;
  command.rejection = rejection;
  PushTo(id, std::move(command), true);
}

void SchedulerHost::Preempt(RequestId id) {
  RequestCommand command;
  command.kind = RequestCommand::Kind::kPreempt;
  PushTo(id, std::move(command), false);
}

}  // namespace papaya
