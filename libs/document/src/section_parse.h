// Parses the text of a section into its typed content.

#ifndef DOCUMENT_SRC_SECTION_PARSE_H_
#define DOCUMENT_SRC_SECTION_PARSE_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "document/policy.h"
#include "toml_reader.h"
#include "wire/ids.h"

namespace sassafras::document {

// Content of the platform section.
struct PlatformContent {
  std::vector<OwnerPolicy> owners;
  std::map<wire::SectionId, wire::OwnerId> section_owners;
  // The SHA-256 of each token as lower-case hex digits, and its identity.
  std::vector<std::pair<std::string, Identity>> tokens;
  Limits limits;
};

// Adds every error found to `errors`; the returned content is then incomplete.
PlatformContent ParsePlatform(std::string_view text, ErrorList& errors);

// Content of a team's section.
struct TeamContent {
  std::vector<ServicePolicy> services;
  std::vector<Workload> workloads;
};

// Data that a team's section is checked against. `owners` and `other_services`
// are empty when an already accepted text is parsed again; the checks against
// them are then skipped.
struct TeamContext {
  wire::SectionId section;
  wire::OwnerId owner;
  std::vector<OwnerPolicy> owners;
  std::vector<ServicePolicy> other_services;  // of other sections
  Limits limits;
};

// Adds every error found to `errors`; the returned content is then incomplete.
TeamContent ParseTeam(std::string_view text,
                      const TeamContext& context,
                      ErrorList& errors);

}  // namespace sassafras::document

#endif  // DOCUMENT_SRC_SECTION_PARSE_H_
