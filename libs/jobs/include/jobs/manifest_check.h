// Checks of a manifest: the faults for which control hosts refuse it, what in
// it has no effect, and what it changes.

#ifndef JOBS_MANIFEST_CHECK_H_
#define JOBS_MANIFEST_CHECK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/manifest.h"

namespace sassafras::jobs {

enum class ManifestItem { kDocument, kQueue, kService, kCustomer, kLimits };
enum class ManifestField {
  kWhole,  // the item itself
  kVersion,
  kName,
  kHost,
  kPathPrefix,
  kService,
  kPriority,
  kMaxAttempts,
  kRequestTimeout,
  kTargetLatency,
  kStretch,
  kAdvice,
  kIsOpen,
  kWeight,
  kCap,
  kKeys,
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

// Where in a manifest something stands. The format of the document gives it a
// path.
struct ManifestPlace {
  ManifestItem item = ManifestItem::kDocument;
  // Of the item in its list; nullopt for the list itself.
  std::optional<size_t> index;
  ManifestField field = ManifestField::kWhole;

  friend bool operator==(const ManifestPlace&, const ManifestPlace&) = default;
};

enum class FindingKind {
  kFault,          // control hosts refuse the manifest
  kNeverUsed,      // no request, job or caller can ever match the item
  kContradiction,  // values that defeat each other
  kDifference,     // from the manifest that is in force
};
enum class Severity { kError, kWarning, kNote };
Severity SeverityOf(FindingKind kind);

struct ManifestFinding {
  FindingKind kind = FindingKind::kFault;
  ManifestPlace place;
  std::string text;  // a sentence, without keys
};
using ManifestFindings = std::vector<ManifestFinding>;

// Returns all faults, in the order of the manifest. FaultOf() returns the first
// one.
ManifestFindings FaultsOf(const Manifest& manifest);

// Whether an id of a job may begin with the text.
using JobIdRule = bool (*)(std::string_view text);

// Returns what is never used and what contradicts itself. `may_begin_id` tells
// which paths below that of a queue are paths of its jobs.
ManifestFindings DoubtsAbout(const Manifest& manifest, JobIdRule may_begin_id);

// Returns the differences, and a contradiction if `after` would change nothing
// because of its version. Only the numbers of keys are told.
ManifestFindings DifferencesOf(const Manifest& before, const Manifest& after);

}  // namespace sassafras::jobs

#endif  // JOBS_MANIFEST_CHECK_H_
