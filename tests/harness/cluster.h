// A cluster of sassafrasd processes on loopback addresses of its own.

#ifndef TESTS_HARNESS_CLUSTER_H_
#define TESTS_HARNESS_CLUSTER_H_

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http_call.h"
#include "process.h"
#include "relay.h"

namespace sassafras::tests {

inline constexpr const char* kSecret = "test-cluster-secret-0123456789";
inline constexpr const char* kCallerToken = "token-caller-kazbegi";
inline constexpr const char* kRivalToken = "token-caller-rival";
inline constexpr const char* kThirdToken = "token-caller-third";
inline constexpr const char* kOperatorToken = "token-operator-kazbegi";
inline constexpr const char* kWorkerToken = "token-worker";

struct ClusterOptions {
  int replicas = 3;  // named r1, r2, ... in zones zone-a, zone-b, zone-c
  int entries = 2;   // plain, named e1, e2, ...
  // Connections between processes go through relays.
  bool has_relays = false;
  int balancer_ms = 300;  // grace time of a planned stop
};

class Cluster {
 public:
  // `context` must be running where relays are used.
  Cluster(boost::asio::io_context& context, const ClusterOptions& options);
  ~Cluster();

  // Starts every process, forms the cluster, waits until all replicas vote
  // and every entry is ready, and puts the standard document. False where
  // some step failed.
  bool Form();

  void Start(const std::string& name);
  Process& process(const std::string& name) { return nodes_.at(name).process; }
  // The processes that ended though no test ended them.
  std::vector<std::string> Crashed() const;
  CallTarget http(const std::string& name) const;
  std::vector<std::string> names() const;
  std::vector<CallTarget> HttpTargets() const;

  bool IsReady(const std::string& name) const;
  // Asks any process; empty where nobody leads.
  std::string Leader() const;
  // A replica other than the leader.
  std::string Follower() const;
  // Waits until some process other than `old` leads; empty where none does.
  std::string AwaitNewLeader(const std::string& old) const;
  bool AwaitVoters(size_t count) const;
  // Returns whether the control replicas list `name`, or std::nullopt if none
  // of them answers.
  std::optional<bool> IsMember(const std::string& name) const;

  // What `from` sends to `to` is swallowed silently from now on, on
  // connections that either of them made. Replaces a cut of the other
  // direction.
  void Cut(const std::string& from, const std::string& to);
  void HealAll();
  // `name` and the rest don't hear each other any more.
  void Isolate(const std::string& name);
  void SilenceOpenConnections();

  void RemoveData(const std::string& name) const;
  std::filesystem::path DataFolder(const std::string& name) const;
  std::string Log(const std::string& name) const;

  // Calls with the cluster secret.
  CallReply AsPlatform(const std::string& name,
                       const std::string& method,
                       const std::string& target,
                       const std::string& body = "") const;
  // The same at each process in turn until one answers with 2xx or 4xx.
  CallReply AsPlatformAnywhere(const std::string& method,
                               const std::string& target,
                               const std::string& body = "") const;
  bool PutStandardDocument() const;

 private:
  struct Node {
    std::string name;
    std::string zone;
    std::string address;
    bool is_replica = false;
    Process process;
  };

  void WriteSettings(const Node& node) const;
  CallTarget PeerTarget(const std::string& from, const Node& to) const;
  bool AddReplicas() const;
  // Returns the members as the control replicas list them, or JSON null if none
  // of them answers.
  nlohmann::json Replicas() const;

  std::string subnet_;  // "127.X.Y."
  std::filesystem::path folder_;
  bool has_relays_;
  int balancer_ms_;
  std::map<std::string, Node> nodes_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Relay>> relays_;
};

}  // namespace sassafras::tests

#endif  // TESTS_HARNESS_CLUSTER_H_
