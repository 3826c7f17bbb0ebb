// A fixture for changes of the booking section.

#ifndef TESTS_HARNESS_DOCUMENT_FIXTURE_H_
#define TESTS_HARNESS_DOCUMENT_FIXTURE_H_

#include <string>

#include "cluster_fixture.h"

namespace sassafras::tests {

class DocumentTest : public ClusterTest {
 protected:
  // Puts the booking section; the text names the change.
  CallReply Put(const std::string& entry,
                uint64_t base,
                const std::string& change) const {
    return AsOperator(entry, "PUT",
                      "/v1/document/sections/booking?base=" +
                          std::to_string(base) + "&change=" + change,
                      "# " + change + "\n[services.booking]\n");
  }

  // Puts until it is acknowledged, resending the same change id.
  bool PutSurely(const std::string& entry,
                 uint64_t base,
                 const std::string& change) const {
    return Await([&] { return Put(entry, base, change).status == 200; });
  }

  uint64_t VersionAt(const std::string& entry) const {
    const auto section =
        AsOperator(entry, "GET", "/v1/document/sections/booking").json();
    return section.is_object() ? section.value("version", uint64_t{0}) : 0;
  }

  // Makes `name` a member of the cluster, or ends its membership. Where the
  // answer to a request is lost, the members tell whether the change was made:
  // a second request is refused then.
  bool AddMemberSurely(const std::string& name) const {
    const std::string body = nlohmann::json{{"name", name}}.dump();
    return Await([&] {
      return cluster_->AsPlatformAnywhere("POST", kReplicasTarget, body)
                     .status == 200 ||
             cluster_->IsMember(name) == true;
    });
  }
  bool RemoveMemberSurely(const std::string& name) const {
    const std::string target = std::string(kReplicasTarget) + "/" + name;
    return Await([&] {
      return cluster_->AsPlatformAnywhere("DELETE", target).status == 200 ||
             cluster_->IsMember(name) == false;
    });
  }

 private:
  static constexpr const char* kReplicasTarget = "/v1/cluster/replicas";
};

}  // namespace sassafras::tests

#endif  // TESTS_HARNESS_DOCUMENT_FIXTURE_H_
