// Finds items of a manifest that have no effect or that contradict themselves.

#include "jobs/manifest_check.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace sassafras::jobs {
namespace {

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string Milliseconds(int64_t ms) {
  return std::to_string(ms) + " ms";
}

// A doubt that follows from one queue alone.
struct QueueDoubt {
  FindingKind kind = FindingKind::kNeverUsed;
  ManifestField field = ManifestField::kWhole;
  bool (*applies)(const Queue&);
  std::string (*text)(const Queue&);
};

constexpr QueueDoubt kQueueDoubts[] = {
    {FindingKind::kNeverUsed, ManifestField::kHost,
     [](const Queue& it) { return it.host.find(':') != std::string::npos; },
     [](const Queue&) {
       return std::string(
           "no request matches the host, as the port of a request's host "
           "doesn't count");
     }},
    {FindingKind::kNeverUsed, ManifestField::kPathPrefix,
     [](const Queue& it) {
       return !it.path_prefix.starts_with('/') ||
              it.path_prefix.find_first_of("?#") != std::string::npos;
     },
     [](const Queue&) {
       return std::string(
           "no request matches the path prefix, as paths begin with \"/\" and "
           "end before \"?\" and \"#\"");
     }},
    {FindingKind::kContradiction, ManifestField::kRequestTimeout,
     [](const Queue& it) {
       return it.request_timeout_ms < it.target_latency_ms;
     },
     [](const Queue& it) {
       return "the timeout of " + Milliseconds(it.request_timeout_ms) +
              " ends before the objective, which is at least " +
              Milliseconds(it.target_latency_ms);
     }},
    {FindingKind::kContradiction, ManifestField::kStretch,
     [](const Queue& it) {
       return it.stretch < 1 && it.target_latency_ms == 0;
     },
     [](const Queue&) {
       return std::string(
           "the objective of each job is shorter than its estimated work");
     }},
    {FindingKind::kContradiction, ManifestField::kAdvice,
     [](const Queue& it) {
       return it.advice.is_required && it.advice.valid_ms <= 0;
     },
     [](const Queue&) {
       return std::string("tickets that are valid for 0 ms start no task");
     }},
};

void AddDoubtsAboutQueues(const Manifest& manifest, ManifestFindings& out) {
  for (size_t n = 0; n < manifest.queues.size(); ++n) {
    const Queue& queue = manifest.queues[n];
    for (const QueueDoubt& doubt : kQueueDoubts) {
      if (doubt.applies(queue)) {
        out.push_back(
            {doubt.kind,
             {ManifestItem::kQueue, n, doubt.field},
             "queue " + Quoted(queue.id.str()) + ": " + doubt.text(queue)});
      }
    }
  }
}

// The longest path prefix on a host wins. So a prefix that extends another one
// by the beginning of an id takes the jobs with such ids from the other queue.
void AddShadowedPaths(const Manifest& manifest,
                      JobIdRule may_begin_id,
                      ManifestFindings& out) {
  std::map<std::pair<std::string_view, std::string_view>, size_t> routes;
  for (size_t n = 0; n < manifest.queues.size(); ++n) {
    const Queue& it = manifest.queues[n];
    routes.try_emplace({it.host, it.path_prefix}, n);
  }
  for (const Queue& longer : manifest.queues) {
    const std::string_view prefix = longer.path_prefix;
    for (size_t size = prefix.size(); size-- > 0;) {
      const std::string_view rest = prefix.substr(size);
      if (!may_begin_id(rest)) {
        break;
      }
      const auto shorter = routes.find({longer.host, prefix.substr(0, size)});
      if (shorter != routes.end()) {
        out.push_back(
            {FindingKind::kNeverUsed,
             {ManifestItem::kQueue, shorter->second,
              ManifestField::kPathPrefix},
             "queue " + Quoted(manifest.queues[shorter->second].id.str()) +
                 ": requests about jobs whose ids begin with " + Quoted(rest) +
                 " reach the queue " + Quoted(longer.id.str()) +
                 " on the same host instead"});
      }
    }
  }
}

void AddUnusedServices(const Manifest& manifest, ManifestFindings& out) {
  std::set<wire::ServiceId> used;
  std::ranges::transform(manifest.queues, std::inserter(used, used.end()),
                         &Queue::service);
  for (size_t n = 0; n < manifest.services.size(); ++n) {
    if (!used.contains(manifest.services[n])) {
      out.push_back({FindingKind::kNeverUsed,
                     {ManifestItem::kService, n},
                     "service " + Quoted(manifest.services[n].str()) +
                         ": no queue refers to it, so its workers stay idle"});
    }
  }
}

void AddCustomersWithoutKeys(const Manifest& manifest, ManifestFindings& out) {
  for (size_t n = 0; n < manifest.customers.size(); ++n) {
    const Customer& it = manifest.customers[n];
    if (!it.keys.empty()) {
      continue;
    }
    const std::string name = "customer " + Quoted(it.id.str());
    out.push_back({FindingKind::kNeverUsed,
                   {ManifestItem::kCustomer, n, ManifestField::kKeys},
                   name + ": it has no key, so nobody can call for it"});
    if (it.weight > 0) {
      out.push_back({FindingKind::kContradiction,
                     {ManifestItem::kCustomer, n, ManifestField::kWeight},
                     name + ": its weight applies to nobody"});
    }
  }
}

}  // namespace

Severity SeverityOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kFault:
      return Severity::kError;
    case FindingKind::kNeverUsed:
    case FindingKind::kContradiction:
      return Severity::kWarning;
    case FindingKind::kDifference:
      break;
  }
  return Severity::kNote;
}

ManifestFindings DoubtsAbout(const Manifest& manifest, JobIdRule may_begin_id) {
  ManifestFindings findings;
  AddDoubtsAboutQueues(manifest, findings);
  AddShadowedPaths(manifest, may_begin_id, findings);
  AddUnusedServices(manifest, findings);
  AddCustomersWithoutKeys(manifest, findings);
  return findings;
}

}  // namespace sassafras::jobs
