#ifndef INCLUDE_BASE_STRONG_ID_H_
#define INCLUDE_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace papaya {

// A name of one kind of thing. Two kinds, told apart by `Tag`, never compare
// or convert to one another.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }

  // True for an id that was never given a name.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

  template <typename H>
  friend H AbslHashValue(H hash, const StrongId& id) {
    return H::combine(std::move(hash), id.value_);
  }

 private:
  std::string value_;
};

}  // namespace papaya

template <typename Tag>
struct std::hash<papaya::StrongId<Tag>> {
  size_t operator()(const papaya::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // INCLUDE_BASE_STRONG_ID_H_
