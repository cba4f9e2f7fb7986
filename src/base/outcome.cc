#include "include/base/outcome.h"

namespace papaya {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace papaya
