#include "include/config/config_spreader.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "include/config/config_delta.h"
#include "include/config/fleet_config_check.h"
#include "src/config/applied_table.h"
#include "src/config/config_history.h"
#include "src/config/config_reader.h"
#include "src/config/fact_gossip.h"
#include "src/config/reader_choice.h"

namespace papaya {

namespace {

// A starting router reads the store itself if peers gave nothing for so long.
constexpr Duration kStartReadDelay = std::chrono::seconds(3);
// A starting router knows the others by then, and so who reads the store.
constexpr Duration kReaderDelay = std::chrono::milliseconds(800);
// Without the store, a starting router hears its neighbours for so long.
constexpr Duration kSettleTime = std::chrono::milliseconds(1500);
// A router that knows of a higher revision and gets it from nobody for so long
// reads the store itself.
constexpr Duration kBehindLimit = std::chrono::seconds(4);

}  // namespace

ConfigSpreader::ConfigSpreader(Options options,
                               ObjectStore* store,
                               Hooks hooks,
                               Random random,
                               TimePoint now)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(random),
      now_(now),
      started_(now),
      history_(std::make_unique<ConfigHistory>()),
      applied_(std::make_unique<AppliedTable>()),
      facts_(std::make_unique<FactGossip>(
          FactGossip::Hooks{hooks_.facts_changed, hooks_.event})),
      behind_since_(now),
      last_heard_(now) {
  reader_ = std::make_unique<ConfigReader>(
      options_.store_key, store,
      ConfigReader::Hooks{
          .read =
              [this](std::shared_ptr<const FleetConfig> config) {
                OnStoreConfig(std::move(config));
              },
          .failed =
              [this](const absl::Status& status) {
                Log(EventId::kConfigReadFailed, "error",
                    std::string(status.message()));
              }},
      Random(random_.Next64()));
}

ConfigSpreader::~ConfigSpreader() = default;

void ConfigSpreader::OnView(const FleetView& view, TimePoint now) {
  now_ = now;
  const std::vector<RouterId> old = std::move(view_.neighbours);
  view_ = view;
  applied_->OnView(view_, now);
  LearnOwnRevision();
  ChooseReaders();
  for (const RouterId& neighbour : view_.neighbours) {
    if (!std::binary_search(old.begin(), old.end(), neighbour)) {
      hooks_.send(neighbour, MakeDigest());
    }
  }
}

void ConfigSpreader::OnMessage(const RouterId& from,
                               const ConfigMessage& message,
                               TimePoint now) {
  now_ = now;
  std::visit([&](const auto& body) { Handle(from, body); }, message);
}

void ConfigSpreader::OnTick(TimePoint now) {
  now_ = now;
  if (!is_reader_chosen_) {
    ChooseReaders();
  }
  ReadStoreIfSilent();
  reader_->OnTick(now);
  EnforceIfDue();
  FlushFacts();
  FlushApplied();
  SendDigests();
}

bool ConfigSpreader::Offer(std::shared_ptr<const FleetConfig> config,
                           TimePoint now) {
  now_ = now;
  const uint64_t hash = HashConfig(*config);
  return Adopt(std::move(config), hash, "offer", {});
}

bool ConfigSpreader::AddFact(const StoppedVersion& fact, TimePoint now) {
  now_ = now;
  const bool is_kept = facts_->Add(fact);
  FlushFacts();
  return is_kept;
}

bool ConfigSpreader::AddFact(const LeavingUpstream& fact, TimePoint now) {
  now_ = now;
  const bool is_kept = facts_->Add(fact);
  FlushFacts();
  return is_kept;
}

const FactSet& ConfigSpreader::facts() const {
  return facts_->facts();
}

RevisionReport ConfigSpreader::Report() const {
  RevisionReport report;
  report.highest = highest_known_;
  for (const RouterView& router : view_.routers) {
    const uint64_t key = RouterKey(router.id, router.incarnation);
    report.routers.push_back({router.id, applied_->Find(key)});
  }
  return report;
}

bool ConfigSpreader::IsReader() const {
  return reader_->is_watching();
}

bool ConfigSpreader::Adopt(std::shared_ptr<const FleetConfig> config,
                           uint64_t hash,
                           const std::string& source,
                           std::vector<ConfigDelta> steps) {
  if (config->revision <= HeldRevision()) {
    if (config->revision == HeldRevision() && hash != held_hash_) {
      Log(EventId::kConfigConflict, "source", source);
    }
    return false;
  }
  const std::vector<std::string> faults = CheckFleetConfig(*config);
  if (!faults.empty()) {
    Log(EventId::kConfigRefused, "faults", absl::StrJoin(faults, "; "));
    return false;
  }
  if (held_ != nullptr && steps.empty()) {
    steps.push_back(DiffConfigs(*held_, *config));
  }
  for (ConfigDelta& step : steps) {
    history_->Add(std::move(step));
  }
  held_ = std::move(config);
  held_hash_ = hash;
  pending_until_ = {};
  NoteKnown(held_->revision);
  EnforceIfDue();
  return true;
}

void ConfigSpreader::OnStoreConfig(std::shared_ptr<const FleetConfig> config) {
  store_revision_ = std::max(store_revision_, config->revision);
  const uint64_t hash = HashConfig(*config);
  Adopt(std::move(config), hash, "store", {});
  EnforceIfDue();
}

void ConfigSpreader::EnforceIfDue() {
  if (held_ == nullptr || held_ == config_) {
    return;
  }
  if (config_ != nullptr || MayEnforceFirst()) {
    Enforce();
  }
}

bool ConfigSpreader::MayEnforceFirst() const {
  if (now_ - started_ >= options_.start_limit) {
    return true;
  }
  if (held_->revision < highest_known_) {
    return false;
  }
  if (store_revision_ > Revision(0)) {
    return true;
  }
  const size_t neighbours = view_.neighbours.size();
  const bool is_settled = now_ - started_ >= kSettleTime;
  return is_settled && neighbours > 0 && heard_.size() > neighbours / 2;
}

void ConfigSpreader::Enforce() {
  if (held_->revision < highest_known_) {
    Log(EventId::kConfigBehindKnown, "highest_known",
        absl::StrCat(highest_known_.value()));
  }
  config_ = held_;
  heard_.clear();
  LearnOwnRevision();
  Log(EventId::kRevisionInForce, "revision",
      absl::StrCat(config_->revision.value()));
  hooks_.in_force(config_);
  facts_->OnConfig(config_);
  SendToSome(view_.neighbours.size(), MakeDigest());
}

void ConfigSpreader::LearnOwnRevision() {
  const RouterView* self = FindRouter(view_, options_.self);
  if (self != nullptr && config_ != nullptr) {
    applied_->Learn(RouterKey(self->id, self->incarnation), config_->revision,
                    now_);
  }
}

Revision ConfigSpreader::HeldRevision() const {
  return held_ == nullptr ? Revision(0) : held_->revision;
}

void ConfigSpreader::NoteKnown(Revision revision) {
  if (revision <= highest_known_) {
    return;
  }
  if (highest_known_ <= HeldRevision()) {
    behind_since_ = now_;
  }
  highest_known_ = revision;
}

void ConfigSpreader::ChooseReaders() {
  if (now_ - started_ < kReaderDelay) {
    return;
  }
  is_reader_chosen_ = true;
  reader_->SetWatching(IsPickedReader(view_, options_.readers_per_zone));
}

void ConfigSpreader::ReadStoreIfSilent() {
  const bool is_starting =
      held_ == nullptr && now_ - started_ >= kStartReadDelay;
  const bool is_silent = now_ - last_heard_ >= options_.silence_limit;
  const bool is_behind =
      highest_known_ > HeldRevision() && now_ - behind_since_ >= kBehindLimit;
  if (is_starting || is_silent || is_behind) {
    reader_->RequestRead();
  }
}

void ConfigSpreader::Log(EventId id,
                         const std::string& key,
                         const std::string& value) const {
  hooks_.event({id, {{key, value}}});
}

}  // namespace papaya
