// Tests which customers the job table knows, and the sums of what their runs
// need.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "customer_fixture.h"
#include "wire/codec.h"

namespace sassafras::jobs {
namespace {

// A snapshot as programs without customers write it.
std::string WithoutCustomers(const std::string& snapshot) {
  wire::CodecReason why;
  nlohmann::json value = *wire::ParseCbor(snapshot, why);
  value.erase("customers");
  for (const char* name : {"customers", "limits", "format"}) {
    value["manifest"].erase(name);
  }
  for (nlohmann::json* queues :
       {&value["queues"], &value["manifest"]["queues"]}) {
    for (nlohmann::json& queue : *queues) {
      queue.erase("is_open");
    }
  }
  for (nlohmann::json& job : value["jobs"]) {
    const auto bytes = job.get_binary();
    job = *wire::ParseCbor(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()}, why);
    job.erase("customer");
    job.erase("is_excess");
  }
  for (nlohmann::json& worker : value["workers"]) {
    for (nlohmann::json& run : worker["runs"]) {
      run.erase(run.begin() + 6, run.end());
    }
  }
  return wire::EncodeCbor(value);
}

TEST(CustomerTable, ReadsASnapshotOfAProgramWithoutCustomers) {
  TableFixture fixture;
  fixture.AddWorker(Worker("w"));
  fixture.AddJob("j", {Step(2)});
  ASSERT_TRUE(fixture.Start(Task("j"), 1, Boot("w")));
  TableReason why;
  auto table =
      JobTable::FromSnapshot(WithoutCustomers(fixture.table.Snapshot()), why);
  ASSERT_TRUE(table) << why.message;
  EXPECT_EQ(table->Snapshot(), fixture.table.Snapshot());
  EXPECT_TRUE(table->FindJob(wire::JobId("j"))->customer.empty());
  Batch batch;
  batch.ends = {{Boot("w"), Task("j"), 1, RunOutcome::kDone, ""}};
  table->Apply(batch);
  EXPECT_TRUE(table->FindWorker(wire::WorkerId("w"))->runs.empty());
}

// The jobs of a removed customer go on under its last cap, also after a
// restart.
TEST(CustomerTable, RemembersCustomersThatALaterManifestDropped) {
  TableFixture fixture;
  PutCustomers(fixture.table, {MakeCustomer("a", 2, {3000, 0, 0})});
  PutCustomers(fixture.table, {});
  TableReason why;
  const auto table = JobTable::FromSnapshot(fixture.table.Snapshot(), why);
  ASSERT_TRUE(table);
  const Customer* customer = table->FindCustomer(CustomerId("a"));
  ASSERT_NE(customer, nullptr);
  EXPECT_EQ(customer->weight, 2);
  EXPECT_EQ(customer->cap.cpu_milli, 3000);
  EXPECT_EQ(table->FindCustomer(CustomerId("b")), nullptr);
}

class RecordedManifestTest : public testing::Test {
 protected:
  RecordedManifestTest() {
    Batch batch;
    batch.manifests = {fixture_.table.manifest()};
    batch.manifests[0].version = 7;
    batch.manifests[0].text = "text";
    fixture_.table.Apply(batch);
  }
  // Reads any text as a manifest with the customer "a" and an open queue.
  std::optional<Manifest> Read(const std::string& text) {
    texts_.push_back(text);
    Manifest manifest = fixture_.table.manifest();
    manifest.customers = {MakeCustomer("a", 2)};
    manifest.limits.max_body_bytes = 5;
    manifest.queues[0].is_open = true;
    manifest.queues[0].max_attempts = 99;
    return is_readable_ ? std::optional(manifest) : std::nullopt;
  }
  bool Complete() {
    std::string why;
    return fixture_.table.CompleteManifest(
        [this](const std::string& text, std::string&) { return Read(text); },
        why);
  }

  TableFixture fixture_;
  bool is_readable_ = true;
  std::vector<std::string> texts_;  // that were read
};

// Without it, calls would need no key until the operator puts a manifest again.
TEST_F(RecordedManifestTest, WhatAnOlderProgramDroppedIsReadFromTheText) {
  ASSERT_TRUE(Complete());
  ASSERT_TRUE(Complete());
  EXPECT_EQ(texts_, std::vector<std::string>{"text"}) << "once";
  const Manifest& manifest = fixture_.table.manifest();
  EXPECT_EQ(manifest.customers.size(), 1U);
  EXPECT_EQ(manifest.limits.max_body_bytes, 5U);
  EXPECT_TRUE(fixture_.table.FindQueue(QueueId("q"))->is_open);
  EXPECT_EQ(manifest.queues[0].max_attempts, 2U)
      << "replicas of older programs apply batches with the recorded value";
  EXPECT_NE(fixture_.table.FindCustomer(CustomerId("a")), nullptr);
}

TEST_F(RecordedManifestTest, AManifestOfThisProgramIsNotReadAgain) {
  Batch batch;
  batch.manifests = {fixture_.table.manifest()};
  ++batch.manifests[0].version;
  batch.manifests[0].format = kManifestFormat;
  fixture_.table.Apply(batch);
  EXPECT_TRUE(Complete());
  EXPECT_TRUE(texts_.empty());
}

TEST_F(RecordedManifestTest, ATextThatCannotBeReadLeavesTheManifestAsItIs) {
  is_readable_ = false;
  EXPECT_FALSE(Complete());
  EXPECT_EQ(fixture_.table.manifest().version, 7U);
  EXPECT_TRUE(Complete()) << "it isn't tried again with each batch";
}

// Returns the charge of the customer's runs in the pool.
Resources ChargeOf(const JobTable& table,
                   const std::string& customer,
                   const wire::ServiceId& pool) {
  Resources charge;
  for (const auto& [id, worker] : table.workers()) {
    for (const OpenRun& run : worker.runs) {
      const CustomerId& owner = table.FindJob(run.task.step.job)->customer;
      if (owner == CustomerId(customer) && worker.info.service == pool) {
        charge += run.charge;
      }
    }
  }
  return charge;
}

bool HasRightSums(const JobTable& table) {
  for (const char* name : {"a", "b"}) {
    const auto* load = table.customer_loads().Find(CustomerId(name));
    if ((load == nullptr ? Resources{} : load->need) != NeedOf(table, name)) {
      return false;
    }
    for (const char* pool : {"batch", "other"}) {
      const wire::ServiceId id(pool);
      const Resources charge = ChargeOf(table, name, id);
      const bool is_known = load != nullptr && load->pools.contains(id);
      if ((is_known ? load->pools.at(id).charge : Resources{}) != charge) {
        return false;
      }
    }
  }
  return true;
}

// Starts, ends, losses, next boots and changes of a worker's service, in any
// order.
RC_GTEST_PROP(CustomerTableProperty, TheSumsAreThoseOfTheOpenRuns, ()) {
  TableFixture fixture;
  StepSpec filler = Step(3);
  filler.is_filler = true;
  Batch jobs;
  jobs.jobs = {JobOf("a", "j0", {filler}), JobOf("b", "j1", {Step(3)}),
               JobOf("", "j2", {Step(3)})};
  fixture.table.Apply(jobs);
  JobTable table = std::move(fixture.table);
  uint64_t run = 0;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    WorkerInfo worker = Worker(*rc::gen::element<std::string>("u", "v"),
                               *rc::gen::inRange(1, 4));
    worker.service =
        wire::ServiceId(*rc::gen::element<std::string>("batch", "other"));
    const TaskKey task = Task(*rc::gen::element<std::string>("j0", "j1", "j2"),
                              0, *rc::gen::inRange(0U, 3U));
    Batch batch;
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        batch.workers = {worker};
        break;
      case 1:
        batch.removed_workers = {worker.boot};
        break;
      case 2:
        batch.ends = {{worker.boot, task,
                       *rc::gen::inRange<uint64_t>(0, run + 1),
                       RunOutcome::kStopped, ""}};
        break;
      default:
        batch.starts = {{task, ++run, worker.boot}};
    }
    table.Apply(batch);
    RC_ASSERT(HasRightSums(table));
    TableReason why;
    RC_ASSERT(HasRightSums(*JobTable::FromSnapshot(table.Snapshot(), why)));
  }
}

}  // namespace
}  // namespace sassafras::jobs
