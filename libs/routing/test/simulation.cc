// Simulates entries, the admission log, upstreams and sessions.

#include "simulation.h"

#include <algorithm>
#include <tuple>

#include <gtest/gtest.h>

namespace sassafras::routing::test {
namespace {

constexpr uint16_t kFirstUpstreamPort = 9000;
constexpr Duration kMaxRequestDuration = seconds(10);

wire::EntryId EntryName(size_t n) {
  return wire::EntryId("e" + std::to_string(n));
}

}  // namespace

Simulation::Simulation(const SimulationOptions& options)
    : options_(options),
      random_(options.seed),
      entries_(options.entries),
      upstreams_(options.upstreams) {
  for (size_t n = 0; n < entries_.size(); ++n) {
    entries_[n].process = 0;
    entries_[n].incarnation = 0;
    Restart(n);
  }
  ChangeLeader();
  for (size_t n = 0; n < upstreams_.size(); ++n) {
    HeartbeatLoop(n);
  }
  LeaderLoop();
}

void Simulation::Settle() {
  Run(seconds(5));
}

void Simulation::Schedule(Instant at, Action action) {
  actions_.push(
      {at, ++last_sequence_, std::make_shared<Action>(std::move(action))});
}

void Simulation::Run(Duration time) {
  const Instant until = now_ + time;
  while (!actions_.empty() && actions_.top().at <= until) {
    const TimedAction next = actions_.top();
    actions_.pop();
    now_ = std::max(now_, next.at);
    (*next.action)();
  }
  now_ = until;
}

Duration Simulation::Jitter(Duration duration) {
  return options_.is_jittered
             ? Duration(static_cast<int64_t>(duration.count() *
                                             (0.5 + 1.5 * random_.Fraction())))
             : duration;
}

wire::Incarnation Simulation::IncarnationOf(size_t entry) const {
  return wire::Incarnation(EntryName(entry).str() + "-" +
                           std::to_string(entries_[entry].process) + "-" +
                           std::to_string(entries_[entry].incarnation));
}

std::string Simulation::LogKey(const wire::OwnerId& owner,
                               const wire::RequestKey& key) {
  return owner.str() + "/" + key.str();
}

// --- entries ---

void Simulation::DeliverToEntry(size_t entry,
                                uint64_t process,
                                Duration delay,
                                Action action) {
  Schedule(now_ + delay, [this, entry, process, action = std::move(action)] {
    Entry& it = entries_[entry];
    if (!it.is_up || it.process != process) {
      return;
    }
    if (it.is_frozen) {
      it.deferred.push_back([this, entry, process, action] {
        DeliverToEntry(entry, process, Duration::zero(), action);
      });
    } else {
      action();
    }
  });
}

void Simulation::Step(size_t entry, const Event& event) {
  const Effects effects = entries_[entry].dispatcher->Step(now_, event);
  for (const Effect& effect : effects) {
    std::visit([this, entry](const auto& it) { Perform(entry, it); }, effect);
  }
  ScheduleTick(entry);
}

void Simulation::ScheduleTick(size_t entry) {
  Entry& it = entries_[entry];
  const Instant next = it.dispatcher->NextDeadline();
  if (next >= it.tick_at || next == Instant::max()) {
    return;
  }
  it.tick_at = std::max(next, now_ + Duration(1));
  DeliverToEntry(entry, it.process, it.tick_at - now_, [this, entry] {
    entries_[entry].tick_at = Instant::max();
    Step(entry, Tick());
  });
}

void Simulation::Kill(size_t entry) {
  Entry& it = entries_[entry];
  it.is_up = false;
  it.is_frozen = false;
  it.deferred.clear();
  // Entries that wait for a response from this one see the stream fail. Only
  // this simulation uses the code "broken"; the relays check for it.
  for (auto& [id, request] : std::exchange(it.requests, {})) {
    if (request.relay) {
      request.relay({RequestId(id), Outcome::kUnknown, 0, "broken"}, 0);
    }
  }
}

void Simulation::Restart(size_t entry) {
  if (entries_[entry].dispatcher && entries_[entry].is_up) {
    Kill(entry);
  }
  const wire::Incarnation before = IncarnationOf(entry);
  Entry fresh;
  fresh.process = entries_[entry].process + 1;
  fresh.incarnation = entries_[entry].incarnation + 1;
  entries_[entry] = std::move(fresh);
  EndIncarnation(entry, before);
  DispatcherOptions options;
  options.entry = EntryName(entry);
  options.incarnation = IncarnationOf(entry);
  options.zone = wire::ZoneId("zone-" + std::to_string(entry % options_.zones));
  options.seed = random_.Below(1 << 30);
  options.abandoned_slot_time = kMaxRequestDuration;
  RoutingReason why;
  entries_[entry].dispatcher = Dispatcher::Create(options, why);
  ASSERT_TRUE(entries_[entry].dispatcher) << why.message;
  Step(entry, policy_);
  RenewLoop(entry, entries_[entry].process);
}

void Simulation::Freeze(size_t entry) {
  entries_[entry].is_frozen = entries_[entry].is_up;
}

void Simulation::Thaw(size_t entry) {
  Entry& it = entries_[entry];
  it.is_frozen = false;
  for (const Action& action : std::exchange(it.deferred, {})) {
    action();
  }
}

void Simulation::Isolate(size_t entry, bool is_isolated) {
  entries_[entry].is_isolated = is_isolated;
}

DispatcherCounters Simulation::Counters(size_t entry) const {
  return entries_[entry].dispatcher->Counters();
}

void Simulation::SetPolicy(const PolicyUpdated& policy) {
  policy_ = policy;
  for (size_t n = 0; n < entries_.size(); ++n) {
    Step(n, policy_);
  }
}

// --- callers ---

size_t Simulation::Send(size_t entry, const SendOptions& options) {
  const size_t sent_index = sent_requests_.size();
  sent_requests_.push_back({options.key, options.owner, options.is_idempotent,
                            options.is_first_sending, now_,
                            now_ + options.timeout});
  Request request;
  request.sent_index = sent_index;
  request.origin = sent_index;
  sent_requests_.back().entry = entry;
  request.key = options.key;
  request.options = options;
  request.deadline = now_ + options.timeout;
  DeliverToEntry(entry, entries_[entry].process, Jitter(options_.network_delay),
                 [this, entry, request, options] {
                   DeliverRequest(entry, request, false,
                                  options.is_first_sending);
                 });
  return sent_index;
}

void Simulation::DropCaller(size_t sent_index) {
  for (size_t n = 0; n < entries_.size(); ++n) {
    for (const auto& [id, request] : entries_[n].requests) {
      if (request.sent_index == sent_index && !entries_[n].is_frozen) {
        Step(n, CallerDisconnected{RequestId(id)});
        return;
      }
    }
  }
}

void Simulation::DeliverRequest(size_t entry,
                                Request request,
                                bool is_from_other_entry,
                                bool is_first_sending) {
  const uint64_t id = ++last_request_;
  const SendOptions& options = request.options;
  RequestArrived event{RequestId(id),
                       wire::OwnerId(options.owner),
                       wire::ServiceId(options.service),
                       options.priority,
                       request.deadline,
                       options.is_idempotent,
                       wire::RequestKey(request.key),
                       options.digest,
                       is_from_other_entry,
                       is_first_sending};
  entries_[entry].requests[id] = std::move(request);
  Step(entry, event);
}

void Simulation::Perform(size_t entry, const Respond& effect) {
  Entry& it = entries_[entry];
  const auto found = it.requests.find(effect.request.value());
  ASSERT_NE(found, it.requests.end())
      << "Respond for a request that was already removed by Forget";
  Request& request = found->second;
  const auto same = it.requests.find(effect.shared_with.value());
  const Request& kept = same == it.requests.end() ? request : same->second;
  uint64_t answer = 0;
  switch (effect.source) {
    case AnswerSource::kUpstream:
      answer = kept.answers.at(effect.answered_by);
      break;
    case AnswerSource::kStored:
      answer = kept.stored_answer;
      break;
    case AnswerSource::kRelay:
      answer = kept.relayed_answer;
      break;
    case AnswerSource::kShared:
      answer = it.answers_by_request.at(effect.shared_with.value());
      break;
    case AnswerSource::kNone:
      break;
  }
  const bool must_be_committed = !request.options.is_idempotent &&
                                 effect.outcome == Outcome::kCompleted &&
                                 effect.source == AnswerSource::kUpstream;
  if (must_be_committed) {
    const Admission& admission = admission_log_[LogKey(
        wire::OwnerId(request.options.owner), effect.key)];
    EXPECT_EQ(admission.state, wire::AdmissionState::kCompleted);
    EXPECT_EQ(admission.answer, answer);
  }
  it.answers_by_request[effect.request.value()] = answer;
  if (request.sent_index) {
    SentRequest& sent = sent_requests_[*request.sent_index];
    sent.outcome = effect.outcome;
    sent.answer = answer;
    sent.answered_at = now_;
    sent.code = effect.code;
    sent.retry_after = effect.retry_after;
    ++sent.responses;
  } else if (request.relay) {
    request.relay(effect, answer);
    request.relay = nullptr;
  }
}

void Simulation::Perform(size_t entry, const Forget& effect) {
  entries_[entry].requests.erase(effect.request.value());
}

// --- upstreams ---

void Simulation::Perform(size_t entry, const SendToUpstream& effect) {
  ASSERT_LT(now_, effect.session_until)
      << "SendToUpstream after the session expired";
  const size_t upstream = effect.port - kFirstUpstreamPort;
  Request& request = entries_[entry].requests.at(effect.request.value());
  request.answers[effect.try_id] = 0;
  if (request.origin) {
    SentRequest& sent = sent_requests_[*request.origin];
    ++sent.tries;
    sent.started_at = now_;
    sent.crossed_zone =
        upstream % options_.zones != sent.entry % options_.zones;
  }
  Schedule(
      now_ + Jitter(options_.network_delay),
      [this, upstream, entry, effect] { ServeAt(upstream, entry, effect); });
}

void Simulation::ReportFailure(size_t entry,
                               const SendToUpstream& effect,
                               bool any_byte_sent,
                               UpstreamFailure failure) {
  Step(entry,
       UpstreamFailed{effect.request, effect.try_id, any_byte_sent, failure});
}

void Simulation::ServeAt(size_t upstream,
                         size_t entry,
                         const SendToUpstream& effect) {
  Upstream& it = upstreams_[upstream];
  Entry& from = entries_[entry];
  const uint64_t process = from.process;
  ++it.received;
  if (it.mode == UpstreamMode::kRefusesConnections) {
    DeliverToEntry(
        entry, process, Jitter(options_.network_delay), [this, entry, effect] {
          ReportFailure(entry, effect, false, UpstreamFailure::kConnect);
        });
    return;
  }
  // The entry abandons the try at its deadline, whether or not it still runs.
  DeliverToEntry(entry, process, std::max(effect.deadline - now_, Duration(1)),
                 [this, entry, effect] {
                   ReportFailure(entry, effect, true,
                                 UpstreamFailure::kTimeout);
                 });
  if (it.mode == UpstreamMode::kSilent || it.is_host_lost) {
    return;
  }
  const auto request = from.requests.find(effect.request.value());
  const std::string key =
      request == from.requests.end() ? "" : request->second.key;
  const uint64_t answer = ++last_run_;
  if (!effect.is_idempotent) {
    runs_[key].push_back({answer, now_});
  }
  ++it.running;
  it.max_running = std::max(it.max_running, it.running);
  const bool breaks_off = it.mode == UpstreamMode::kBreaksConnections;
  const uint32_t status = it.mode == UpstreamMode::kReturnsErrors ? 503 : 200;
  const Duration took =
      std::min(Jitter(Duration(static_cast<int64_t>(
                   options_.service_time.count() * it.slowdown_factor))),
               kMaxRequestDuration);
  const uint32_t incarnation = it.incarnation;
  Schedule(now_ + took, [=, this] {
    Upstream& done = upstreams_[upstream];
    if (done.incarnation == incarnation) {
      --done.running;
    }
    if (done.is_host_lost) {
      return;
    }
    const bool is_broken = breaks_off || done.incarnation != incarnation;
    DeliverToEntry(entry, process, Jitter(options_.network_delay), [=, this] {
      if (is_broken) {
        ReportFailure(entry, effect, true, UpstreamFailure::kBrokenOff);
        return;
      }
      auto& requests = entries_[entry].requests;
      const auto found = requests.find(effect.request.value());
      if (found != requests.end()) {
        found->second.answers[effect.try_id] = answer;
      }
      Step(entry, UpstreamFinished{effect.request, effect.try_id, status});
    });
  });
}

void Simulation::RestartUpstream(size_t upstream) {
  Upstream& it = upstreams_[upstream];
  ++it.incarnation;
  it.running = 0;
  it.sequence = 0;
  it.answered = {};
  it.is_leaving = false;
}

void Simulation::LoseZone(size_t zone) {
  for (size_t n = zone; n < entries_.size(); n += options_.zones) {
    Kill(n);
  }
  for (size_t n = zone; n < upstreams_.size(); n += options_.zones) {
    upstreams_[n].is_host_lost = true;
  }
}

void Simulation::HeartbeatLoop(size_t upstream) {
  Upstream& it = upstreams_[upstream];
  if (it.is_host_lost) {
    return;
  }
  wire::UpstreamHeartbeat heartbeat{
      wire::UpstreamId("u" + std::to_string(upstream)),
      wire::Incarnation(std::to_string(it.incarnation)),
      wire::ServiceId("booking"),
      wire::ZoneId("zone-" + std::to_string(upstream % options_.zones)),
      "127.0.0.1",
      static_cast<uint16_t>(kFirstUpstreamPort + upstream),
      it.slots,
      64,
      it.is_leaving ? wire::UpstreamState::kLeaving
                    : wire::UpstreamState::kReady,
      it.running,
      it.running,
      ++it.sequence,
      it.answered};
  const uint32_t incarnation = it.incarnation;
  Schedule(now_ + Jitter(options_.network_delay), [this, upstream, heartbeat,
                                                   incarnation] {
    RoutingReason why;
    const auto answer =
        has_quorum_ ? ledger_->Announce(now_, heartbeat, why) : std::nullopt;
    if (answer && upstreams_[upstream].incarnation == incarnation) {
      upstreams_[upstream].answered = answer->stamp;
    }
  });
  Schedule(now_ + milliseconds(300),
           [this, upstream] { HeartbeatLoop(upstream); });
}

// --- the admission log ---

void Simulation::FillFromAdmission(const Admission& admission,
                                   const std::string& digest,
                                   AdmitResolved& result) {
  result.holder = EntryName(admission.entry);
  result.holder_incarnation = admission.incarnation;
  result.stored_state = admission.state;
  result.stored_status = 200;
  result.outcome = admission.digest != digest ? AdmitOutcome::kConflict
                   : admission.state == wire::AdmissionState::kOpen
                       ? AdmitOutcome::kAttached
                       : AdmitOutcome::kStored;
}

AdmitResolved Simulation::Admit(size_t entry, const ProposeAdmit& effect) {
  AdmitResolved result;
  result.request = effect.request;
  Admission& admission = admission_log_[LogKey(effect.owner, effect.key)];
  const bool is_new = admission.incarnation.empty() ||
                      admission.state == wire::AdmissionState::kNotRun;
  const bool is_own = admission.state == wire::AdmissionState::kOpen &&
                      admission.incarnation == effect.incarnation;
  if (ended_incarnations_.contains(effect.incarnation)) {
    result.outcome = AdmitOutcome::kStale;
  } else if (is_new || is_own) {
    admission = {wire::AdmissionState::kOpen, effect.digest, entry,
                 effect.incarnation};
    result.outcome = AdmitOutcome::kAdmitted;
  } else {
    FillFromAdmission(admission, effect.digest, result);
  }
  return result;
}

// The result may be lost, or dropped because the entry process was restarted.
void Simulation::Resolve(size_t entry,
                         uint64_t process,
                         RequestId request,
                         const std::string& log_key,
                         AdmitResolved result) {
  if (random_.Below(1000) < options_.lost_commits_per_mille) {
    result = {request, AdmitOutcome::kUnknown};
  }
  const auto it = admission_log_.find(log_key);
  const uint64_t answer = it == admission_log_.end() ? 0 : it->second.answer;
  DeliverToEntry(entry, process, Jitter(options_.commit_delay),
                 [this, entry, request, result, answer] {
                   auto& requests = entries_[entry].requests;
                   const auto found = requests.find(request.value());
                   if (found != requests.end()) {
                     found->second.stored_answer = answer;
                   }
                   Step(entry, result);
                 });
}

void Simulation::Perform(size_t entry, const ProposeAdmit& effect) {
  const uint64_t process = entries_[entry].process;
  entries_[entry].requests.at(effect.request.value()).key = effect.key.str();
  if (!has_quorum_ || entries_[entry].is_isolated) {
    DeliverToEntry(
        entry, process, Jitter(options_.network_delay), [this, entry, effect] {
          Step(entry, AdmitResolved{effect.request, AdmitOutcome::kNotRun});
        });
    return;
  }
  Schedule(now_ + Jitter(options_.commit_delay), [this, entry, process,
                                                  effect] {
    if (has_quorum_) {
      Resolve(entry, process, effect.request, LogKey(effect.owner, effect.key),
              Admit(entry, effect));
    } else {
      // The proposal is in doubt: it may still be committed up to 4 s later.
      if (random_.Below(2) == 0) {
        Schedule(now_ + milliseconds(random_.Below(4000)),
                 [this, entry, effect] { Admit(entry, effect); });
      }
      DeliverToEntry(
          entry, process, Jitter(options_.network_delay),
          [this, entry, effect] {
            Step(entry, AdmitResolved{effect.request, AdmitOutcome::kUnknown});
          });
    }
  });
}

void Simulation::Perform(size_t entry, const ReadAdmission& effect) {
  const uint64_t process = entries_[entry].process;
  Schedule(
      now_ + Jitter(options_.commit_delay), [this, entry, process, effect] {
        AdmitResolved result{effect.request, AdmitOutcome::kNotRun};
        const std::string log_key = LogKey(effect.owner, effect.key);
        const auto it = admission_log_.find(log_key);
        if (has_quorum_ && !entries_[entry].is_isolated) {
          result.outcome = AdmitOutcome::kNone;
          if (it != admission_log_.end() && !it->second.incarnation.empty() &&
              it->second.state != wire::AdmissionState::kNotRun) {
            FillFromAdmission(it->second, effect.digest, result);
          }
        }
        Resolve(entry, process, effect.request, log_key, result);
      });
}

void Simulation::Perform(size_t entry, const ProposeClose& effect) {
  const uint64_t process = entries_[entry].process;
  const Request& request = entries_[entry].requests.at(effect.request.value());
  const auto answered = request.answers.find(effect.answered_by);
  const uint64_t answer =
      answered == request.answers.end() ? 0 : answered->second;
  Schedule(now_ + Jitter(options_.commit_delay), [this, entry, process, effect,
                                                  answer] {
    CloseResolved result{effect.request, CloseOutcome::kNotCommitted};
    if (has_quorum_ && !entries_[entry].is_isolated) {
      Admission& admission = admission_log_[LogKey(effect.owner, effect.key)];
      const bool is_own = admission.incarnation == effect.incarnation;
      if (is_own && admission.state == wire::AdmissionState::kOpen) {
        admission.state = effect.outcome;
        admission.answer = answer;
      }
      result.outcome = is_own && admission.state == effect.outcome
                           ? CloseOutcome::kCommitted
                           : CloseOutcome::kStale;
      if (random_.Below(1000) < options_.lost_commits_per_mille) {
        result.outcome = CloseOutcome::kUnknown;
      }
    }
    DeliverToEntry(entry, process, Jitter(options_.commit_delay),
                   [this, entry, result] { Step(entry, result); });
  });
}

void Simulation::EndIncarnation(size_t entry,
                                const wire::Incarnation& incarnation) {
  ended_incarnations_.insert(incarnation);
  for (auto& [key, admission] : admission_log_) {
    if (admission.entry == entry && admission.incarnation == incarnation &&
        admission.state == wire::AdmissionState::kOpen) {
      admission.state = wire::AdmissionState::kUnknown;
    }
  }
}

// --- between entries ---

void Simulation::Perform(size_t entry, const ForwardTo& effect) {
  const uint64_t process = entries_[entry].process;
  Request request = entries_[entry].requests.at(effect.request.value());
  request.sent_index.reset();
  request.key = effect.key.str();
  const RequestId id = effect.request;
  request.relay = [this, entry, process, id](const Respond& respond,
                                             uint64_t answer) {
    DeliverToEntry(entry, process, Jitter(options_.network_delay), [=, this] {
      auto& requests = entries_[entry].requests;
      if (const auto it = requests.find(id.value()); it != requests.end()) {
        it->second.relayed_answer = answer;
      }
      const RelayOutcome outcome =
          respond.code == "broken"                 ? RelayOutcome::kStreamFailed
          : respond.outcome == Outcome::kCompleted ? RelayOutcome::kCompleted
          : respond.outcome == Outcome::kNotRun    ? RelayOutcome::kNotRun
                                                   : RelayOutcome::kUnknown;
      Step(entry, RelayResolved{id, outcome, respond.status});
    });
  };
  const size_t target = std::stoul(effect.entry.str().substr(1));
  if (!entries_[target].is_up) {
    DeliverToEntry(entry, process, Jitter(options_.network_delay),
                   [this, entry, id] {
                     Step(entry, RelayResolved{id, RelayOutcome::kNotSent});
                   });
    return;
  }
  const bool is_first = effect.is_first_sending;
  DeliverToEntry(target, entries_[target].process,
                 Jitter(options_.network_delay),
                 [this, target, request, is_first] {
                   DeliverRequest(target, request, true, is_first);
                 });
}

void Simulation::Perform(size_t entry, const QueryOutcome& effect) {
  const uint64_t process = entries_[entry].process;
  const RequestId id = effect.request;
  const auto reply = [this, entry, process, id](RelayOutcome outcome,
                                                uint64_t answer) {
    DeliverToEntry(entry, process, Jitter(options_.network_delay), [=, this] {
      auto& requests = entries_[entry].requests;
      if (const auto it = requests.find(id.value()); it != requests.end()) {
        it->second.relayed_answer = answer;
      }
      Step(entry, RelayResolved{id, outcome, 200});
    });
  };
  const size_t target = std::stoul(effect.entry.str().substr(1));
  if (!entries_[target].is_up || IncarnationOf(target) != effect.incarnation) {
    reply(RelayOutcome::kStreamFailed, 0);
    return;
  }
  Request request;
  request.key = effect.key.str();
  request.relay = [reply](const Respond& respond, uint64_t answer) {
    reply(respond.code == "broken"                 ? RelayOutcome::kStreamFailed
          : respond.code == "not-known"            ? RelayOutcome::kNotKnown
          : respond.outcome == Outcome::kCompleted ? RelayOutcome::kCompleted
          : respond.outcome == Outcome::kNotRun    ? RelayOutcome::kNotRun
                                                   : RelayOutcome::kUnknown,
          answer);
  };
  DeliverToEntry(target, entries_[target].process,
                 Jitter(options_.network_delay),
                 [this, target, request, effect] {
                   const uint64_t query = ++last_request_;
                   entries_[target].requests[query] = request;
                   Step(target, OutcomeQueried{RequestId(query), effect.owner,
                                               effect.key, effect.deadline});
                 });
}

// --- sessions ---

void Simulation::RenewLoop(size_t entry, uint64_t process) {
  DeliverToEntry(entry, process, milliseconds(250),
                 [this, entry, process] { RenewLoop(entry, process); });
  if (!entries_[entry].dispatcher) {
    return;
  }
  const wire::EntryRenewal renewal =
      entries_[entry].dispatcher->BuildRenewal(now_);
  if (entries_[entry].is_isolated) {
    return;
  }
  const Instant sent_at = now_;
  Schedule(now_ + Jitter(options_.network_delay), [this, entry, process,
                                                   renewal, sent_at] {
    RoutingReason why;
    const auto answer = has_quorum_ && ledger_
                            ? ledger_->Renew(now_, renewal, why)
                            : std::nullopt;
    const bool is_ended = why.code == RoutingError::kStale;
    if (!answer && !is_ended) {
      return;
    }
    DeliverToEntry(entry, process, Jitter(options_.network_delay),
                   [this, entry, answer, sent_at, is_ended] {
                     if (is_ended) {
                       ++entries_[entry].incarnation;
                       Step(entry, IncarnationReplaced{IncarnationOf(entry)});
                     } else {
                       Step(entry, RoutesUpdated{*answer, sent_at});
                     }
                   });
  });
}

void Simulation::LeaderLoop() {
  if (has_quorum_) {
    for (const EndedEntry& ended : ledger_->Tick(now_)) {
      EndIncarnation(std::stoul(ended.entry.str().substr(1)),
                     ended.incarnation);
    }
  }
  Schedule(now_ + milliseconds(50), [this] { LeaderLoop(); });
}

void Simulation::ChangeLeader() {
  SlotLedgerOptions options;
  options.max_request_duration = kMaxRequestDuration;
  RoutingReason why;
  ledger_ = SlotLedger::Create(options, ++epoch_, now_, why);
  ASSERT_TRUE(ledger_) << why.message;
}

}  // namespace sassafras::routing::test
