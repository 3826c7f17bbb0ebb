// Event simulations of the three baselines.

#include "baselines.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <ranges>
#include <tuple>
#include <utility>

namespace sassafras::benchmarks {
namespace {

using base::Duration;
using base::Instant;

constexpr Duration kRetryPause = std::chrono::milliseconds(2);
constexpr Duration kReportInterval = std::chrono::milliseconds(250);

class Model {
 public:
  explicit Model(const Setting& setting)
      : setting_(setting),
        random_(setting.seed),
        running_(setting.upstreams, 0),
        queues_(setting.entries),
        reported_free_(setting.entries, 0) {}

  Measurements Run(void (Model::*arrive)(size_t entry, Instant arrived)) {
    const Duration total = setting_.warm_up + setting_.measured;
    const double rate = setting_.load *
                        static_cast<double>(setting_.upstreams) *
                        setting_.slots * 1e6 /
                        (kMeanJitterFactor * setting_.service_time.count());
    const Duration gap(static_cast<int64_t>(1e6 / rate));
    for (Duration at{}; at < total; at += gap) {
      const size_t entry = EntryOf(setting_, random_);
      Schedule(Instant(at), [this, arrive, entry] {
        measurements_.sent += IsMeasured() ? 1 : 0;
        (this->*arrive)(entry, now_);
      });
    }
    for (Duration at{}; at < total; at += kReportInterval) {
      Schedule(Instant(at), [this] { ReportFreeSlots(); });
    }
    while (!actions_.empty()) {
      const TimedAction next = actions_.top();
      actions_.pop();
      now_ = next.at;
      next.action();
    }
    return std::move(measurements_);
  }

  void ArriveAtRandom(size_t entry, Instant arrived) {
    if (now_ - arrived > setting_.timeout) {
      return;
    }
    const size_t upstream = random_.Below(setting_.upstreams);
    Schedule(now_ + setting_.network_delay, [this, entry, arrived, upstream] {
      if (running_[upstream] < setting_.slots) {
        Serve(upstream, entry, arrived, [] {});
        return;
      }
      measurements_.exceeded += IsMeasured() ? 1 : 0;
      Schedule(now_ + setting_.network_delay + kRetryPause,
               [this, entry, arrived] { ArriveAtRandom(entry, arrived); });
    });
  }

  void ArriveAtSharedQueue(size_t entry, Instant arrived) {
    Schedule(now_ + Jitter(setting_.network_delay, random_),
             [this, entry, arrived] {
               shared_.push_back({entry, arrived});
               ServeSharedQueue();
             });
  }

  void ArriveAtHome(size_t entry, Instant arrived) {
    size_t target = entry;
    if (FreeAt(entry) == 0) {
      const auto best = std::ranges::max_element(reported_free_);
      target = *best > 0 ? best - reported_free_.begin() : entry;
    }
    if (target == entry) {
      Queue(entry, entry, arrived);
      return;
    }
    --reported_free_[target];
    Schedule(now_ + setting_.network_delay,
             [this, target, entry, arrived] { Queue(target, entry, arrived); });
  }

 private:
  struct TimedAction {
    Instant at;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const TimedAction& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };
  struct Waiting {
    size_t from;
    Instant arrived;
  };

  void Schedule(Instant at, std::function<void()> action) {
    actions_.push({at, ++last_sequence_, std::move(action)});
  }
  bool IsMeasured() const { return now_ >= Instant(setting_.warm_up); }

  void Count(size_t upstream, size_t from, Instant arrived) {
    if (IsMeasured()) {
      measurements_.wait_ms.push_back((now_ - arrived).count() / 1e3);
      measurements_.crossed +=
          upstream % setting_.zones != from % setting_.zones ? 1 : 0;
    }
  }

  void Serve(size_t upstream,
             size_t from,
             Instant arrived,
             std::function<void()> done) {
    Count(upstream, from, arrived);
    ++running_[upstream];
    Schedule(now_ + Jitter(setting_.service_time, random_),
             [this, upstream, done = std::move(done)] {
               --running_[upstream];
               done();
             });
  }

  // Prefers upstreams with a free slot, then those in the zone of `entry`, then
  // the least loaded one.
  size_t LeastLoadedFor(size_t entry) const {
    const size_t zone = entry % setting_.zones;
    const auto rank = [&](size_t n) {
      const bool is_full = running_[n] >= setting_.slots;
      return std::tuple(is_full, n % setting_.zones != zone, running_[n]);
    };
    const auto all = std::views::iota(size_t{0}, running_.size());
    return *std::ranges::min_element(all, {}, rank);
  }

  // Slots are occupied while the request and the answer are in transit.
  void ServeSharedQueue() {
    while (!shared_.empty()) {
      const Waiting next = shared_.front();
      const size_t upstream = LeastLoadedFor(next.from);
      if (running_[upstream] >= setting_.slots) {
        return;
      }
      shared_.pop_front();
      if (now_ - next.arrived > setting_.timeout) {
        continue;
      }
      Count(upstream, next.from, next.arrived);
      ++running_[upstream];
      Schedule(now_ + Jitter(setting_.network_delay, random_) +
                   Jitter(setting_.service_time, random_) +
                   Jitter(setting_.network_delay, random_),
               [this, upstream] {
                 --running_[upstream];
                 ServeSharedQueue();
               });
    }
  }

  // The upstreams of a zone are assigned round-robin to the entries of that
  // zone.
  size_t HomeOf(size_t upstream) const {
    const size_t zone = upstream % setting_.zones;
    const size_t entries_per_zone = setting_.entries / setting_.zones;
    return zone +
           setting_.zones * ((upstream / setting_.zones) % entries_per_zone);
  }

  uint32_t FreeAt(size_t entry) const {
    uint32_t sum = 0;
    for (size_t n = 0; n < running_.size(); ++n) {
      sum += HomeOf(n) == entry ? setting_.slots - running_[n] : 0;
    }
    return sum;
  }

  void ReportFreeSlots() {
    for (size_t n = 0; n < reported_free_.size(); ++n) {
      reported_free_[n] = queues_[n].empty() ? FreeAt(n) : 0;
    }
  }

  void Queue(size_t entry, size_t from, Instant arrived) {
    queues_[entry].push_back({from, arrived});
    ServeQueue(entry);
  }

  void ServeQueue(size_t entry) {
    for (size_t n = 0; n < running_.size(); ++n) {
      while (HomeOf(n) == entry && running_[n] < setting_.slots &&
             !queues_[entry].empty()) {
        const Waiting next = queues_[entry].front();
        queues_[entry].pop_front();
        if (now_ - next.arrived <= setting_.timeout) {
          Serve(n, next.from, next.arrived,
                [this, entry] { ServeQueue(entry); });
        }
      }
    }
  }

  Setting setting_;
  base::Random random_;
  Instant now_;
  uint64_t last_sequence_ = 0;
  std::priority_queue<TimedAction> actions_;
  std::vector<uint32_t> running_;  // by upstream
  std::deque<Waiting> shared_;
  std::vector<std::deque<Waiting>> queues_;  // by entry
  // Free slots by entry, as last reported.
  std::vector<uint32_t> reported_free_;
  Measurements measurements_;
};

}  // namespace

base::Duration Jitter(base::Duration duration, base::Random& random) {
  const double factor = 0.5 + 1.5 * random.Fraction();
  return base::Duration(static_cast<int64_t>(duration.count() * factor));
}

size_t EntryOf(const Setting& setting, base::Random& random) {
  constexpr uint64_t kExtraWeight = 3;
  const uint64_t bound =
      setting.entries + (setting.is_skewed ? kExtraWeight : 0);
  const uint64_t drawn = random.Below(bound);
  return drawn < setting.entries ? drawn : 0;
}

Measurements RandomWithRefusal(const Setting& setting) {
  return Model(setting).Run(&Model::ArriveAtRandom);
}

Measurements SharedQueue(const Setting& setting) {
  return Model(setting).Run(&Model::ArriveAtSharedQueue);
}

Measurements HomeEntry(const Setting& setting) {
  return Model(setting).Run(&Model::ArriveAtHome);
}

}  // namespace sassafras::benchmarks
