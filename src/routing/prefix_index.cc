#include "include/routing/prefix_index.h"

#include <algorithm>
#include <utility>

namespace papaya {

const PrefixIndex::Holders* PrefixIndex::Lookup(uint64_t hash) const {
  auto recent = recent_.find(hash);
  if (recent != recent_.end()) {
    return &recent->second;
  }
  auto older = older_.find(hash);
  return older == older_.end() ? nullptr : &older->second;
}

void PrefixIndex::AddOne(uint64_t hash, int32_t upstream) {
  auto recent = recent_.find(hash);
  if (recent == recent_.end()) {
    Holders holders;
    holders.fill(kNoUpstream);
    auto older = older_.find(hash);
    if (older != older_.end()) {
      holders = older->second;
      older_.erase(older);
    }
    recent = recent_.emplace(hash, holders).first;
  }
  Holders& holders = recent->second;
  auto position = std::find(holders.begin(), holders.end() - 1, upstream);
  std::rotate(holders.begin(), position, position + 1);
  holders.front() = upstream;
}

void PrefixIndex::Add(const std::vector<uint64_t>& hashes, int32_t upstream) {
  for (uint64_t hash : hashes) {
    AddOne(hash, upstream);
  }
  if (recent_.size() >= half_capacity_) {
    older_ = std::exchange(recent_, Table());
  }
}

void PrefixIndex::Remove(const std::vector<uint64_t>& hashes,
                         int32_t upstream) {
  for (uint64_t hash : hashes) {
    for (Table* table : {&recent_, &older_}) {
      auto found = table->find(hash);
      if (found == table->end()) {
        continue;
      }
      Holders& holders = found->second;
      auto end = std::remove(holders.begin(), holders.end(), upstream);
      std::fill(end, holders.end(), kNoUpstream);
      if (holders.front() == kNoUpstream) {
        table->erase(found);
      }
    }
  }
}

size_t PrefixIndex::Find(const std::vector<uint64_t>& hashes,
                         std::array<Match, kMaxHolders>* matches) const {
  size_t count = 0;
  for (size_t blocks = hashes.size(); blocks > 0; --blocks) {
    const Holders* holders = Lookup(hashes[blocks - 1]);
    if (holders == nullptr) {
      continue;
    }
    for (int32_t upstream : *holders) {
      if (upstream == kNoUpstream) {
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
      if (count == kMaxHolders) {
        return count;
      }
    }
  }
  return count;
}

}  // namespace papaya
