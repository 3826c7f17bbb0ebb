// Settings of one sassafrasd process, read from a TOML file and checked whole
// before anything starts. docs/OPERATIONS.md lists every key.

#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "wire/ids.h"

namespace sassafras::settings {

// One fault of a settings file. Lines and columns count from 1; 0 means that
// the fault has no place in the file (a file that can't be read).
struct Problem {
  std::string file;
  uint32_t line = 0;
  uint32_t column = 0;
  std::string message;

  // "entry-1.toml:4:9: message", as compilers print it.
  std::string ToString() const;

  friend bool operator==(const Problem&, const Problem&) = default;
};

// An IPv4 or IPv6 number and a TCP port above zero.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  // "127.0.0.1:80" or "[::1]:80".
  std::string ToString() const;
  // Reads "127.0.0.1:80"; IPv4 only.
  static std::optional<Endpoint> FromText(std::string_view text);

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

struct ProcessSettings {
  wire::EntryId name;       // unique in the cluster
  wire::ZoneId zone;        // availability zone of this host
  std::string data_folder;  // empty: not a control replica
};

// One process of the cluster; `endpoint` is its [peer] address.
struct Peer {
  wire::EntryId name;
  wire::ZoneId zone;
  Endpoint endpoint;
};

// Either a fixed list of processes or seeds. Invariant: where `peers` isn't
// empty, it lists this process itself, with its own zone and [peer] address.
struct ClusterSettings {
  std::string secret;  // shared by all processes, at least 16 characters
  std::vector<Peer> peers;
  // Addresses of some control replicas, whose peer ports are that of [peer].
  // They may be out of date; members tell of the others.
  std::vector<Endpoint> seeds;
  // The whole cluster starts for the very first time, with empty disks.
  bool is_first_start = false;
  // Control hosts that may be lost at the same time, with their disks.
  uint32_t tolerated_losses = 1;
};

// The job queues of a process; an endpoint with port 0 isn't served.
struct JobSettings {
  Endpoint callers;  // submissions, states, cancels
  Endpoint ready;    // answers the balancer's question for readiness
  Endpoint control;  // heartbeats of workers, the operator's manifest
  Endpoint adviser;  // the outside placement service
  base::Duration max_lease = std::chrono::milliseconds(5000);
  // How long workers may take to end a run.
  base::Duration max_stop = std::chrono::milliseconds(1000);
  // After this, every entry acts by a manifest that was acknowledged.
  base::Duration manifest_limit = std::chrono::milliseconds(2000);
  // After this, no entry serves a key that an acknowledged manifest has
  // removed.
  base::Duration revoke_limit = std::chrono::milliseconds(5000);
  // The state of a job that has ended can be read for at least this long.
  base::Duration keep_ended = std::chrono::milliseconds(120'000);
};

struct LimitSettings {
  uint32_t max_body_bytes = 4 * 1024 * 1024;
  uint32_t max_header_bytes = 16 * 1024;
  uint32_t max_header_fields = 4096;
  // Memory of the process. Jobs may take a part of it, see jobs::TableBudget.
  uint32_t memory_mb = 256;
  // Memory of all requests together that aren't answered yet.
  uint32_t max_unanswered_bytes = 32 * 1024 * 1024;
  uint32_t max_connections = 4096;
  uint32_t max_requests_in_flight = 1024;
  base::Duration header_timeout = std::chrono::milliseconds(5000);
  base::Duration body_timeout = std::chrono::milliseconds(10000);
  base::Duration idle_timeout = std::chrono::milliseconds(60000);
  // Upper bound and default of Request-Timeout-Ms.
  base::Duration max_request_timeout = std::chrono::milliseconds(60000);
  base::Duration default_request_timeout = std::chrono::milliseconds(10000);
};

// Invariant: heartbeat < election timeout <= session.
struct TimingSettings {
  base::Duration heartbeat = std::chrono::milliseconds(50);
  base::Duration election_timeout = std::chrono::milliseconds(500);
  base::Duration session = std::chrono::milliseconds(1500);
  base::Duration worker_lease = std::chrono::milliseconds(3000);
  base::Duration upstream_lease = std::chrono::milliseconds(2000);
};

// `balancer`: how long a stopping process keeps accepting while the balancer
// takes it out. `drain`: how long it then waits for requests in flight.
struct GraceSettings {
  base::Duration balancer = std::chrono::milliseconds(1000);
  base::Duration drain = std::chrono::milliseconds(10000);
};

struct ThreadSettings {
  uint32_t traffic = 2;  // beside the control thread
};

// `level` is one of debug, info, warning, error; an empty `file` means the
// standard error stream.
struct LogSettings {
  std::string level = "info";
  std::string file;
};

struct Settings {
  ProcessSettings process;
  Endpoint http;
  Endpoint peer;
  ClusterSettings cluster;
  JobSettings jobs;
  LimitSettings limits;
  TimingSettings timing;
  GraceSettings grace;
  ThreadSettings threads;
  LogSettings log;

  bool HasSeeds() const { return !cluster.seeds.empty(); }
  bool IsControlReplica() const { return !process.data_folder.empty(); }

  // Reads and checks `path`. On failure nothing is returned and every fault
  // found is appended to `problems`, in the order of the file.
  static std::optional<Settings> Load(const std::string& path,
                                      std::vector<Problem>& problems);

  // The same for a text in memory; `file` only names it in problems.
  static std::optional<Settings> Parse(std::string_view text,
                                       std::string_view file,
                                       std::vector<Problem>& problems);
};

}  // namespace sassafras::settings

#endif  // SETTINGS_SETTINGS_H_
