// Applies commands on jobs (submission, cancellation, parking) and manages the
// service jobs that the document declares.

#ifndef STATE_SRC_JOBS_H_
#define STATE_SRC_JOBS_H_

#include <optional>
#include <string_view>

#include "store.h"

namespace sassafras::state {

// Reserved prefix of the ids of jobs that the document declares.
inline constexpr std::string_view kServiceJobPrefix = "service:";

wire::CommandResult ApplySubmit(Store& store, const wire::SubmitJob& command);
wire::CommandResult ApplyCancel(Store& store, const wire::CancelJobs& command);
wire::CommandResult ApplyPark(Store& store, const wire::ParkJob& command);

// Returns kInfeasible with the reason if the job can never run in this cell,
// otherwise nullopt.
std::optional<wire::CommandResult> FindInfeasibility(const Store& store,
                                                     const wire::JobSpec& spec);

// Adds an active job with all its tasks pending. The id must be unused.
void AddJob(Store& store, const wire::JobSpec& spec);

// Adds, updates and cancels service jobs so that they match the workloads that
// the document declares.
void ReconcileWorkloads(Store& store);

}  // namespace sassafras::state

#endif  // STATE_SRC_JOBS_H_
