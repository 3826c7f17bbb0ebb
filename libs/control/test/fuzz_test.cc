// Fuzz tests of the consensus messages that control replicas decode.

#include "fuzz.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "consensus/message.h"

namespace sassafras::control {
namespace {

consensus::Message Sample() {
  consensus::Message sample;
  sample.kind = *rc::gen::element(consensus::MessageKind::kAppend,
                                  consensus::MessageKind::kSnapshot,
                                  consensus::MessageKind::kVoteReply);
  if (sample.kind == consensus::MessageKind::kAppend) {
    sample.records = {consensus::Record{}};
  }
  sample.snapshot.membership = {{consensus::Member{}}, {consensus::Member{}}};
  return sample;
}

RC_GTEST_PROP(ConsensusFuzz, MessagesRoundTripAndRejectBrokenBytes, ()) {
  const consensus::Message sample = Sample();
  fuzz::Json value = fuzz::Like(sample);
  if (value.contains("records") && value["records"].empty()) {
    value.erase("records");  // the encoder omits empty records
  }
  wire::CodecReason why;
  const auto message = wire::FromValue<consensus::Message>(value, why);
  RC_ASSERT(message);
  RC_ASSERT(fuzz::Json(*message) == value);
  const std::string bytes = wire::EncodeCbor(*message);
  const auto again = wire::DecodeCbor<consensus::Message>(bytes, why);
  RC_ASSERT(again);
  RC_ASSERT(fuzz::Json(*again) == value);
  for (const std::string& it : {fuzz::Broken(bytes), fuzz::Bytes()}) {
    fuzz::DecodesOrTellsWhy<wire::CodecReason>(
        it, wire::DecodeCbor<consensus::Message>);
  }
}

RC_GTEST_PROP(ConsensusFuzz, MembershipsRoundTripAndRejectBrokenBytes, ()) {
  fuzz::CheckCbor(
      consensus::Membership{{consensus::Member{}}, {consensus::Member{}}});
  fuzz::CheckCbor(consensus::Member{});
}

}  // namespace
}  // namespace sassafras::control
