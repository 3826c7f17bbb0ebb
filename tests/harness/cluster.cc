// Settings, forming and cutting of a cluster under test.

#include "cluster.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <openssl/sha.h>

#include "await.h"
#include "subnet.h"

namespace sassafras::tests {
namespace {

constexpr uint16_t kHttpPort = 8000;
constexpr uint16_t kPeerPort = 7000;
constexpr uint16_t kFirstRelayPort = 10000;
constexpr std::array kZones = {"zone-a", "zone-b", "zone-c"};

// SASSAFRASD in the environment names another program, such as one with a
// guard taken out.
std::string ProgramPath() {
  const char* path = std::getenv("SASSAFRASD");
  return path ? path : SASSAFRASD_PATH;
}

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::ostringstream out;
  for (const unsigned char byte : digest) {
    constexpr char kDigits[] = "0123456789abcdef";
    out << kDigits[byte >> 4] << kDigits[byte & 15];
  }
  return out.str();
}

std::string TokenToml(const std::string& token,
                      const std::string& role,
                      const std::string& owner) {
  std::string text = "[[tokens]]\nname = \"" + token + "\"\nsha256 = \"" +
                     Sha256Hex(token) + "\"\nrole = \"" + role + "\"\n";
  if (!owner.empty()) {
    text += "owner = \"" + owner + "\"\n";
  }
  return text;
}

std::string PlatformToml() {
  return "[owners.kazbegi]\nweight = 2\n[owners.rival]\nweight = 1\n"
         "[owners.third]\nweight = 1\n"
         "[sections.booking]\nowner = \"kazbegi\"\n" +
         TokenToml(kCallerToken, "caller", "kazbegi") +
         TokenToml(kRivalToken, "caller", "rival") +
         TokenToml(kThirdToken, "caller", "third") +
         TokenToml(kOperatorToken, "operator", "kazbegi") +
         TokenToml(kWorkerToken, "worker", "");
}

constexpr const char* kBookingToml = "[services.booking]\ntimeout_ms = 20000\n";

}  // namespace

Cluster::Cluster(boost::asio::io_context& context,
                 const ClusterOptions& options)
    : subnet_(NextSubnet()),
      has_relays_(options.has_relays),
      balancer_ms_(options.balancer_ms) {
  folder_ = std::filesystem::temp_directory_path() /
            ("sassafras-test-" + std::to_string(getpid()) + "-" + subnet_);
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (int n = 0; n < options.replicas + options.entries; ++n) {
    const bool is_replica = n < options.replicas;
    Node node;
    node.name = is_replica ? "r" + std::to_string(n + 1)
                           : "e" + std::to_string(n - options.replicas + 1);
    node.zone = kZones[static_cast<size_t>(n) % kZones.size()];
    node.address = subnet_ + std::to_string(n + 1);
    node.is_replica = is_replica;
    nodes_.emplace(node.name, std::move(node));
  }
  uint16_t port = kFirstRelayPort;
  for (const auto& [from, from_node] : nodes_) {
    for (const auto& [to, to_node] : nodes_) {
      if (has_relays_ && from != to) {
        relays_.emplace(std::pair(from, to),
                        std::make_unique<Relay>(
                            context, CallTarget{subnet_ + "250", port++},
                            CallTarget{to_node.address, kPeerPort}));
      }
    }
  }
  for (const auto& [name, node] : nodes_) {
    WriteSettings(node);
  }
}

Cluster::~Cluster() {
  nodes_.clear();
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

CallTarget Cluster::PeerTarget(const std::string& from, const Node& to) const {
  if (!has_relays_ || from == to.name) {
    return {to.address, kPeerPort};
  }
  // Ports follow the order in which the relays were made.
  uint16_t port = kFirstRelayPort;
  for (const auto& [pair, relay] : relays_) {
    if (pair == std::pair(from, to.name)) {
      break;
    }
    ++port;
  }
  return {subnet_ + "250", port};
}

void Cluster::WriteSettings(const Node& node) const {
  std::ofstream out(folder_ / (node.name + ".toml"));
  out << "[process]\nname = \"" << node.name << "\"\nzone = \"" << node.zone
      << "\"\n";
  if (node.is_replica) {
    out << "data_folder = \"" << DataFolder(node.name).string() << "\"\n";
  }
  out << "[http]\naddress = \"" << node.address << "\"\nport = " << kHttpPort
      << "\n[peer]\naddress = \"" << node.address << "\"\nport = " << kPeerPort
      << "\n[grace]\nbalancer_ms = " << balancer_ms_
      << "\n[cluster]\nsecret = \"" << kSecret << "\"\n";
  for (const auto& [name, peer] : nodes_) {
    const CallTarget target = PeerTarget(node.name, peer);
    out << "[[cluster.peers]]\nname = \"" << name << "\"\naddress = \""
        << target.address << "\"\nport = " << target.port << "\nzone = \""
        << peer.zone << "\"\n";
  }
}

void Cluster::Start(const std::string& name) {
  nodes_.at(name).process =
      Process({ProgramPath(), "--config", folder_ / (name + ".toml")},
              folder_ / (name + ".log"));
}

std::vector<std::string> Cluster::Crashed() const {
  auto crashed = names();
  std::erase_if(crashed,
                [this](auto& it) { return !nodes_.at(it).process.HasEnded(); });
  return crashed;
}

CallTarget Cluster::http(const std::string& name) const {
  return {nodes_.at(name).address, kHttpPort};
}

std::vector<std::string> Cluster::names() const {
  std::vector<std::string> result;
  for (const auto& [name, node] : nodes_) {
    result.push_back(name);
  }
  return result;
}

std::vector<CallTarget> Cluster::HttpTargets() const {
  std::vector<CallTarget> result;
  for (const auto& [name, node] : nodes_) {
    result.push_back(http(name));
  }
  return result;
}

bool Cluster::Form() {
  for (const auto& name : names()) {
    Start(name);
  }
  const auto answers = [&](const std::string& name) {
    return Call(http(name), {.method = "GET", .target = "/healthz"}).status ==
           200;
  };
  const bool is_formed =
      Await([&] { return std::ranges::all_of(names(), answers); }) &&
      Await([&] {
        return AsPlatform("r1", "POST", "/v1/cluster/init", "{}").status == 200;
      }) &&
      AddReplicas() && PutStandardDocument();
  return is_formed && Await([&] {
           return std::ranges::all_of(names(),
                                      [&](auto& it) { return IsReady(it); });
         });
}

bool Cluster::AddReplicas() const {
  size_t voters = 1;
  for (const auto& [name, node] : nodes_) {
    if (!node.is_replica || name == "r1") {
      continue;
    }
    const std::string body = nlohmann::json{{"name", name}}.dump();
    const bool is_added = Await([&] {
      return AsPlatform("r1", "POST", "/v1/cluster/replicas", body).status ==
             200;
    });
    if (!is_added || !AwaitVoters(++voters)) {
      return false;
    }
  }
  return true;
}

nlohmann::json Cluster::Replicas() const {
  const auto report = AsPlatformAnywhere("GET", "/v1/report/cluster").json();
  return report.is_object() ? report.value("replicas", nlohmann::json())
                            : nlohmann::json();
}

bool Cluster::AwaitVoters(size_t count) const {
  return Await([&] {
    const auto replicas = Replicas();
    const auto is_voter = [](auto& it) { return it["role"] == "voter"; };
    return replicas.is_array() && static_cast<size_t>(std::ranges::count_if(
                                      replicas, is_voter)) == count;
  });
}

std::optional<bool> Cluster::IsMember(const std::string& name) const {
  const auto replicas = Replicas();
  if (!replicas.is_array()) {
    return std::nullopt;
  }
  return std::ranges::any_of(replicas,
                             [&](auto& it) { return it["name"] == name; });
}

bool Cluster::PutStandardDocument() const {
  return AsPlatformAnywhere("PUT",
                            "/v1/document/sections/platform?base=0&change=p1",
                            PlatformToml())
                 .status == 200 &&
         Await([&] {
           // The operator's token works once the platform section is in force.
           const http::Request put = {
               .method = "PUT",
               .target = "/v1/document/sections/booking?base=0&change=b1",
               .headers = {{"Authorization",
                            std::string("Bearer ") + kOperatorToken}},
               .body = kBookingToml};
           return Call(http("r1"), put).status == 200;
         }) &&
         Await([&] {
           const auto change =
               AsPlatformAnywhere("GET", "/v1/changes/b1").json();
           return change.is_object() && change.value("in_force", false);
         });
}

bool Cluster::IsReady(const std::string& name) const {
  return Call(http(name), {.method = "GET", .target = "/readyz"},
              std::chrono::seconds(2))
             .status == 200;
}

std::string Cluster::Leader() const {
  const auto report = AsPlatformAnywhere("GET", "/v1/report/cluster").json();
  return report.is_object() ? report.value("leader", "") : "";
}

std::string Cluster::Follower() const {
  const std::string leader = Leader();
  const auto it = std::ranges::find_if(nodes_, [&](const auto& node) {
    return node.second.is_replica && node.first != leader;
  });
  return it->first;
}

std::string Cluster::AwaitNewLeader(const std::string& old) const {
  std::string leader;
  Await([&] {
    leader = Leader();
    return !leader.empty() && leader != old;
  });
  return leader == old ? "" : leader;
}

void Cluster::Cut(const std::string& from, const std::string& to) {
  relays_.at({from, to})->Silence(true, false);
  relays_.at({to, from})->Silence(false, true);
}

void Cluster::HealAll() {
  for (auto& [pair, relay] : relays_) {
    relay->Heal();
  }
}

void Cluster::Isolate(const std::string& name) {
  for (auto& [pair, relay] : relays_) {
    if (pair.first == name || pair.second == name) {
      relay->Silence(true, true);
    }
  }
}

void Cluster::SilenceOpenConnections() {
  for (auto& [pair, relay] : relays_) {
    relay->SilenceOpenConnections();
  }
}

void Cluster::RemoveData(const std::string& name) const {
  std::filesystem::remove_all(DataFolder(name));
}

std::filesystem::path Cluster::DataFolder(const std::string& name) const {
  return folder_ / (name + "-data");
}

std::string Cluster::Log(const std::string& name) const {
  std::ifstream in(folder_ / (name + ".log"));
  return {std::istreambuf_iterator<char>(in), {}};
}

CallReply Cluster::AsPlatform(const std::string& name,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body) const {
  return Call(http(name),
              {.method = method,
               .target = target,
               .headers = {{"Authorization", std::string("Bearer ") + kSecret}},
               .body = body},
              std::chrono::seconds(5));
}

CallReply Cluster::AsPlatformAnywhere(const std::string& method,
                                      const std::string& target,
                                      const std::string& body) const {
  CallReply reply;
  for (const auto& name : names()) {
    reply = AsPlatform(name, method, target, body);
    constexpr int kServerErrors = 500;
    if (reply.status != 0 && reply.status < kServerErrors) {
      return reply;
    }
  }
  return reply;
}

}  // namespace sassafras::tests
