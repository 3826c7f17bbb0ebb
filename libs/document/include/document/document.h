// The cluster document: configuration sections with one owner each, their
// versions, and the change ids that make changes idempotent. Does no I/O.

#ifndef DOCUMENT_DOCUMENT_H_
#define DOCUMENT_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/reason.h"
#include "base/time.h"
#include "document/policy.h"
#include "wire/commands.h"
#include "wire/ids.h"

namespace sassafras::document {

enum class DocumentError { kNone, kBadSnapshot };
using DocumentReason = base::Reason<DocumentError>;

// Name of the section that declares owners, sections, tokens and limits.
inline constexpr std::string_view kPlatformSection = "platform";
inline constexpr size_t kMaxSectionBytes = 1 << 20;  // of TOML text
// Counts sections that were removed too, because they keep their versions.
inline constexpr size_t kMaxSections = 256;
inline constexpr size_t kMaxHistory = 32;            // items per section
inline constexpr size_t kMaxChangesPerOwner = 1024;  // change ids kept
inline constexpr size_t kMaxIdBytes = 128;  // of ids, editors and short values

// One accepted change in the history of a section, without its text.
struct HistoryItem {
  wire::Version version;
  std::string editor;
  wire::ChangeId change;
  base::WallMs at_ms = 0;

  friend bool operator==(const HistoryItem&, const HistoryItem&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HistoryItem,
                                                version,
                                                editor,
                                                change,
                                                at_ms)

// One section. `version` is incremented by each accepted change, and when the
// platform section removes or reassigns the section. A removed section has an
// empty `owner` and `text` and keeps its version, so that none is reused. The
// `owner` of the platform section is always empty.
struct Section {
  wire::SectionId name;
  wire::OwnerId owner;
  wire::Version version;
  std::string editor;
  std::string text;
  std::deque<HistoryItem> history;  // oldest first, at most kMaxHistory

  friend bool operator==(const Section&, const Section&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Section,
                                                name,
                                                owner,
                                                version,
                                                editor,
                                                text,
                                                history)

// An accepted change, kept so that a resend gets the result of the first put.
struct ChangeRecord {
  wire::ChangeId change;
  wire::OwnerId editor_owner;
  std::string editor;
  wire::SectionId section;
  wire::Version version;           // of the section, after this change
  wire::Version document_version;  // after this change
  std::string digest;              // SHA-256 of the section's name and text
  base::WallMs at_ms = 0;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeRecord,
                                                change,
                                                editor_owner,
                                                editor,
                                                section,
                                                version,
                                                document_version,
                                                digest,
                                                at_ms)

// Parsed content of all sections. Rebuilt by each accepted change and immutable
// in between.
struct Views {
  std::vector<OwnerPolicy> owners;      // sorted by owner
  std::vector<ServicePolicy> services;  // sorted by service
  std::vector<Workload> workloads;      // sorted by job id
  // The SHA-256 of each token as lower-case hex digits, and its identity.
  std::vector<std::pair<std::string, Identity>> tokens;
  std::map<wire::SectionId, wire::OwnerId> section_owners;
  Limits limits;
};

// The whole document. Copyable; copies share the parsed content. Not
// thread-safe.
class Document {
 public:
  Document();

  // Replaces the text of one section. Deterministic: replicas that apply the
  // same changes in the same order hold equal documents. Result codes:
  //   kOk, kDuplicate  details {section, version, document_version, change,
  //                    editor, at_ms}; a duplicate gets those of the first put
  //   kConflict        the base version is not the current one; details
  //                    {version, editor} of the current section. Also if the
  //                    change id was used for another section or text, with
  //                    details {version, editor, change_reused: true}
  //   kInvalid         details {errors: [{line, column, message}]} with every
  //                    error, up to 200; line 0 marks an error of the request
  //                    rather than of the text
  //   kNotFound        the section does not exist or has another owner
  //   kForbidden       the platform tried to edit a team's section
  wire::CommandResult Put(const wire::PutSection& put);

  // Removes change ids accepted before `at_ms` minus the configured retention.
  // A later resend of such a change gets kConflict because of its old base
  // version.
  void ExpireChanges(base::WallMs at_ms);

  // Incremented by each accepted change; zero if there was none.
  wire::Version version() const { return version_; }

  // Returns null if the section was never put or was removed.
  const Section* Find(const wire::SectionId& name) const;

  // Returns the owner that may edit the section, or an empty id if the section
  // is not declared.
  wire::OwnerId OwnerOf(const wire::SectionId& name) const;

  // Returns the sections that the reader may read: those of its owner, or all
  // for the platform.
  std::vector<const Section*> VisibleTo(const Identity& reader) const;

  // Returns a change accepted from the reader's owner; for the platform, from
  // any owner. Null if there is none, also if its id has expired.
  const ChangeRecord* FindChange(const wire::ChangeId& change,
                                 const Identity& reader) const;

  // Returns the identity of a bearer token, or null if the token is unknown.
  // Compares hashes in constant time. The pointer is valid until the document
  // changes.
  const Identity* Authenticate(std::string_view bearer) const;

  const std::vector<OwnerPolicy>& owners() const { return views_->owners; }
  const std::vector<ServicePolicy>& services() const {
    return views_->services;
  }
  const std::vector<Workload>& workloads() const { return views_->workloads; }
  const Limits& limits() const { return views_->limits; }
  // These return null if the owner or service is not declared.
  const OwnerPolicy* FindOwner(const wire::OwnerId& owner) const;
  const ServicePolicy* FindService(const wire::ServiceId& service) const;

  // Converts the whole document to one value, for snapshots and for entries
  // (encoded as CBOR or JSON by wire/codec.h). Equal documents have equal
  // values.
  nlohmann::json ToValue() const;
  // Returns nullopt and sets `why` to kBadSnapshot if the value is malformed.
  static std::optional<Document> FromValue(const nlohmann::json& value,
                                           DocumentReason& why);

  // Compares the stored state, without the views derived from it.
  friend bool operator==(const Document& a, const Document& b);

 private:
  using ChangeKey = std::pair<wire::OwnerId, wire::ChangeId>;

  // Each check returns the result of a rejected put, or nullopt if it passes.
  std::optional<wire::CommandResult> CheckRequest(
      const wire::PutSection& put) const;
  std::optional<wire::CommandResult> CheckAccess(
      const wire::PutSection& put) const;
  std::optional<wire::CommandResult> CheckResend(
      const wire::PutSection& put) const;
  std::optional<wire::CommandResult> CheckBase(
      const wire::PutSection& put) const;
  std::optional<wire::CommandResult> CheckText(
      const wire::PutSection& put) const;
  // Applies a put that passed every check.
  wire::CommandResult Accept(const wire::PutSection& put);
  void ClearReassignedSections(const wire::PutSection& put);
  void RecordChange(ChangeRecord record);
  void RebuildViews();

  wire::Version version_;
  std::map<wire::SectionId, Section> sections_;
  std::map<ChangeKey, ChangeRecord> changes_;
  // Change ids of each owner, oldest first, at most kMaxChangesPerOwner.
  std::map<wire::OwnerId, std::deque<wire::ChangeId>> change_order_;
  std::shared_ptr<const Views> views_;  // never null
};

}  // namespace sassafras::document

#endif  // DOCUMENT_DOCUMENT_H_
