#include "include/rollout/engine_order.h"

namespace papaya {

const char* OrderActionName(OrderAction action) {
  switch (action) {
    case OrderAction::kLoadVersion:
      return "load_version";
    case OrderAction::kActivateVersion:
      return "activate_version";
    case OrderAction::kUnloadVersion:
      return "unload_version";
    case OrderAction::kLoadAdapter:
      return "load_adapter";
    case OrderAction::kSetRole:
      return "set_role";
  }
  return "";
}

}  // namespace papaya
