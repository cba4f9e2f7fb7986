#include "include/membership/overlay.h"

#include <algorithm>
#include <array>

#include "include/base/stable_hash.h"
#include "include/config/fleet_view.h"

namespace papaya {

namespace {

// Nearness of two routers.
enum Distance : size_t { kSameZone, kSameRegion, kElsewhere, kDistances };

// A router with what the choice needs, as small numbers.
struct Node {
  uint64_t hash = 0;
  uint64_t zone = 0;
  uint64_t region = 0;
};

// One router that may watch another.
struct Candidate {
  uint64_t weight = 0;
  uint32_t index = 0;
  Distance distance = kElsewhere;
};

std::vector<Node> MakeNodes(const std::vector<RouterView>& routers) {
  std::vector<Node> nodes;
  nodes.reserve(routers.size());
  for (const RouterView& router : routers) {
    const uint64_t region = StableHash(router.region.value());
    nodes.push_back({.hash = StableHash(router.id.value()),
                     .zone = StableHash(router.zone.value(), region),
                     .region = region});
  }
  return nodes;
}

Distance DistanceOf(const Node& a, const Node& b) {
  if (a.zone == b.zone) {
    return kSameZone;
  }
  return a.region == b.region ? kSameRegion : kElsewhere;
}

// The highest weights seen, of each distance, highest first. There are never
// more than a handful, so insertion is cheap.
class Best {
 public:
  explicit Best(size_t limit) : limit_(limit) {}

  void Offer(const Candidate& candidate) {
    std::vector<Candidate>& list = lists_[candidate.distance];
    if (list.size() == limit_ && candidate.weight <= list.back().weight) {
      return;
    }
    const auto place =
        std::upper_bound(list.begin(), list.end(), candidate,
                         [](const Candidate& a, const Candidate& b) {
                           return a.weight > b.weight;
                         });
    list.insert(place, candidate);
    if (list.size() > limit_) {
      list.pop_back();
    }
  }

  void Clear() {
    for (std::vector<Candidate>& list : lists_) {
      list.clear();
    }
  }

  // Takes what `shape` asks for of each distance, then fills up with the
  // nearest of the rest.
  std::vector<uint32_t> Take(const OverlayShape& shape) const {
    const std::array<size_t, kDistances> wanted = {
        shape.in_zone, shape.in_region, shape.in_fleet};
    std::vector<uint32_t> taken;
    for (size_t distance = 0; distance < kDistances; ++distance) {
      const size_t count = std::min(wanted[distance], lists_[distance].size());
      Append(distance, 0, count, &taken);
    }
    for (size_t distance = 0; distance < kDistances; ++distance) {
      const size_t used = std::min(wanted[distance], lists_[distance].size());
      const size_t missing = limit_ - taken.size();
      const size_t count = std::min(missing, lists_[distance].size() - used);
      Append(distance, used, count, &taken);
    }
    return taken;
  }

 private:
  void Append(size_t distance,
              size_t first,
              size_t count,
              std::vector<uint32_t>* taken) const {
    for (size_t i = first; i < first + count; ++i) {
      taken->push_back(lists_[distance][i].index);
    }
  }

  const size_t limit_;
  std::array<std::vector<Candidate>, kDistances> lists_;
};

uint64_t WeightOf(const Node& target, const Node& watcher) {
  return CombineHashes(target.hash, watcher.hash);
}

// Indices of the routers that watch the `target`-th one.
std::vector<uint32_t> ChooseWatchers(const std::vector<Node>& nodes,
                                     size_t target,
                                     const OverlayShape& shape,
                                     Best* best) {
  best->Clear();
  for (uint32_t i = 0; i < nodes.size(); ++i) {
    if (i == target) {
      continue;
    }
    best->Offer({.weight = WeightOf(nodes[target], nodes[i]),
                 .index = i,
                 .distance = DistanceOf(nodes[target], nodes[i])});
  }
  return best->Take(shape);
}

// False if at least `limit` routers as near to the target as the `watcher`-th
// one outweigh it, so that it is surely not chosen. Most often a few routers
// are enough to know.
bool MayWatch(const std::vector<Node>& nodes,
              size_t target,
              size_t watcher,
              size_t limit) {
  const uint64_t weight = WeightOf(nodes[target], nodes[watcher]);
  const Distance distance = DistanceOf(nodes[target], nodes[watcher]);
  size_t above = 0;
  for (size_t i = 0; i < nodes.size() && above < limit; ++i) {
    if (i != target && DistanceOf(nodes[target], nodes[i]) == distance &&
        WeightOf(nodes[target], nodes[i]) > weight) {
      ++above;
    }
  }
  return above < limit;
}

size_t IndexOf(const RouterId& id, const std::vector<RouterView>& routers) {
  const auto found = std::lower_bound(
      routers.begin(), routers.end(), id,
      [](const RouterView& r, const RouterId& key) { return r.id < key; });
  const bool is_there = found != routers.end() && found->id == id;
  return static_cast<size_t>((is_there ? found : routers.end()) -
                             routers.begin());
}

void SortAndUnite(std::vector<RouterId>* ids) {
  std::sort(ids->begin(), ids->end());
  ids->erase(std::unique(ids->begin(), ids->end()), ids->end());
}

}  // namespace

Overlay MakeOverlay(const RouterId& self,
                    const std::vector<RouterView>& routers,
                    const OverlayShape& shape) {
  const std::vector<Node> nodes = MakeNodes(routers);
  const size_t limit = shape.in_zone + shape.in_region + shape.in_fleet;
  const size_t own = IndexOf(self, routers);
  Best best(limit);
  Overlay overlay;
  for (uint32_t target = 0; target < routers.size(); ++target) {
    if (target == own || own == routers.size() ||
        !MayWatch(nodes, target, own, limit)) {
      continue;
    }
    const std::vector<uint32_t> watchers =
        ChooseWatchers(nodes, target, shape, &best);
    if (std::find(watchers.begin(), watchers.end(), own) != watchers.end()) {
      overlay.targets.push_back(routers[target].id);
    }
  }
  overlay.neighbours = overlay.targets;
  if (own < routers.size()) {
    for (uint32_t watcher : ChooseWatchers(nodes, own, shape, &best)) {
      overlay.neighbours.push_back(routers[watcher].id);
    }
  }
  SortAndUnite(&overlay.neighbours);
  return overlay;
}

}  // namespace papaya
