#include "src/gateway/memory_log.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace papaya {

namespace {

EventId EventOf(MemoryBudget::Change change) {
  switch (change) {
    case MemoryBudget::Change::kReadingPaused:
      return EventId::kMemoryReadingPaused;
    case MemoryBudget::Change::kReadingResumed:
      return EventId::kMemoryReadingResumed;
    case MemoryBudget::Change::kRejecting:
      return EventId::kMemoryRejecting;
    case MemoryBudget::Change::kRejectingEnded:
      return EventId::kMemoryRejectingEnded;
  }
  return EventId::kMemoryRejecting;
}

Event MakeEvent(MemoryBudget::Change change,
                Tier tier,
                const MemoryBudget& budget) {
  Event event{.id = EventOf(change)};
  event.fields = {{"used", absl::StrCat(budget.used().value())},
                  {"capacity", absl::StrCat(budget.capacity().value())},
                  {"waiting", absl::StrCat(budget.waiting())},
                  {"paused", absl::StrCat(budget.paused())},
                  {"rejected", absl::StrCat(budget.rejected())}};
  const bool begins = change == MemoryBudget::Change::kReadingPaused ||
                      change == MemoryBudget::Change::kRejecting;
  if (begins) {
    event.fields.emplace_back("tier", TierName(tier));
    for (size_t i = 0; i < kMemoryKindCount; ++i) {
      const auto kind = static_cast<MemoryKind>(i);
      event.fields.emplace_back(MemoryKindName(kind),
                                absl::StrCat(budget.used(kind).value()));
    }
  }
  return event;
}

}  // namespace

std::shared_ptr<MemoryBudget> MakeMemoryBudget(boost::asio::io_context& context,
                                               Bytes process_limit,
                                               Logger* logger) {
  auto budget = std::make_shared<MemoryBudget>(process_limit);
  // The budget owns its hooks, so they must not own the budget.
  const std::weak_ptr<MemoryBudget> weak = budget;
  MemoryBudget::Hooks hooks;
  hooks.room_freed = [&context, weak] {
    boost::asio::post(context, [weak] {
      if (const auto self = weak.lock()) {
        self->GrantWaiting();
      }
    });
  };
  hooks.changed = [weak, logger](MemoryBudget::Change change, Tier tier) {
    if (const auto self = weak.lock()) {
      logger->Log(MakeEvent(change, tier, *self));
    }
  };
  budget->SetHooks(std::move(hooks));
  return budget;
}

}  // namespace papaya
