// Typed identifiers: a worker's name can't be passed where a job's is meant.

#ifndef BASE_ID_H_
#define BASE_ID_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace sassafras::base {

// Returns the first eight bytes of the text as a number that orders texts as
// they are ordered themselves, as far as these bytes differ.
inline uint64_t OrderPrefix(std::string_view text) {
  uint64_t prefix = 0;
  for (size_t n = 0; n < sizeof(prefix); ++n) {
    const auto byte = n < text.size() ? static_cast<uint8_t>(text[n]) : 0;
    prefix = prefix << 8 | byte;
  }
  return prefix;
}

// A name chosen outside this process. `Tag` only tells kinds apart. Names are
// keys of most tables: copies share their text, and most comparisons need only
// its first bytes. Different copies may be used on different threads.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) {
    if (!text.empty()) {
      prefix_ = OrderPrefix(text);
      text_ = std::make_shared<const std::string>(std::move(text));
    }
  }

  Name(const Name&) = default;
  Name& operator=(const Name&) = default;
  Name(Name&& other) noexcept
      : prefix_(std::exchange(other.prefix_, 0)),
        text_(std::move(other.text_)) {}
  Name& operator=(Name&& other) noexcept {
    prefix_ = std::exchange(other.prefix_, 0);
    text_ = std::move(other.text_);
    return *this;
  }
  ~Name() = default;

  const std::string& str() const {
    static const auto* const empty_text = new std::string;
    return text_ == nullptr ? *empty_text : *text_;
  }
  bool empty() const { return text_ == nullptr; }

  friend bool operator==(const Name& left, const Name& right) {
    return left.prefix_ == right.prefix_ &&
           (left.text_ == right.text_ || left.str() == right.str());
  }
  friend std::strong_ordering operator<=>(const Name& left, const Name& right) {
    if (left.prefix_ != right.prefix_) {
      return left.prefix_ <=> right.prefix_;
    }
    return left.text_ == right.text_ ? std::strong_ordering::equal
                                     : left.str() <=> right.str();
  }
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.str();
  }

 private:
  uint64_t prefix_ = 0;                      // OrderPrefix() of the text
  std::shared_ptr<const std::string> text_;  // null if empty
};

// A number that only grows, handed out by this system. Zero means "none".
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr bool IsNone() const { return value_ == 0; }
  constexpr Number Next() const { return Number(value_ + 1); }

  friend constexpr auto operator<=>(Number, Number) = default;
  friend std::ostream& operator<<(std::ostream& out, Number number) {
    return out << number.value_;
  }

 private:
  uint64_t value_ = 0;
};

}  // namespace sassafras::base

template <typename Tag>
struct std::hash<sassafras::base::Name<Tag>> {
  size_t operator()(const sassafras::base::Name<Tag>& name) const {
    return std::hash<std::string>()(name.str());
  }
};

template <typename Tag>
struct std::hash<sassafras::base::Number<Tag>> {
  size_t operator()(sassafras::base::Number<Tag> number) const {
    return std::hash<uint64_t>()(number.value());
  }
};

#endif  // BASE_ID_H_
