// One fake worker: heartbeats to the cluster and runs what it is told.

#include "worker_agent.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wire/codec.h"

namespace sassafras::samples {

namespace asio = boost::asio;

namespace {

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
constexpr auto kTryLimit = std::chrono::milliseconds(700);
constexpr auto kGoodbyeLimit = std::chrono::milliseconds(2000);
constexpr double kJitter = 0.1;  // share of the period
constexpr auto kShortestPause = std::chrono::milliseconds(20);

}  // namespace

base::Instant Now() {
  return base::Instant(std::chrono::microseconds(MonotonicUs()));
}

void HeartbeatCounts::Add(const HeartbeatCounts& other) {
  heartbeats += other.heartbeats;
  unanswered += other.unanswered;
  sent_bytes += other.sent_bytes;
  received_bytes += other.received_bytes;
  longest = std::max(longest, other.longest);
}

std::string HeartbeatCounts::ToString() const {
  return "heartbeats=" + std::to_string(heartbeats) +
         " unanswered=" + std::to_string(unanswered) +
         " sent_bytes=" + std::to_string(sent_bytes) +
         " received_bytes=" + std::to_string(received_bytes) +
         " longest_us=" + std::to_string(longest.count());
}

WorkerAgent::WorkerAgent(const asio::any_io_executor& executor,
                         WorkerOptions options,
                         Ledger& ledger,
                         uint64_t seed)
    : options_(std::move(options)),
      ledger_(ledger),
      random_(seed),
      client_(executor, options_.entries, options_.first_entry),
      beat_timer_(executor),
      table_timer_(executor),
      table_(options_.capacity) {
  client_.SetToken(options_.token);
  BeginRun();
}

void WorkerAgent::BeginRun() {
  table_ = AttemptTable(options_.capacity);
  incarnation_ = wire::Incarnation(random_.HexId());
  sequence_ = 0;
  ledger_.Note("run worker=" + options_.id.str() +
               " incarnation=" + incarnation_.str());
}

asio::awaitable<void> WorkerAgent::Run() {
  while (true) {
    const bool may_go = is_leaving_ && (table_.Running() == 0 ||
                                        Now() - left_at_ >= options_.drain);
    if (may_go && sequence_ > 0) {
      break;
    }
    co_await Beat();
    co_await Wait();
  }
  co_await SayGoodbye();
}

void WorkerAgent::Leave() {
  if (!is_leaving_) {
    is_leaving_ = true;
    left_at_ = Now();
    beat_timer_.cancel();
  }
}

asio::awaitable<void> WorkerAgent::Beat() {
  co_await Send(kTryLimit);
  if (table_.IsLeaseLost()) {
    BeginRun();
  }
  WatchTable();
}

// The first pause is any share of the period, so that workers that start
// together don't go on beating together.
base::Duration WorkerAgent::NextPause() {
  const bool is_first = sequence_ <= 1;
  const double share = is_first ? random_.Fraction()
                                : 1 + kJitter * (2 * random_.Fraction() - 1);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(
          share * double(options_.period.count())));
}

// Waits for the next heartbeat, which news brings forward.
asio::awaitable<void> WorkerAgent::Wait() {
  beat_timer_.expires_after(NextPause());
  auto [ec] = co_await beat_timer_.async_wait(kUse);
  if (ec) {
    // Let news gather for a moment.
    beat_timer_.expires_after(kShortestPause);
    co_await beat_timer_.async_wait(kUse);
  }
}

// Stops what still runs and reports it, so that its tasks can be placed anew
// at once.
asio::awaitable<void> WorkerAgent::SayGoodbye() {
  table_timer_.cancel();
  Note(table_.StopAll(Now(), "leaving"));
  co_await Send(kGoodbyeLimit);
}

asio::awaitable<bool> WorkerAgent::Send(base::Duration limit) {
  ++sequence_;
  http::Request request;
  request.method = "POST";
  request.target =
      "/v1/workers/" + client::EncodeSegment(options_.id.str()) + "/heartbeat";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = nlohmann::json(MakeHeartbeat()).dump();
  client::CallOptions call;
  call.limit = limit;
  call.try_limit = limit;
  call.resend = {.on_unknown = false, .on_not_run = false};
  ++counts_.heartbeats;
  counts_.sent_bytes += request.body.size();
  const base::Instant sent = Now();
  const auto result = co_await client_.Call(std::move(request), call);
  constexpr int kOk = 200;
  if (!result.answer || result.answer->status != kOk) {
    const std::string what =
        result.answer ? result.answer->body : result.why.message;
    ++counts_.unanswered;
    ledger_.Note("unanswered worker=" + options_.id.str() + " " + what);
    Note(table_.Advance(Now()));
    co_return false;
  }
  counts_.received_bytes += result.answer->body.size();
  counts_.longest = std::max(counts_.longest, Now() - sent);
  wire::CodecReason why;
  const auto answer =
      wire::DecodeJson<wire::WorkerAnswer>(result.answer->body, why);
  if (!answer || answer->sequence != sequence_) {
    ledger_.Note("bad-answer worker=" + options_.id.str() + " " + why.message);
    co_return false;
  }
  Note(table_.Apply(*answer, sent, Now()));
  co_return true;
}

void WorkerAgent::WatchTable() {
  const auto next = table_.NextEvent();
  if (!next) {
    table_timer_.cancel();
    return;
  }
  table_timer_.expires_at(
      std::chrono::steady_clock::time_point(next->time_since_epoch()));
  table_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      OnTableTimer();
    }
  });
}

void WorkerAgent::OnTableTimer() {
  Note(table_.Advance(Now()));
  if (table_.IsLeaseLost()) {
    BeginRun();
  }
  WatchTable();
  beat_timer_.cancel();
}

void WorkerAgent::Note(const std::vector<AttemptNote>& notes) {
  std::ranges::for_each(notes, [this](const AttemptNote& note) {
    ledger_.Note(note.ToString() + " worker=" + options_.id.str());
  });
}

wire::WorkerHeartbeat WorkerAgent::MakeHeartbeat() const {
  wire::WorkerHeartbeat heartbeat;
  heartbeat.worker = options_.id;
  heartbeat.incarnation = incarnation_;
  heartbeat.sequence = sequence_;
  heartbeat.zone = options_.zone;
  heartbeat.rack = options_.rack;
  heartbeat.state =
      is_leaving_ ? wire::WorkerState::kLeaving : wire::WorkerState::kReady;
  heartbeat.capacity = options_.capacity;
  heartbeat.attempts = table_.Reports(Now());
  return heartbeat;
}

}  // namespace sassafras::samples
