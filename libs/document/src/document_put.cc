// Validation and application of one change of a section.

#include <algorithm>
#include <array>
#include <utility>

#include "document/document.h"
#include "section_parse.h"
#include "sha256.h"

namespace sassafras::document {
namespace {

using Json = nlohmann::json;
using wire::CommandResult;
using wire::ResultCode;

Json ToDetails(const ChangeRecord& record) {
  return {{"section", record.section},
          {"version", record.version},
          {"document_version", record.document_version},
          {"change", record.change},
          {"editor", record.editor},
          {"at_ms", record.at_ms}};
}

CommandResult InvalidResult(const std::vector<TextError>& errors) {
  Json list = Json::array();
  for (const TextError& it : errors) {
    list.push_back(
        {{"line", it.line}, {"column", it.column}, {"message", it.message}});
  }
  const std::string count = std::to_string(errors.size());
  return {
      ResultCode::kInvalid,
      "the section has " + count + (errors.size() == 1 ? " error" : " errors"),
      {{"errors", std::move(list)}}};
}

// Returns whether the id is 1 to kMaxIdBytes of printable ASCII without spaces.
bool IsValidId(const std::string& id) {
  const auto is_visible = [](char it) { return it > ' ' && it < 0x7f; };
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::ranges::all_of(id, is_visible);
}

// Returns a digest of the put's section and text, which differs if a change id
// is reused for another change.
std::string DigestOf(const wire::PutSection& put) {
  return Sha256Hex(put.section.str() + '\n' + put.text);
}

bool IsPlatformSection(const wire::SectionId& section) {
  return section.str() == kPlatformSection;
}

}  // namespace

CommandResult Document::Put(const wire::PutSection& put) {
  using Check =
      std::optional<CommandResult> (Document::*)(const wire::PutSection&) const;
  constexpr std::array<Check, 5> kChecks = {
      &Document::CheckRequest, &Document::CheckAccess, &Document::CheckResend,
      &Document::CheckBase, &Document::CheckText};
  for (const Check check : kChecks) {
    if (auto refusal = (this->*check)(put)) {
      return *std::move(refusal);
    }
  }
  return Accept(put);
}

std::optional<CommandResult> Document::CheckRequest(
    const wire::PutSection& put) const {
  std::vector<TextError> errors;
  if (!IsValidId(put.change.str())) {
    errors.push_back({0, 0,
                      "the change id must be 1 to 128 printable ASCII "
                      "characters without spaces"});
  }
  if (!IsValidId(put.editor)) {
    errors.push_back({0, 0,
                      "the editor must be 1 to 128 printable ASCII characters "
                      "without spaces"});
  }
  if (!IsValidName(put.section.str())) {
    errors.push_back({0, 0,
                      "the section name must be 1 to 63 letters, digits, '.', "
                      "'_' or '-', starting with a letter or digit"});
  }
  if (put.text.size() > kMaxSectionBytes) {
    errors.push_back({0, 0,
                      "the text has " + std::to_string(put.text.size()) +
                          " bytes, the maximum is " +
                          std::to_string(kMaxSectionBytes)});
  }
  return errors.empty() ? std::nullopt : std::optional(InvalidResult(errors));
}

std::optional<CommandResult> Document::CheckAccess(
    const wire::PutSection& put) const {
  const wire::OwnerId owner = OwnerOf(put.section);
  const bool may_edit = IsPlatformSection(put.section)
                            ? put.is_platform
                            : !owner.empty() && owner == put.editor_owner;
  if (may_edit) {
    return std::nullopt;
  }
  if (put.is_platform && !owner.empty()) {
    return CommandResult{ResultCode::kForbidden,
                         "section \"" + put.section.str() +
                             "\" can be edited only by its owner \"" +
                             owner.str() + "\"",
                         {}};
  }
  return CommandResult{ResultCode::kNotFound,
                       "section \"" + put.section.str() + "\" does not exist",
                       {}};
}

std::optional<CommandResult> Document::CheckResend(
    const wire::PutSection& put) const {
  const auto it = changes_.find({put.editor_owner, put.change});
  if (it == changes_.end()) {
    return std::nullopt;
  }
  const ChangeRecord& first = it->second;
  if (first.digest == DigestOf(put)) {
    return CommandResult{ResultCode::kDuplicate,
                         "the change was already accepted", ToDetails(first)};
  }
  return CommandResult{ResultCode::kConflict,
                       "change id \"" + put.change.str() +
                           "\" was already used for another change",
                       {{"version", first.version},
                        {"editor", first.editor},
                        {"change_reused", true}}};
}

std::optional<CommandResult> Document::CheckBase(
    const wire::PutSection& put) const {
  const auto it = sections_.find(put.section);
  const Section absent;
  const Section& current = it != sections_.end() ? it->second : absent;
  if (current.version == put.base) {
    return std::nullopt;
  }
  return CommandResult{
      ResultCode::kConflict,
      "section \"" + put.section.str() + "\" is at version " +
          std::to_string(current.version.value()) +
          ", but the change is based on version " +
          std::to_string(put.base.value()),
      {{"version", current.version}, {"editor", current.editor}}};
}

std::optional<CommandResult> Document::CheckText(
    const wire::PutSection& put) const {
  ErrorList errors;
  if (IsPlatformSection(put.section)) {
    ParsePlatform(put.text, errors);
  } else {
    TeamContext context;
    context.section = put.section;
    context.owner = put.editor_owner;
    context.owners = views_->owners;
    context.limits = views_->limits;
    std::ranges::copy_if(
        views_->services, std::back_inserter(context.other_services),
        [&](const ServicePolicy& it) { return it.section != put.section; });
    ParseTeam(put.text, context, errors);
  }
  if (!sections_.contains(put.section) && sections_.size() == kMaxSections) {
    errors.Add({0, 0,
                "the document already has " + std::to_string(kMaxSections) +
                    " sections, the maximum, including removed ones"});
  }
  return errors.empty() ? std::nullopt
                        : std::optional(InvalidResult(errors.Sorted()));
}

CommandResult Document::Accept(const wire::PutSection& put) {
  version_ = version_.Next();
  Section& section = sections_[put.section];
  section.name = put.section;
  section.owner = OwnerOf(put.section);
  section.version = section.version.Next();
  section.editor = put.editor;
  section.text = put.text;
  section.history.push_back(
      {section.version, put.editor, put.change, put.at_ms});
  if (section.history.size() > kMaxHistory) {
    section.history.pop_front();
  }
  ChangeRecord record = {put.change,    put.editor_owner, put.editor,
                         put.section,   section.version,  version_,
                         DigestOf(put), put.at_ms};
  const CommandResult result = {ResultCode::kOk, "", ToDetails(record)};
  RecordChange(std::move(record));
  RebuildViews();
  if (IsPlatformSection(put.section)) {
    ClearReassignedSections(put);
  }
  return result;
}

// Clears each section that the platform removed or gave to another owner, so
// that the new owner cannot read the text of the previous one. The version of
// the section is still incremented.
void Document::ClearReassignedSections(const wire::PutSection& put) {
  for (auto& [name, section] : sections_) {
    const bool is_kept =
        section.owner.empty() || section.owner == OwnerOf(name);
    if (is_kept) {
      continue;
    }
    section.owner = wire::OwnerId();
    section.version = section.version.Next();
    section.editor = put.editor;
    section.text.clear();
    section.history.clear();
  }
  RebuildViews();
}

void Document::RecordChange(ChangeRecord record) {
  std::deque<wire::ChangeId>& order = change_order_[record.editor_owner];
  order.push_back(record.change);
  if (order.size() > kMaxChangesPerOwner) {
    changes_.erase({record.editor_owner, order.front()});
    order.pop_front();
  }
  const ChangeKey key = {record.editor_owner, record.change};
  changes_.insert_or_assign(key, std::move(record));
}

void Document::ExpireChanges(base::WallMs at_ms) {
  const base::WallMs oldest = at_ms - limits().change_retention_ms;
  for (auto it = change_order_.begin(); it != change_order_.end();) {
    auto& [owner, order] = *it;
    while (!order.empty() &&
           changes_.at({owner, order.front()}).at_ms < oldest) {
      changes_.erase({owner, order.front()});
      order.pop_front();
    }
    it = order.empty() ? change_order_.erase(it) : std::next(it);
  }
}

}  // namespace sassafras::document
