// Tests of the codec: round trips, refusals, and arbitrary bytes.

#include "wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/commands.h"
#include "wire/ids.h"
#include "wire/resources.h"

namespace sassafras::wire {
namespace {

TEST(CodecTest, ResourcesSurviveCbor) {
  const Resources before{4000, 512, 1};
  CodecReason why;
  const auto after = DecodeCbor<Resources>(EncodeCbor(before), why);
  ASSERT_TRUE(after) << why.message;
  EXPECT_EQ(*after, before);
}

TEST(CodecTest, NestingPastTheLimitIsRefused) {
  CodecReason why;
  EXPECT_FALSE(ParseJson(std::string(kMaxDepth + 1, '['), why));
  EXPECT_EQ(why.code, CodecError::kTooDeep);
  EXPECT_FALSE(ParseCbor(std::string(kMaxDepth + 1, '\x81'), why));
  EXPECT_EQ(why.code, CodecError::kTooDeep);
}

// An error quotes the bytes that can't be read. Written as they were, they
// ended the process by an exception.
TEST(CodecTest, JsonThatQuotesForeignBytesIsValidText) {
  CodecReason why;
  ASSERT_FALSE(ParseJson("{\"a\":\"\xe4\"}", why));
  const std::string text = ToJsonText({{"error", why.message}});
  EXPECT_TRUE(ParseJson(text, why)) << text;
  EXPECT_EQ(ToJsonText({{"a", "\xe4"}}), "{\"a\":\"\xef\xbf\xbd\"}");
}

TEST(CodecTest, WrongShapeIsNamed) {
  CodecReason why;
  EXPECT_FALSE(DecodeJson<Resources>(R"({"milli_cpus":"many"})", why));
  EXPECT_EQ(why.code, CodecError::kWrongShape);
}

TEST(CommandTest, KindAndFieldsSurviveTheLog) {
  const Command before =
      Admit{.key = RequestKey("k1"), .entry = EntryId("e1"), .at_ms = 5};
  CodecReason why;
  const auto after = DecodeCommand(EncodeCommand(before), why);
  ASSERT_TRUE(after) << why.message;
  ASSERT_TRUE(std::holds_alternative<Admit>(*after));
  EXPECT_EQ(std::get<Admit>(*after).key, RequestKey("k1"));
}

TEST(CommandTest, UnknownKindIsRefused) {
  CodecReason why;
  EXPECT_FALSE(DecodeCommand(EncodeCbor(nlohmann::json{{"kind", "x"}}), why));
  EXPECT_EQ(why.code, CodecError::kWrongShape);
}

RC_GTEST_PROP(CodecProperty, ArbitraryBytesNeverThrow, (std::string bytes)) {
  CodecReason why;
  const auto cbor = DecodeCbor<Resources>(bytes, why);
  const auto text = DecodeJson<Resources>(bytes, why);
  RC_ASSERT(cbor.has_value() || text.has_value() || !why.message.empty());
}

}  // namespace
}  // namespace sassafras::wire
