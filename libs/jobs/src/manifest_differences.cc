// Compares two manifests, item by item and member by member.

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <span>
#include <utility>

#include <nlohmann/json.hpp>

#include "jobs/manifest_check.h"

namespace sassafras::jobs {
namespace {

template <typename Value>
std::string TextOf(const Value& value) {
  return nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

std::string TextOfAdvice(const AdvicePolicy& advice) {
  if (!advice.is_required) {
    return "none";
  }
  return TextOf(advice.decide_ms) + " ms plus " + TextOf(advice.each_ms) +
         " ms for each worker, valid for " + TextOf(advice.valid_ms) + " ms";
}

std::string TextOfCap(const Resources& cap) {
  return TextOf(cap.cpu_milli) + " thousandths of a core, " +
         TextOf(cap.mem_mb) + " MB, " + TextOf(cap.accelerators) +
         " accelerators (0 is no limit)";
}

// A member of an item that is compared by its text.
template <typename Item>
struct Member {
  ManifestField field = ManifestField::kWhole;
  std::string_view name;
  std::string (*text)(const Item&);
};

constexpr Member<Queue> kQueueMembers[] = {
    {ManifestField::kHost, "host", [](auto& it) { return TextOf(it.host); }},
    {ManifestField::kPathPrefix, "path prefix",
     [](auto& it) { return TextOf(it.path_prefix); }},
    {ManifestField::kService, "service",
     [](auto& it) { return TextOf(it.service); }},
    {ManifestField::kPriority, "priority",
     [](auto& it) { return TextOf(it.priority); }},
    {ManifestField::kMaxAttempts, "number of attempts",
     [](auto& it) { return TextOf(it.max_attempts); }},
    {ManifestField::kRequestTimeout, "request timeout in ms",
     [](auto& it) { return TextOf(it.request_timeout_ms); }},
    {ManifestField::kTargetLatency, "target latency in ms",
     [](auto& it) { return TextOf(it.target_latency_ms); }},
    {ManifestField::kStretch, "stretch",
     [](auto& it) { return TextOf(it.stretch); }},
    {ManifestField::kAdvice, "advice",
     [](auto& it) { return TextOfAdvice(it.advice); }},
    {ManifestField::kIsOpen, "use without a key",
     [](auto& it) { return TextOf(it.is_open); }},
};

constexpr Member<Customer> kCustomerMembers[] = {
    {ManifestField::kWeight, "weight",
     [](auto& it) { return TextOf(it.weight); }},
    {ManifestField::kPriority, "priority",
     [](auto& it) { return TextOf(it.priority); }},
    {ManifestField::kCap, "cap", [](auto& it) { return TextOfCap(it.cap); }},
};

constexpr Member<RequestLimits> kLimitMembers[] = {
    {ManifestField::kMaxHeaderBytes, "header limit in bytes",
     [](auto& it) { return TextOf(it.max_header_bytes); }},
    {ManifestField::kMaxBodyBytes, "body limit in bytes",
     [](auto& it) { return TextOf(it.max_body_bytes); }},
    {ManifestField::kHeaderTimeout, "header timeout in ms",
     [](auto& it) { return TextOf(it.header_timeout_ms); }},
    {ManifestField::kIdleTimeout, "idle timeout in ms",
     [](auto& it) { return TextOf(it.idle_timeout_ms); }},
};

const std::string& NameOf(const Queue& queue) {
  return queue.id.str();
}
const std::string& NameOf(const wire::ServiceId& service) {
  return service.str();
}
const std::string& NameOf(const Customer& customer) {
  return customer.id.str();
}

void AddDifference(ManifestPlace place,
                   std::string text,
                   ManifestFindings& out) {
  out.push_back({FindingKind::kDifference, place, std::move(text)});
}

template <typename Item>
void AddChangedMembers(std::span<const Member<Item>> members,
                       const std::string& what,
                       const Item& before,
                       const Item& after,
                       ManifestPlace place,
                       ManifestFindings& out) {
  for (const Member<Item>& member : members) {
    const std::string old_text = member.text(before);
    const std::string new_text = member.text(after);
    if (old_text != new_text) {
      place.field = member.field;
      AddDifference(place,
                    what + ": " + std::string(member.name) + " changes from " +
                        old_text + " to " + new_text,
                    out);
    }
  }
}

std::string CountOfKeys(size_t count) {
  return std::to_string(count) + (count == 1 ? " key" : " keys");
}

void AddChangedKeys(const std::string& what,
                    const Customer& before,
                    const Customer& after,
                    ManifestPlace place,
                    ManifestFindings& out) {
  const std::set<KeyDigest> old_keys(before.keys.begin(), before.keys.end());
  const std::set<KeyDigest> new_keys(after.keys.begin(), after.keys.end());
  const auto count_missing = [](const auto& keys, const auto& others) {
    return static_cast<size_t>(std::ranges::count_if(
        keys, [&](auto& it) { return !others.contains(it); }));
  };
  const size_t added = count_missing(new_keys, old_keys);
  const size_t removed = count_missing(old_keys, new_keys);
  if (added + removed > 0) {
    place.field = ManifestField::kKeys;
    AddDifference(place,
                  what + ": " + CountOfKeys(added) + " added, " +
                      CountOfKeys(removed) + " removed",
                  out);
  }
}

// Says what an item of one kind is called, and how two of the same name differ.
template <typename Item>
struct ItemKind {
  ManifestItem item = ManifestItem::kDocument;
  std::string_view name;
  void (*add_changes)(const std::string& what,
                      const Item& before,
                      const Item& after,
                      ManifestPlace place,
                      ManifestFindings& out);
};

constexpr ItemKind<Queue> kQueues = {
    ManifestItem::kQueue, "queue",
    [](const std::string& what,
       const Queue& before,
       const Queue& after,
       ManifestPlace place,
       ManifestFindings& out) {
      AddChangedMembers<Queue>(kQueueMembers, what, before, after, place, out);
    }};
constexpr ItemKind<wire::ServiceId> kServices = {ManifestItem::kService,
                                                 "service",
                                                 [](const std::string&,
                                                    const wire::ServiceId&,
                                                    const wire::ServiceId&,
                                                    ManifestPlace,
                                                    ManifestFindings&) {}};
constexpr ItemKind<Customer> kCustomers = {
    ManifestItem::kCustomer, "customer",
    [](const std::string& what,
       const Customer& before,
       const Customer& after,
       ManifestPlace place,
       ManifestFindings& out) {
      AddChangedMembers<Customer>(kCustomerMembers, what, before, after, place,
                                  out);
      AddChangedKeys(what, before, after, place, out);
    }};

template <typename Item>
std::map<std::string_view, const Item*> ByName(const std::vector<Item>& items) {
  std::map<std::string_view, const Item*> by_name;
  for (const Item& it : items) {
    by_name.try_emplace(NameOf(it), &it);
  }
  return by_name;
}

template <typename Item>
void AddDifferencesOf(const ItemKind<Item>& kind,
                      const std::vector<Item>& before,
                      const std::vector<Item>& after,
                      ManifestFindings& out) {
  const auto old_items = ByName(before);
  const auto what = [&](const Item& it) {
    return std::string(kind.name) + " \"" + NameOf(it) + "\"";
  };
  for (size_t n = 0; n < after.size(); ++n) {
    const ManifestPlace place{kind.item, n};
    const auto old_item = old_items.find(NameOf(after[n]));
    if (old_item == old_items.end()) {
      AddDifference(place, what(after[n]) + " is added", out);
    } else if (!(*old_item->second == after[n])) {
      kind.add_changes(what(after[n]), *old_item->second, after[n], place, out);
    }
  }
  const auto new_items = ByName(after);
  for (const auto& [name, it] : old_items) {
    if (!new_items.contains(name)) {
      AddDifference({kind.item}, what(*it) + " is removed", out);
    }
  }
}

}  // namespace

ManifestFindings DifferencesOf(const Manifest& before, const Manifest& after) {
  ManifestFindings findings;
  AddDifferencesOf(kQueues, before.queues, after.queues, findings);
  AddDifferencesOf(kServices, before.services, after.services, findings);
  AddDifferencesOf(kCustomers, before.customers, after.customers, findings);
  AddChangedMembers<RequestLimits>(kLimitMembers, "limits", before.limits,
                                   after.limits, {ManifestItem::kLimits},
                                   findings);
  if (!findings.empty() && after.version <= before.version) {
    findings.push_back(
        {FindingKind::kContradiction,
         {ManifestItem::kDocument, std::nullopt, ManifestField::kVersion},
         "the version " + std::to_string(after.version) +
             " isn't above the version " + std::to_string(before.version) +
             " in force, so the changes would be ignored"});
  }
  return findings;
}

}  // namespace sassafras::jobs
