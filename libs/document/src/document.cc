// Read access to the document, and conversion to and from snapshot values.

#include "document/document.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "document_views.h"
#include "sha256.h"
#include "wire/codec.h"

namespace sassafras::document {
namespace {

using Json = nlohmann::json;

// Returns the item with this id, or null. `items` are sorted by id.
template <typename Items, typename Id, typename Projection>
auto FindSorted(const Items& items, const Id& id, Projection projection) {
  const auto it = std::ranges::lower_bound(items, id, {}, projection);
  const bool is_found = it != items.end() && std::invoke(projection, *it) == id;
  return is_found ? &*it : nullptr;
}

}  // namespace

Document::Document() : views_(std::make_shared<const Views>()) {}

const Section* Document::Find(const wire::SectionId& name) const {
  const auto it = sections_.find(name);
  const bool is_present =
      it != sections_.end() &&
      (!it->second.owner.empty() || name.str() == kPlatformSection);
  return is_present ? &it->second : nullptr;
}

wire::OwnerId Document::OwnerOf(const wire::SectionId& name) const {
  const auto it = views_->section_owners.find(name);
  return it != views_->section_owners.end() ? it->second : wire::OwnerId();
}

std::vector<const Section*> Document::VisibleTo(const Identity& reader) const {
  std::vector<const Section*> visible;
  for (const auto& [name, section] : sections_) {
    const bool is_own = !section.owner.empty() && section.owner == reader.owner;
    if (Find(name) != nullptr && (is_own || reader.role == Role::kPlatform)) {
      visible.push_back(&section);
    }
  }
  return visible;
}

const ChangeRecord* Document::FindChange(const wire::ChangeId& change,
                                         const Identity& reader) const {
  const auto own = changes_.find({reader.owner, change});
  if (own != changes_.end()) {
    return &own->second;
  }
  if (reader.role != Role::kPlatform) {
    return nullptr;
  }
  const auto match = std::ranges::find_if(
      changes_, [&](const auto& it) { return it.first.second == change; });
  return match != changes_.end() ? &match->second : nullptr;
}

const Identity* Document::Authenticate(std::string_view bearer) const {
  const std::string hash = Sha256Hex(bearer);
  const Identity* found = nullptr;
  for (const auto& [token, identity] : views_->tokens) {
    if (IsEqualConstantTime(token, hash)) {
      found = &identity;
    }
  }
  return found;
}

const OwnerPolicy* Document::FindOwner(const wire::OwnerId& owner) const {
  return FindSorted(views_->owners, owner, &OwnerPolicy::owner);
}

const ServicePolicy* Document::FindService(
    const wire::ServiceId& service) const {
  return FindSorted(views_->services, service, &ServicePolicy::service);
}

Json Document::ToValue() const {
  Json sections = Json::array();
  for (const auto& [name, section] : sections_) {
    sections.push_back(section);
  }
  Json changes = Json::array();
  for (const auto& [owner, order] : change_order_) {
    for (const wire::ChangeId& change : order) {
      changes.push_back(changes_.at({owner, change}));
    }
  }
  return {{"version", version_},
          {"sections", std::move(sections)},
          {"changes", std::move(changes)}};
}

std::optional<Document> Document::FromValue(const Json& value,
                                            DocumentReason& why) {
  Document document;
  try {
    value.at("version").get_to(document.version_);
    for (const Json& it : value.at("sections")) {
      auto section = it.get<Section>();
      const wire::SectionId name = section.name;
      document.sections_.emplace(name, std::move(section));
    }
    for (const Json& it : value.at("changes")) {
      document.RecordChange(it.get<ChangeRecord>());
    }
  } catch (const Json::exception& error) {
    why.Set(DocumentError::kBadSnapshot, error.what());
    return std::nullopt;
  }
  document.RebuildViews();
  return document;
}

bool operator==(const Document& a, const Document& b) {
  return a.version_ == b.version_ && a.sections_ == b.sections_ &&
         a.changes_ == b.changes_ && a.change_order_ == b.change_order_;
}

void Document::RebuildViews() {
  views_ = std::make_shared<const Views>(BuildViews(sections_));
}

}  // namespace sassafras::document
