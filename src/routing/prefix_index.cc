#include "include/routing/prefix_index.h"

#include <algorithm>
#include <utility>

namespace papaya {

const PrefixIndex::Holders* PrefixIndex::Lookup(uint64_t hash) const {
  auto young = young_.find(hash);
  if (young != young_.end()) {
    return &young->second;
  }
  auto old = old_.find(hash);
  return old == old_.end() ? nullptr : &old->second;
}

void PrefixIndex::AddOne(uint64_t hash, int32_t upstream) {
  auto young = young_.find(hash);
  if (young == young_.end()) {
    Holders holders;
    holders.fill(kNone);
    auto old = old_.find(hash);
    if (old != old_.end()) {
      holders = old->second;
      old_.erase(old);
    }
    young = young_.emplace(hash, holders).first;
  }
  Holders& holders = young->second;
  auto place = std::find(holders.begin(), holders.end() - 1, upstream);
  std::rotate(holders.begin(), place, place + 1);
  holders.front() = upstream;
}

void PrefixIndex::Add(const std::vector<uint64_t>& hashes, int32_t upstream) {
  for (uint64_t hash : hashes) {
    AddOne(hash, upstream);
  }
  if (young_.size() >= half_) {
    old_ = std::exchange(young_, Table());
  }
}

void PrefixIndex::Remove(const std::vector<uint64_t>& hashes,
                         int32_t upstream) {
  for (uint64_t hash : hashes) {
    for (Table* table : {&young_, &old_}) {
      auto found = table->find(hash);
      if (found == table->end()) {
        continue;
      }
      Holders& holders = found->second;
      auto end = std::remove(holders.begin(), holders.end(), upstream);
      std::fill(end, holders.end(), kNone);
      if (holders.front() == kNone) {
        table->erase(found);
      }
    }
  }
}

size_t PrefixIndex::Find(const std::vector<uint64_t>& hashes,
                         std::array<Match, kHolders>* matches) const {
  size_t count = 0;
  for (size_t blocks = hashes.size(); blocks > 0; --blocks) {
    const Holders* holders = Lookup(hashes[blocks - 1]);
    if (holders == nullptr) {
      continue;
    }
    for (int32_t upstream : *holders) {
      if (upstream == kNone) {
        break;
      }
      auto end = matches->begin() + static_cast<ptrdiff_t>(count);
      const bool is_known =
          std::any_of(matches->begin(), end, [upstream](const Match& match) {
            return match.upstream == upstream;
          });
      if (!is_known) {
        (*matches)[count++] = {upstream, blocks};
      }
      if (count == kHolders) {
        return count;
      }
    }
  }
  return count;
}

}  // namespace papaya
