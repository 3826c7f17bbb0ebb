// Applies commands on entries and on the non-idempotent requests they admit.

#ifndef STATE_SRC_ADMISSIONS_H_
#define STATE_SRC_ADMISSIONS_H_

#include "store.h"

namespace sassafras::state {

wire::CommandResult ApplyBeginEntry(Store& store,
                                    const wire::BeginEntry& command);
wire::CommandResult ApplyEndEntry(Store& store, const wire::EndEntry& command);
wire::CommandResult ApplyAdmit(Store& store, const wire::Admit& command);
wire::CommandResult ApplyClose(Store& store,
                               const wire::CloseAdmission& command);

// Adds the record to the derived indexes of `store`.
void IndexAdmission(Store& store,
                    const AdmissionKey& key,
                    const AdmissionRecord& record);

// Removes closed admissions whose retention has expired. Returns their number.
size_t ExpireAdmissions(Store& store);

}  // namespace sassafras::state

#endif  // STATE_SRC_ADMISSIONS_H_
