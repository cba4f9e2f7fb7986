#ifndef TESTS_FAKES_CRASH_FLEET_H_
#define TESTS_FAKES_CRASH_FLEET_H_

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "include/admission/prompt_quarantine.h"
#include "include/base/random.h"
#include "include/config/fleet_view.h"
#include "include/membership/overlay.h"
#include "tests/fakes/event_queue.h"

namespace papaya {

// Routers that quarantine prompt parts, and engines that crash, in virtual
// time. Requests arrive at any router and go to any running engine.
class CrashFleet {
 public:
  struct Options {
    size_t routers = 7;
    size_t zones = 3;
    size_t engines = 9;
    // All requests a second, and the share of them that hold a deadly part.
    double requests_per_s = 60.0;
    double deadly_share = 0.02;
    size_t deadly_parts = 1;
    // Parts that are first in the prompts of sound and deadly requests.
    uint64_t first_parts = 40;
    // Of messages between routers.
    double loss = 0.0;
    Duration max_delay = std::chrono::milliseconds(40);
    uint64_t seed = 1;
  };

  static constexpr uint64_t kDeadlyBase = 1'000'000;
  static constexpr Duration kRestartTime = std::chrono::milliseconds(3200);

  explicit CrashFleet(const Options& options)
      : options_(options), random_(options.seed) {
    std::vector<RouterView> views;
    for (size_t i = 0; i < options.routers; ++i) {
      RouterView view;
      view.id = NameOf(i);
      view.region = RegionId("r");
      view.zone = AvailabilityZoneId(absl::StrCat("z", i % options.zones));
      views.push_back(view);
    }
    std::sort(
        views.begin(), views.end(),
        [](const RouterView& a, const RouterView& b) { return a.id < b.id; });
    for (size_t i = 0; i < options.routers; ++i) {
      neighbours_.push_back(
          MakeOverlay(NameOf(i), views, OverlayShape()).neighbours);
      routers_.push_back(nullptr);
      StartRouter(i);
    }
    engines_.resize(options.engines);
    TickRouters();
    ScheduleRequest();
  }

  // Replaces the router by a new process that knows nothing.
  void StartRouter(size_t index) {
    PromptQuarantine::Hooks hooks;
    hooks.send = [this](const RouterId& to, const CrashNews& news) {
      Send(to, news);
    };
    hooks.begun = [](PromptPartId) {};
    hooks.event = [this](const Event& event) {
      if (event.id == EventId::kPartQuarantined) {
        quarantined.insert(event.fields.front().second);
      }
    };
    routers_[index] =
        std::make_unique<PromptQuarantine>(NameOf(index), std::move(hooks));
    routers_[index]->SetNeighbours(neighbours_[index], queue.now());
  }

  // Ends `count` engines at the same time.
  void CrashMany(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      Crash(i);
    }
  }

  // Returns the number of deadly requests sent later than `delay` after the
  // fifth crash by one.
  size_t CountSentAfterFifthCrash(Duration delay) const {
    if (deadly_crashes.size() < 5) {
      return 0;
    }
    const TimePoint bound = deadly_crashes[4] + delay;
    return static_cast<size_t>(
        std::count_if(deadly_sent.begin(), deadly_sent.end(),
                      [bound](TimePoint sent) { return sent > bound; }));
  }

  // Routers on which a deadly part is quarantined.
  size_t CountQuarantining(uint64_t part) const {
    return static_cast<size_t>(std::count_if(
        routers_.begin(), routers_.end(), [this, part](const auto& router) {
          return router->TimeLeft({PromptPartId(part)}, queue.now())
              .has_value();
        }));
  }

  EventQueue queue;
  std::vector<TimePoint> deadly_crashes;
  std::vector<TimePoint> deadly_sent;
  // The names of all parts that a router has quarantined.
  std::set<std::string> quarantined;
  size_t sound_rejected = 0;
  size_t messages = 0;
  size_t largest_message = 0;

 private:
  struct Running {
    uint64_t id = 0;
    size_t router = 0;
    std::vector<PromptPartId> parts;
    bool has_survived = false;
  };
  struct Engine {
    int starts = 1;
    bool is_running = true;
    std::vector<Running> requests;
  };

  static RouterId NameOf(size_t index) {
    return RouterId(absl::StrCat("router-", index));
  }
  size_t IndexOf(const RouterId& id) const {
    return static_cast<size_t>(std::stoul(id.value().substr(7)));
  }
  UpstreamId IdOf(size_t engine) const {
    return UpstreamId(absl::StrCat("e", engine, "#", engines_[engine].starts));
  }
  Duration Between(Duration least, Duration most) {
    return least +
           SecondsToDuration(random_.Uniform() * ToSeconds(most - least));
  }

  void Send(const RouterId& to, const CrashNews& news) {
    ++messages;
    largest_message = std::max(largest_message, news.parts.size());
    if (random_.Chance(options_.loss)) {
      return;
    }
    queue.After(Between(Duration(), options_.max_delay), [this, to, news] {
      routers_[IndexOf(to)]->OnNews(news, queue.now());
    });
  }

  void TickRouters() {
    for (const std::unique_ptr<PromptQuarantine>& router : routers_) {
      router->OnTick(queue.now());
    }
    queue.After(std::chrono::milliseconds(25), [this] { TickRouters(); });
  }

  void ScheduleRequest() {
    const double wait = 2.0 * random_.Uniform() / options_.requests_per_s;
    queue.After(SecondsToDuration(wait), [this] {
      Arrive();
      ScheduleRequest();
    });
  }

  void Arrive() {
    Running request;
    request.id = ++last_id_;
    request.router = random_.Below(routers_.size());
    request.parts = {PromptPartId(1 + random_.Below(options_.first_parts))};
    const bool is_deadly = random_.Chance(options_.deadly_share);
    if (is_deadly) {
      request.parts.emplace_back(kDeadlyBase +
                                 random_.Below(options_.deadly_parts));
    }
    if (routers_[request.router]->TimeLeft(request.parts, queue.now())) {
      sound_rejected += is_deadly ? 0 : 1;
      return;
    }
    const size_t engine = random_.Below(engines_.size());
    if (!engines_[engine].is_running) {
      return;
    }
    if (is_deadly) {
      deadly_sent.push_back(queue.now());
    }
    engines_[engine].requests.push_back(request);
    const int start = engines_[engine].starts;
    queue.After(
        Between(std::chrono::milliseconds(30), std::chrono::milliseconds(400)),
        [this, engine, start, id = request.id, is_deadly] {
          Write(engine, start, id, is_deadly);
        });
  }

  void Write(size_t engine, int start, uint64_t id, bool is_deadly) {
    if (engines_[engine].starts != start || !engines_[engine].is_running) {
      return;
    }
    if (is_deadly) {
      deadly_crashes.push_back(queue.now());
      Crash(engine);
      return;
    }
    for (Running& request : engines_[engine].requests) {
      if (request.id == id) {
        request.has_survived = true;
        routers_[request.router]->OnAlive(IdOf(engine), queue.now());
        routers_[request.router]->OnSurvived(request.parts, queue.now());
      }
    }
    queue.After(std::chrono::seconds(1), [this, engine, id] {
      std::erase_if(engines_[engine].requests,
                    [id](const Running& one) { return one.id == id; });
    });
  }

  void Crash(size_t engine) {
    Engine& crashed = engines_[engine];
    if (!crashed.is_running) {
      return;
    }
    crashed.is_running = false;
    for (const Running& request : std::exchange(crashed.requests, {})) {
      if (!request.has_survived) {
        routers_[request.router]->OnBroken(IdOf(engine), request.parts,
                                           queue.now());
      }
    }
    queue.After(kRestartTime, [this, engine] {
      ++engines_[engine].starts;
      engines_[engine].is_running = true;
    });
  }

  const Options options_;
  Random random_;
  std::vector<std::vector<RouterId>> neighbours_;
  std::vector<std::unique_ptr<PromptQuarantine>> routers_;
  std::vector<Engine> engines_;
  uint64_t last_id_ = 0;
};

}  // namespace papaya

#endif  // TESTS_FAKES_CRASH_FLEET_H_
