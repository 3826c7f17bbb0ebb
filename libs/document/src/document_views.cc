// Parses every accepted section again. Errors are ignored, because each text
// was checked when it was put.

#include "document_views.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "section_parse.h"

namespace sassafras::document {
namespace {

template <typename Item>
void MoveInto(std::vector<Item>& target, std::vector<Item>&& items) {
  target.insert(target.end(), std::make_move_iterator(items.begin()),
                std::make_move_iterator(items.end()));
}

void AddTeam(const Section& section, Views& views) {
  TeamContext context;
  context.section = section.name;
  context.owner = section.owner;
  context.limits = views.limits;
  ErrorList ignored;
  TeamContent content = ParseTeam(section.text, context, ignored);
  MoveInto(views.services, std::move(content.services));
  MoveInto(views.workloads, std::move(content.workloads));
}

}  // namespace

Views BuildViews(const std::map<wire::SectionId, Section>& sections) {
  Views views;
  const auto platform =
      sections.find(wire::SectionId(std::string(kPlatformSection)));
  if (platform != sections.end()) {
    ErrorList ignored;
    PlatformContent content = ParsePlatform(platform->second.text, ignored);
    views.owners = std::move(content.owners);
    views.tokens = std::move(content.tokens);
    views.section_owners = std::move(content.section_owners);
    views.limits = content.limits;
  }
  for (const auto& [name, section] : sections) {
    const auto it = views.section_owners.find(name);
    const bool is_in_force =
        it != views.section_owners.end() && it->second == section.owner;
    if (is_in_force) {
      AddTeam(section, views);
    }
  }
  std::ranges::sort(views.services, {}, &ServicePolicy::service);
  std::ranges::sort(views.workloads, {}, &Workload::job_id);
  return views;
}

}  // namespace sassafras::document
