// Parsing with bounds on depth and lengths, so that hostile input can't
// exhaust the stack or the memory.

#include "wire/codec.h"

#include <climits>
#include <cstdint>
#include <vector>

namespace sassafras::wire {
namespace {

using Json = nlohmann::json;

// A SAX consumer that builds a value and refuses nesting past kMaxDepth.
class DepthLimitedBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  explicit DepthLimitedBuilder(Json& target) : Base(target, false) {}

  bool start_object(size_t elements) {
    return Enter() && Base::start_object(elements);
  }
  bool start_array(size_t elements) {
    return Enter() && Base::start_array(elements);
  }
  bool end_object() { return Leave() && Base::end_object(); }
  bool end_array() { return Leave() && Base::end_array(); }
  bool parse_error(size_t position,
                   const std::string& token,
                   const Json::exception& error) {
    message_ = error.what();
    return Base::parse_error(position, token, error);
  }

  bool is_too_deep() const { return depth_ > kMaxDepth; }
  const std::string& message() const { return message_; }

 private:
  bool Enter() { return ++depth_ <= kMaxDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  size_t depth_ = 0;
  std::string message_;
};

std::optional<Json> Parse(std::string_view bytes,
                          Json::input_format_t format,
                          CodecReason& why) {
  Json root;
  DepthLimitedBuilder builder(root);
  bool is_ok = false;
  try {
    is_ok = Json::sax_parse(bytes.begin(), bytes.end(), &builder, format);
  } catch (const Json::exception& error) {
    why.Set(CodecError::kMalformed, error.what());
    return std::nullopt;
  }
  if (is_ok) {
    return root;
  }
  if (builder.is_too_deep()) {
    why.Set(CodecError::kTooDeep,
            "nested deeper than " + std::to_string(kMaxDepth) + " levels");
  } else {
    why.Set(CodecError::kMalformed, builder.message());
  }
  return std::nullopt;
}

// --- bounds of CBOR, checked before the decoder sees it ---

// The kinds of an item's head (RFC 8949, section 3.1).
enum MajorType : unsigned { kBinary = 2, kText = 3 };

struct CborHead {
  unsigned major = 0;
  uint64_t argument = 0;  // a value, or a length
};

// Takes a head off the front; nothing where it is cut off or its length is
// indefinite.
std::optional<CborHead> TakeHead(std::string_view& rest) {
  constexpr unsigned kMajorShift = 5;
  constexpr unsigned kInfoMask = 31;
  constexpr unsigned kFirstLong = 24;  // 24 to 27: 1, 2, 4 or 8 bytes follow
  constexpr unsigned kLastLong = 27;
  const unsigned first = static_cast<uint8_t>(rest.front());
  const unsigned info = first & kInfoMask;
  rest.remove_prefix(1);
  CborHead head{first >> kMajorShift, info};
  if (info < kFirstLong) {
    return head;
  }
  const size_t size = info <= kLastLong ? 1U << (info - kFirstLong) : SIZE_MAX;
  if (size > rest.size()) {
    return std::nullopt;
  }
  head.argument = 0;
  for (const char it : rest.substr(0, size)) {
    head.argument = head.argument << CHAR_BIT | static_cast<uint8_t>(it);
  }
  rest.remove_prefix(size);
  return head;
}

// Walks the heads from front to back. Refuses indefinite lengths, which the
// encoder never writes and the decoder follows by recursion, and strings longer
// than the rest of the input. The decoder itself refuses lists that are cut
// off; it allocates nothing for items that aren't there.
bool HasBoundedLengths(std::string_view bytes, CodecReason& why) {
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const size_t at = bytes.size() - rest.size();
    const auto head = TakeHead(rest);
    if (!head) {
      return why.Set(
          CodecError::kMalformed,
          "CBOR of indefinite length or cut off at byte " + std::to_string(at));
    }
    if (head->major != kBinary && head->major != kText) {
      continue;
    }
    if (head->argument > rest.size()) {
      return why.Set(CodecError::kMalformed,
                     "the string at byte " + std::to_string(at) +
                         " is longer than the rest of the input");
    }
    rest.remove_prefix(head->argument);
  }
  return true;
}

}  // namespace

std::optional<Json> ParseJson(std::string_view text, CodecReason& why) {
  return Parse(text, Json::input_format_t::json, why);
}

std::optional<Json> ParseCbor(std::string_view bytes, CodecReason& why) {
  return HasBoundedLengths(bytes, why)
             ? Parse(bytes, Json::input_format_t::cbor, why)
             : std::nullopt;
}

std::string ToCborBytes(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

std::string ToJsonText(const nlohmann::json& value) {
  constexpr int kOneLine = -1;
  return value.dump(kOneLine, ' ', false, Json::error_handler_t::replace);
}

}  // namespace sassafras::wire
