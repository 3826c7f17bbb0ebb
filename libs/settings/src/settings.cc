// The keys of a settings file, and its loading.

#include "settings/settings.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>
#include <tuple>

#include "check.h"
#include "reader.h"

namespace sassafras::settings {

namespace {

constexpr int64_t kMebibyte = 1'048'576;
constexpr int64_t kMaxTimeMs = 3'600'000;
constexpr int64_t kMaxKeptMs = 86'400'000;
constexpr int64_t kMaxPort = 65'535;
constexpr int64_t kMaxThreads = 64;
constexpr int64_t kMaxToleratedLosses = 100;
constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr Field<ProcessSettings> kProcessFields[] = {
    {"name", &ProcessSettings::name, kRequired, TextRule::kName},
    {"zone", &ProcessSettings::zone, kRequired, TextRule::kName},
    {"data_folder", &ProcessSettings::data_folder, kOptional, TextRule::kPath},
};

constexpr Field<Endpoint> kEndpointFields[] = {
    {"address", &Endpoint::address, kRequired, TextRule::kIpNumber},
    {"port", &Endpoint::port, kRequired, TextRule::kPath, 1, kMaxPort},
};

constexpr Field<LimitSettings> kLimitFields[] = {
    {"max_body_bytes", &LimitSettings::max_body_bytes, kOptional,
     TextRule::kPath, 1024, 64 * kMebibyte},
    {"max_header_bytes", &LimitSettings::max_header_bytes, kOptional,
     TextRule::kPath, 1024, kMebibyte},
    {"max_header_fields", &LimitSettings::max_header_fields, kOptional,
     TextRule::kPath, 16, 100'000},
    {"memory_mb", &LimitSettings::memory_mb, kOptional, TextRule::kPath, 16,
     kMebibyte},
    {"max_unanswered_bytes", &LimitSettings::max_unanswered_bytes, kOptional,
     TextRule::kPath, kMebibyte, 1024 * kMebibyte},
    {"max_connections", &LimitSettings::max_connections, kOptional,
     TextRule::kPath, 1, 100'000},
    {"max_requests_in_flight", &LimitSettings::max_requests_in_flight,
     kOptional, TextRule::kPath, 1, 100'000},
    {"header_timeout_ms", &LimitSettings::header_timeout, kOptional,
     TextRule::kPath, 10, kMaxTimeMs},
    {"body_timeout_ms", &LimitSettings::body_timeout, kOptional,
     TextRule::kPath, 10, kMaxTimeMs},
    {"idle_timeout_ms", &LimitSettings::idle_timeout, kOptional,
     TextRule::kPath, 10, kMaxTimeMs},
    {"max_request_timeout_ms", &LimitSettings::max_request_timeout, kOptional,
     TextRule::kPath, 10, kMaxTimeMs},
    {"default_request_timeout_ms", &LimitSettings::default_request_timeout,
     kOptional, TextRule::kPath, 10, kMaxTimeMs},
};

constexpr Field<TimingSettings> kTimingFields[] = {
    {"heartbeat_ms", &TimingSettings::heartbeat, kOptional, TextRule::kPath, 5,
     10'000},
    {"election_timeout_ms", &TimingSettings::election_timeout, kOptional,
     TextRule::kPath, 50, 60'000},
    {"session_ms", &TimingSettings::session, kOptional, TextRule::kPath, 100,
     60'000},
    {"worker_lease_ms", &TimingSettings::worker_lease, kOptional,
     TextRule::kPath, 100, 600'000},
    {"upstream_lease_ms", &TimingSettings::upstream_lease, kOptional,
     TextRule::kPath, 100, 600'000},
};

constexpr Field<GraceSettings> kGraceFields[] = {
    {"balancer_ms", &GraceSettings::balancer, kOptional, TextRule::kPath, 0,
     kMaxTimeMs},
    {"drain_ms", &GraceSettings::drain, kOptional, TextRule::kPath, 0,
     kMaxTimeMs},
};

constexpr Field<ThreadSettings> kThreadFields[] = {
    {"traffic", &ThreadSettings::traffic, kOptional, TextRule::kPath, 1,
     kMaxThreads},
};

constexpr Field<LogSettings> kLogFields[] = {
    {"level", &LogSettings::level, kOptional, TextRule::kLogLevel},
    {"file", &LogSettings::file, kOptional, TextRule::kPath},
};

// The keys of [cluster] itself and of one [[cluster.peers]] table, flattened.
struct PeerEntry {
  wire::EntryId name;
  wire::ZoneId zone;
  std::string address;
  uint16_t port = 0;
};

constexpr Field<PeerEntry> kPeerFields[] = {
    {"name", &PeerEntry::name, kRequired, TextRule::kName},
    {"zone", &PeerEntry::zone, kRequired, TextRule::kName},
    {"address", &PeerEntry::address, kRequired, TextRule::kIpNumber},
    {"port", &PeerEntry::port, kRequired, TextRule::kPath, 1, kMaxPort},
};

struct ClusterEntry {
  std::string secret;
  std::vector<Endpoint> seeds;
  bool is_first_start = false;
  uint32_t tolerated_losses = ClusterSettings().tolerated_losses;
};

constexpr Field<ClusterEntry> kClusterFields[] = {
    {"secret", &ClusterEntry::secret, kRequired, TextRule::kSecret},
    {"seeds", &ClusterEntry::seeds, kOptional, TextRule::kEndpoints},
    {"first_start", &ClusterEntry::is_first_start, kOptional},
    {"tolerated_losses", &ClusterEntry::tolerated_losses, kOptional,
     TextRule::kPath, 0, kMaxToleratedLosses},
};

constexpr Field<JobSettings> kJobFields[] = {
    {"callers", &JobSettings::callers, kOptional, TextRule::kEndpoint},
    {"ready", &JobSettings::ready, kOptional, TextRule::kEndpoint},
    {"control", &JobSettings::control, kOptional, TextRule::kEndpoint},
    {"adviser", &JobSettings::adviser, kOptional, TextRule::kEndpoint},
    {"max_lease_ms", &JobSettings::max_lease, kOptional, TextRule::kPath, 500,
     kMaxTimeMs},
    {"max_stop_ms", &JobSettings::max_stop, kOptional, TextRule::kPath, 0,
     kMaxTimeMs},
    {"manifest_limit_ms", &JobSettings::manifest_limit, kOptional,
     TextRule::kPath, 100, kMaxTimeMs},
    {"revoke_limit_ms", &JobSettings::revoke_limit, kOptional, TextRule::kPath,
     500, kMaxTimeMs},
    {"keep_ended_ms", &JobSettings::keep_ended, kOptional, TextRule::kPath, 0,
     kMaxKeptMs},
};

constexpr std::string_view kPeersKey = "peers";

// Reads one file; holds what the steps share.
class Loader {
 public:
  explicit Loader(Reader& reader) : reader_(reader) {}

  Settings Read(const toml::table& root) {
    reader_.ReportUnknown(root, "", [](std::string_view key) {
      constexpr std::array<std::string_view, 10> kTables = {
          "process", "http",   "peer",  "cluster", "jobs",
          "limits",  "timing", "grace", "threads", "log"};
      return std::ranges::find(kTables, key) != kTables.end();
    });
    ReadSection<ProcessSettings>(root, "process", kProcessFields, kRequired,
                                 settings_.process);
    ReadSection<Endpoint>(root, "http", kEndpointFields, kRequired,
                          settings_.http);
    ReadSection<Endpoint>(root, "peer", kEndpointFields, kRequired,
                          settings_.peer);
    ReadCluster(root);
    ReadSection<JobSettings>(root, "jobs", kJobFields, kOptional,
                             settings_.jobs);
    ReadSection<LimitSettings>(root, "limits", kLimitFields, kOptional,
                               settings_.limits);
    ReadSection<TimingSettings>(root, "timing", kTimingFields, kOptional,
                                settings_.timing);
    ReadSection<GraceSettings>(root, "grace", kGraceFields, kOptional,
                               settings_.grace);
    ReadSection<ThreadSettings>(root, "threads", kThreadFields, kOptional,
                                settings_.threads);
    ReadSection<LogSettings>(root, "log", kLogFields, kOptional, settings_.log);
    CheckAcrossKeys(settings_, peer_places_, reader_);
    return std::move(settings_);
  }

 private:
  // The table under `name`, or null after a report.
  const toml::table* FindTable(const toml::table& root,
                               std::string_view name,
                               Presence presence) {
    const toml::node* node = root.get(name);
    if (node == nullptr) {
      if (presence == kRequired) {
        reader_.Report(root.source().begin,
                       "missing table [" + std::string(name) + "]");
      }
      return nullptr;
    }
    if (!node->is_table()) {
      reader_.Report(node->source().begin,
                     "\"" + std::string(name) + "\" must be a table");
    }
    return node->as_table();
  }

  template <typename Struct>
  void ReadSection(const toml::table& root,
                   std::string_view name,
                   std::span<const Field<Struct>> fields,
                   Presence presence,
                   Struct& out) {
    if (const auto* table = FindTable(root, name, presence)) {
      reader_.ReadTable<Struct>(*table, name, fields, out);
    }
  }

  void ReadCluster(const toml::table& root) {
    const auto* table = FindTable(root, "cluster", kRequired);
    if (table == nullptr) {
      return;
    }
    ClusterEntry entry;
    reader_.ReadTable<ClusterEntry>(*table, "cluster", kClusterFields, entry,
                                    kPeersKey);
    settings_.cluster.secret = std::move(entry.secret);
    settings_.cluster.seeds = std::move(entry.seeds);
    settings_.cluster.is_first_start = entry.is_first_start;
    settings_.cluster.tolerated_losses = entry.tolerated_losses;
    if (!settings_.HasSeeds()) {
      ReadPeers(*table);
    }
  }

  void ReadPeers(const toml::table& cluster) {
    const toml::node* node = cluster.get(kPeersKey);
    const bool is_list = node != nullptr && node->is_array_of_tables();
    if (!is_list) {
      reader_.Report(node ? node->source().begin : cluster.source().begin,
                     "missing peer: [[cluster.peers]] must list every process "
                     "of the cluster");
      return;
    }
    for (const toml::node& item : *node->as_array()) {
      PeerEntry entry;
      reader_.ReadTable<PeerEntry>(*item.as_table(), "cluster.peers",
                                   kPeerFields, entry);
      settings_.cluster.peers.push_back(
          {entry.name, entry.zone, {entry.address, entry.port}});
      peer_places_.push_back(item.source().begin);
    }
  }

  Reader& reader_;
  Settings settings_;
  std::vector<toml::source_position> peer_places_;
};

void SortByPlace(std::span<Problem> problems) {
  std::ranges::stable_sort(problems, {}, [](const Problem& problem) {
    return std::tuple(problem.line, problem.column);
  });
}

}  // namespace

std::string Problem::ToString() const {
  std::string text = file;
  if (line != 0) {
    text += ":" + std::to_string(line) + ":" + std::to_string(column);
  }
  return text + ": " + message;
}

std::string Endpoint::ToString() const {
  const bool is_v6 = address.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + address + "]" : address;
  return host + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::FromText(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const std::string_view port = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  const bool is_number = ec == std::errc() && end == port.data() + port.size();
  const bool is_whole = is_number && endpoint.port != 0 &&
                        IsIpNumber(endpoint.address) &&
                        endpoint.address.find(':') == std::string::npos;
  return is_whole ? std::optional(endpoint) : std::nullopt;
}

std::optional<Settings> Settings::Parse(std::string_view text,
                                        std::string_view file,
                                        std::vector<Problem>& problems) {
  const size_t first = problems.size();
  Reader reader(file, problems);
  try {
    const toml::table root = toml::parse(text);
    Settings settings = Loader(reader).Read(root);
    if (problems.size() == first) {
      return settings;
    }
  } catch (const toml::parse_error& error) {
    reader.Report(error.source().begin, std::string(error.description()));
  }
  SortByPlace(std::span(problems).subspan(first));
  return std::nullopt;
}

std::optional<Settings> Settings::Load(const std::string& path,
                                       std::vector<Problem>& problems) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  // A folder opens as a stream, but reading it fails.
  if (!in || !(text << in.rdbuf())) {
    const char* cause = errno != 0 ? std::strerror(errno) : "the file is empty";
    problems.push_back(
        {path, 0, 0, std::string("cannot read settings: ") + cause});
    return std::nullopt;
  }
  return Parse(text.str(), path, problems);
}

}  // namespace sassafras::settings
