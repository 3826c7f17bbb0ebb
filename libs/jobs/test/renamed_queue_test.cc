// Tests that the jobs of a queue stay its jobs when the operator gives it
// another name.

#include <gtest/gtest.h>

#include "table_fixture.h"

namespace sassafras::jobs {
namespace {

Queue RoutedQueue(const std::string& name, const std::string& prefix) {
  Queue queue;
  queue.id = QueueId(name);
  queue.host = "a.example";
  queue.path_prefix = prefix;
  queue.service = wire::ServiceId("batch");
  return queue;
}

class RenamedQueueTest : public testing::Test {
 protected:
  void PutManifest(std::vector<Queue> queues) {
    Batch batch;
    batch.manifests = {table_.manifest()};
    ++batch.manifests[0].version;
    batch.manifests[0].queues = std::move(queues);
    table_.Apply(batch);
  }
  void AddJob(const std::string& id, const std::string& queue) {
    Batch batch;
    batch.jobs = {{wire::JobId(id), QueueId(queue), {"text", {Step(1)}}}};
    table_.Apply(batch);
  }
  bool Has(const std::string& queue, const std::string& id) const {
    return table_.FindJob(QueueId(queue), wire::JobId(id)) != nullptr;
  }

  JobTable table_;
};

// A route got another name; GET and DELETE of the jobs that it had accepted
// were answered 410 from then on, while their tasks ran.
TEST_F(RenamedQueueTest, JobsAreFoundUnderTheNewName) {
  PutManifest({RoutedQueue("old", "/a/")});
  AddJob("j", "old");
  PutManifest({RoutedQueue("new", "/a/")});
  EXPECT_TRUE(Has("new", "j"));
  EXPECT_EQ(table_.CountWaitingJobs(QueueId("new")), 1U);
  ASSERT_NE(table_.FindCurrentQueue(QueueId("old")), nullptr);
  EXPECT_EQ(table_.FindCurrentQueue(QueueId("old"))->id, QueueId("new"));
}

// An entry may still route by the earlier manifest.
TEST_F(RenamedQueueTest, JobsAreFoundUnderTheOldName) {
  PutManifest({RoutedQueue("old", "/a/")});
  AddJob("j", "old");
  PutManifest({RoutedQueue("new", "/a/")});
  EXPECT_TRUE(Has("old", "j"));
}

TEST_F(RenamedQueueTest, NamesCanBeExchanged) {
  PutManifest({RoutedQueue("x", "/a/"), RoutedQueue("y", "/b/")});
  AddJob("a", "x");
  AddJob("b", "y");
  PutManifest({RoutedQueue("y", "/a/"), RoutedQueue("x", "/b/")});
  EXPECT_TRUE(Has("y", "a"));
  EXPECT_FALSE(Has("x", "a"));
  EXPECT_TRUE(Has("x", "b"));
}

TEST_F(RenamedQueueTest, ANameThatIsUsedAgainDoesNotTakeTheJobs) {
  PutManifest({RoutedQueue("x", "/a/")});
  AddJob("a", "x");
  PutManifest({RoutedQueue("new", "/a/")});
  PutManifest({RoutedQueue("new", "/a/"), RoutedQueue("x", "/b/")});
  EXPECT_TRUE(Has("new", "a"));
  EXPECT_FALSE(Has("x", "a"));
}

TEST_F(RenamedQueueTest, JobsOfADroppedQueueAreStillFound) {
  PutManifest({RoutedQueue("old", "/a/")});
  AddJob("j", "old");
  PutManifest({RoutedQueue("other", "/b/")});
  EXPECT_TRUE(Has("old", "j"));
  EXPECT_FALSE(Has("other", "j"));
  EXPECT_EQ(table_.FindCurrentQueue(QueueId("old")), nullptr);
}

}  // namespace
}  // namespace sassafras::jobs
