// Snapshots are CBOR. Tasks take most of the space, so a task is encoded as an
// array of small numbers, some of which are indexes into lists of values shared
// by many tasks.

#include "snapshot.h"

#include <array>
#include <exception>
#include <functional>
#include <unordered_map>
#include <utility>

#include "admissions.h"
#include "ended_jobs.h"
#include "wire/codec.h"

namespace sassafras::state {

// Found by argument-dependent lookup, hence not in the anonymous namespace.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EntryRecord,
                                                incarnation,
                                                zone,
                                                is_live,
                                                at_ms,
                                                past)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRecord,
                                                incarnation,
                                                zone,
                                                rack,
                                                state,
                                                capacity,
                                                is_live,
                                                is_quarantined,
                                                quarantine_reason,
                                                at_ms,
                                                past)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AdmissionRecord,
                                                service,
                                                digest,
                                                entry,
                                                incarnation,
                                                serial,
                                                state,
                                                answer,
                                                opened_ms,
                                                closed_ms,
                                                retention_ms)

namespace {

using Json = nlohmann::json;
using wire::TaskState;

// Version of the snapshot format.
constexpr uint64_t kFormat = 1;
// A task is an array of numbers in this order; trailing zeros are omitted.
enum TaskField : size_t {
  kState,
  kAttempt,
  kRun,     // index into "runs"
  kAmount,  // index into "amounts"
  kHasStarted,
  kOrder,
  kFailures,
  kGeneration,
  kReason,  // index into "reasons"
  kTaskFields
};
using TaskFields = std::array<uint64_t, kTaskFields>;

// The number of values of wire::AttemptOrder.
constexpr uint64_t kAttemptOrders = 4;

// Assigns numbers to values in order of first appearance. Zero is the empty
// value.
template <typename Value, typename Hash>
class ValueList {
 public:
  ValueList() { IndexOf({}); }

  uint64_t IndexOf(const Value& value) {
    const auto [it, is_new] = indexes_.try_emplace(value, indexes_.size());
    if (is_new) {
      values_.push_back(Json(value));
    }
    return it->second;
  }
  Json Take() { return std::move(values_); }

 private:
  Json values_ = Json::array();
  std::unordered_map<Value, uint64_t, Hash> indexes_;
};

// A worker and its incarnation.
using RunName = std::pair<std::string, std::string>;
struct RunHash {
  size_t operator()(const RunName& run) const {
    const std::hash<std::string> hash;
    return hash(run.first) * 31 + hash(run.second);
  }
};

struct AmountHash {
  size_t operator()(const wire::Resources& amount) const {
    const std::hash<int64_t> hash;
    return (hash(amount.milli_cpus) * 31 + hash(amount.memory_mib)) * 31 +
           hash(amount.accelerators);
  }
};

// The lists of shared values that tasks refer to by index.
struct TaskLists {
  ValueList<RunName, RunHash> runs;
  ValueList<wire::Resources, AmountHash> amounts;
  ValueList<std::string, std::hash<std::string>> reasons;
};

Json EncodeTask(const TaskRecord& task, TaskLists& lists) {
  const TaskFields fields = {
      static_cast<uint64_t>(task.state),
      task.attempt.value(),
      lists.runs.IndexOf({task.worker.str(), task.incarnation.str()}),
      lists.amounts.IndexOf(task.reserved),
      task.has_started ? 1U : 0U,
      static_cast<uint64_t>(task.order),
      task.failures,
      task.generation,
      lists.reasons.IndexOf(task.reason)};
  size_t used = kTaskFields;
  while (used > 0 && fields[used - 1] == 0) {
    --used;
  }
  Json::array_t values(fields.begin(), fields.begin() + used);
  return values;
}

// Throws an nlohmann exception if the value was not written by EncodeTask.
TaskRecord DecodeTask(const Json& value, const Json& lists) {
  TaskFields fields = {};
  for (size_t n = 0; n < value.size(); ++n) {
    fields.at(n) = value.at(n).get<uint64_t>();
  }
  if (fields[kState] >= kTaskStates || fields[kOrder] >= kAttemptOrders) {
    throw Json::out_of_range::create(0, "a task has an invalid state or order",
                                     nullptr);
  }
  const Json& run = lists.at("runs").at(fields[kRun]);
  TaskRecord task;
  task.state = static_cast<TaskState>(fields[kState]);
  task.attempt = wire::AttemptId(fields[kAttempt]);
  task.worker = run.at(0).get<wire::WorkerId>();
  task.incarnation = run.at(1).get<wire::Incarnation>();
  lists.at("amounts").at(fields[kAmount]).get_to(task.reserved);
  task.has_started = fields[kHasStarted] != 0;
  task.order = static_cast<wire::AttemptOrder>(fields[kOrder]);
  task.failures = static_cast<uint32_t>(fields[kFailures]);
  task.generation = static_cast<uint32_t>(fields[kGeneration]);
  lists.at("reasons").at(fields[kReason]).get_to(task.reason);
  return task;
}

Json EncodeJob(const JobRecord& job, TaskLists& lists) {
  Json tasks = Json::array();
  for (const TaskRecord& it : job.tasks) {
    tasks.push_back(EncodeTask(it, lists));
  }
  return {{"spec", job.spec},
          {"state", job.state},
          {"goal", job.goal},
          {"reason", job.reason},
          {"submitted_ms", job.submitted_ms},
          {"ended_ms", job.ended_ms},
          {"generation", job.generation},
          {"is_compacted", job.is_compacted},
          {"tasks", std::move(tasks)}};
}

JobRecord DecodeJob(const Json& value, const Json& lists) {
  JobRecord job;
  value.at("spec").get_to(job.spec);
  value.at("state").get_to(job.state);
  value.at("goal").get_to(job.goal);
  value.at("reason").get_to(job.reason);
  value.at("submitted_ms").get_to(job.submitted_ms);
  value.at("ended_ms").get_to(job.ended_ms);
  value.at("generation").get_to(job.generation);
  value.at("is_compacted").get_to(job.is_compacted);
  for (const Json& it : value.at("tasks")) {
    job.tasks.push_back(DecodeTask(it, lists));
  }
  return job;
}

template <typename Records>
Json EncodeMap(const Records& records) {
  Json list = Json::array();
  for (const auto& [id, record] : records) {
    list.push_back(Json::array({id, record}));
  }
  return list;
}

template <typename Id, typename Record>
void DecodeMap(const Json& list, std::map<Id, Record>& records) {
  for (const Json& it : list) {
    records.emplace(it.at(0).get<Id>(), it.at(1).get<Record>());
  }
}

// Adds the tasks of the job to the derived sums of the job, its owner and its
// workers. Returns false if a task is placed on a worker that does not exist.
bool IndexTasks(Store& store, JobRecord& job) {
  OwnerUsage& usage = store.usage[job.spec.owner];
  if (!job.IsEnded()) {
    usage.tasks += static_cast<int64_t>(job.tasks.size());
  }
  for (uint32_t n = 0; n < job.tasks.size(); ++n) {
    const TaskRecord& task = job.tasks[n];
    ++job.counts[static_cast<size_t>(task.state)];
    if (!task.IsPlaced()) {
      continue;
    }
    const auto worker = store.workers.find(task.worker);
    if (worker == store.workers.end()) {
      return false;
    }
    worker->second.tasks.insert({job.spec.id, n});
    worker->second.reserved += task.reserved;
    usage.reserved += task.reserved;
  }
  return true;
}

bool RebuildIndexes(Store& store, StateReason& why) {
  for (auto& [id, job] : store.jobs) {
    if (!IndexTasks(store, job)) {
      return why.Set(
          StateError::kBadSnapshot,
          "job \"" + id.str() + "\" has a task placed on an unknown worker");
    }
    if (job.IsEnded()) {
      IndexEndedJob(store, job);
    }
  }
  for (const auto& [key, record] : store.admissions) {
    IndexAdmission(store, key, record);
  }
  return true;
}

void DecodeRecords(const Json& value, Store& store) {
  value.at("applied_index").get_to(store.applied_index);
  value.at("clock_ms").get_to(store.clock_ms);
  value.at("last_attempt").get_to(store.last_attempt);
  DecodeMap(value.at("entries"), store.entries);
  DecodeMap(value.at("workers"), store.workers);
  DecodeMap(value.at("admissions"), store.admissions);
  for (const Json& it : value.at("jobs")) {
    JobRecord job = DecodeJob(it, value);
    const wire::JobId id = job.spec.id;
    store.jobs.emplace(id, std::move(job));
  }
}

}  // namespace

std::string EncodeStore(const Store& store) {
  TaskLists lists;
  Json jobs = Json::array();
  for (const auto& [id, job] : store.jobs) {
    jobs.push_back(EncodeJob(job, lists));
  }
  const Json value = {{"format", kFormat},
                      {"applied_index", store.applied_index},
                      {"clock_ms", store.clock_ms},
                      {"last_attempt", store.last_attempt},
                      {"document", store.document.ToValue()},
                      {"entries", EncodeMap(store.entries)},
                      {"workers", EncodeMap(store.workers)},
                      {"jobs", std::move(jobs)},
                      {"admissions", EncodeMap(store.admissions)},
                      {"runs", lists.runs.Take()},
                      {"amounts", lists.amounts.Take()},
                      {"reasons", lists.reasons.Take()}};
  return wire::ToCborBytes(value);
}

std::optional<Store> DecodeStore(std::string_view bytes, StateReason& why) {
  wire::CodecReason codec_why;
  const auto value = wire::ParseCbor(bytes, codec_why);
  if (!value) {
    why.Set(StateError::kBadSnapshot, codec_why.message);
    return std::nullopt;
  }
  Store store;
  try {
    if (value->at("format") != kFormat) {
      why.Set(StateError::kBadSnapshot, "unknown snapshot format");
      return std::nullopt;
    }
    DecodeRecords(*value, store);
    document::DocumentReason document_why;
    auto document =
        document::Document::FromValue(value->at("document"), document_why);
    if (!document) {
      why.Set(StateError::kBadSnapshot, document_why.message);
      return std::nullopt;
    }
    store.document = *std::move(document);
  } catch (const std::exception& error) {
    why.Set(StateError::kBadSnapshot, error.what());
    return std::nullopt;
  }
  if (!RebuildIndexes(store, why)) {
    return std::nullopt;
  }
  store.changes = {Rebuild{}};
  return store;
}

}  // namespace sassafras::state
