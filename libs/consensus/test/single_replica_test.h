// A fixture that drives replica "a" step by step with hand-made messages.

#ifndef CONSENSUS_TEST_SINGLE_REPLICA_TEST_H_
#define CONSENSUS_TEST_SINGLE_REPLICA_TEST_H_

#include <chrono>
#include <optional>
#include <utility>

#include <gtest/gtest.h>

#include "consensus/replica.h"

namespace sassafras::consensus {

inline const Member kA{ReplicaId("a"), wire::EntryId("entry-a")};
inline const Member kB{ReplicaId("b"), wire::EntryId("entry-b")};
inline const Member kC{ReplicaId("c"), wire::EntryId("entry-c")};
inline const Member kD{ReplicaId("d"), wire::EntryId("entry-d")};

class SingleReplicaTest : public testing::Test {
 protected:
  // Creates replica a from what its disk holds; the id is set here.
  void Create(Recovered disk) {
    Options options;
    options.name = kA.name;
    disk.id = kA.id;
    ConsensusReason why;
    replica_ = Replica::Create(options, std::move(disk), 1, now_, why);
    ASSERT_TRUE(replica_) << why.message;
  }

  // The replica is the only voter; nothing is synced yet.
  void BootstrapAlone() {
    ASSERT_NO_FATAL_FAILURE(Create({}));
    Step(Bootstrap{Token(1)});
  }

  Effects Step(const Event& event) {
    Effects effects = replica_->Step(now_, event);
    if (effects.persist) {
      sequence_ = effects.persist->sequence;
    }
    return effects;
  }
  Effects Sync() { return Step(Synced{sequence_}); }
  Effects Deliver(const Message& message) { return Step(Receive{message}); }

  Message MakeMessage(const Member& from,
                      MessageKind kind,
                      uint64_t term) const {
    Message message;
    message.kind = kind;
    message.from = from;
    message.to = kA;
    message.term = Term(term);
    return message;
  }

  Message Ack(const Member& from, uint64_t index) const {
    Message ack = MakeMessage(from, MessageKind::kAppendReply,
                              replica_->GetTerm().value());
    ack.is_granted = true;
    ack.index = Index(index);
    return ack;
  }

  base::Instant now_{std::chrono::seconds(10)};
  std::optional<Replica> replica_;
  Sequence sequence_;  // of the last persist request
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_TEST_SINGLE_REPLICA_TEST_H_
