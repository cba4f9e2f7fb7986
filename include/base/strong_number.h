#ifndef INCLUDE_BASE_STRONG_NUMBER_H_
#define INCLUDE_BASE_STRONG_NUMBER_H_

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace papaya {

// A number with a unit or a meaning of its own. Two kinds, told apart by
// `Tag`, never mix; sums and differences of one kind are allowed.
template <typename Tag, typename T>
class StrongNumber {
 public:
  using ValueType = T;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(T value) : value_(value) {}

  constexpr T value() const { return value_; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

  constexpr StrongNumber& operator+=(StrongNumber other) {
    value_ += other.value_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ + b.value_);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ - b.value_);
  }

  // The number after this one, as for revisions and epochs.
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value_;
  }

  template <typename H>
  friend H AbslHashValue(H hash, const StrongNumber& number) {
    return H::combine(std::move(hash), number.value_);
  }

 private:
  T value_{};
};

}  // namespace papaya

template <typename Tag, typename T>
struct std::hash<papaya::StrongNumber<Tag, T>> {
  size_t operator()(const papaya::StrongNumber<Tag, T>& number) const {
    return std::hash<T>()(number.value());
  }
};

#endif  // INCLUDE_BASE_STRONG_NUMBER_H_
