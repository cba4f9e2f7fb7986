#include "include/config/upstream_kind.h"

#include <utility>

namespace papaya {

namespace {

constexpr std::pair<UpstreamKind, const char*> kKindNames[] = {
    {UpstreamKind::kModelEngine, "model_engine"},
    {UpstreamKind::kPlainService, "plain_service"},
};

}  // namespace

const char* UpstreamKindName(UpstreamKind kind) {
  for (const std::pair<UpstreamKind, const char*>& entry : kKindNames) {
    if (entry.first == kind) {
      return entry.second;
    }
  }
  return "";
}

std::optional<UpstreamKind> ParseUpstreamKind(const std::string& name) {
  for (const std::pair<UpstreamKind, const char*>& entry : kKindNames) {
    if (entry.second == name) {
      return entry.first;
    }
  }
  return std::nullopt;
}

}  // namespace papaya
