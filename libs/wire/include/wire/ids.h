// The identifiers that messages carry, and how they appear in JSON and CBOR:
// names as strings, numbers as unsigned integers.

#ifndef WIRE_IDS_H_
#define WIRE_IDS_H_

#include <nlohmann/json.hpp>

#include "base/id.h"

namespace sassafras::wire {

using WorkerId = base::Name<struct WorkerTag>;
using UpstreamId = base::Name<struct UpstreamTag>;
using EntryId = base::Name<struct EntryTag>;  // one sassafrasd process
using Incarnation = base::Name<struct IncarnationTag>;  // one run of a process
using ZoneId = base::Name<struct ZoneTag>;
using RackId = base::Name<struct RackTag>;
using OwnerId = base::Name<struct OwnerTag>;
using SectionId = base::Name<struct SectionTag>;
using ServiceId = base::Name<struct ServiceTag>;
using JobId = base::Name<struct JobTag>;
using WorkloadId =
    base::Name<struct WorkloadTag>;             // what jobs of one kind share
using ChangeId = base::Name<struct ChangeTag>;  // chosen by the operator
using RequestKey = base::Name<struct RequestKeyTag>;  // Idempotency-Key

using AttemptId = base::Number<struct AttemptTag>;  // grows over the whole cell
using Version = base::Number<struct VersionTag>;    // of the document

}  // namespace sassafras::wire

namespace nlohmann {

template <typename Tag>
struct adl_serializer<sassafras::base::Name<Tag>> {
  static void to_json(json& out, const sassafras::base::Name<Tag>& name) {
    out = name.str();
  }
  static void from_json(const json& in, sassafras::base::Name<Tag>& name) {
    name = sassafras::base::Name<Tag>(in.get<std::string>());
  }
};

template <typename Tag>
struct adl_serializer<sassafras::base::Number<Tag>> {
  static void to_json(json& out, const sassafras::base::Number<Tag>& number) {
    out = number.value();
  }
  static void from_json(const json& in, sassafras::base::Number<Tag>& number) {
    number = sassafras::base::Number<Tag>(in.get<uint64_t>());
  }
};

}  // namespace nlohmann

#endif  // WIRE_IDS_H_
