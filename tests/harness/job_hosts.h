// Control hosts of the job queues under test: starting, replacing and wiping
// them, and what their logs say of their roles.

#ifndef TESTS_HARNESS_JOB_HOSTS_H_
#define TESTS_HARNESS_JOB_HOSTS_H_

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "process.h"

namespace sassafras::tests {

// Processes of sassafras-jobd on loopback addresses. Not thread-safe; ends its
// processes and removes its folder on destruction.
class JobHosts {
 public:
  // Starts the first `n` hosts (three at least), which form a new cluster.
  explicit JobHosts(int n);
  ~JobHosts();
  JobHosts(const JobHosts&) = delete;
  JobHosts& operator=(const JobHosts&) = delete;

  // Starts another host with an empty data folder at an address of its own, and
  // returns its name.
  std::string Add();
  // Ends the host for good, without notice; its disk is gone too.
  void Remove(const std::string& name);
  // The same, but by SIGTERM; waits for the end.
  void Retire(const std::string& name);
  // The host loses power and starts again with an empty data folder.
  void LoseDisk(const std::string& name);

  // Returns the running host that leads, or an empty name.
  std::string Leader() const;
  // Returns the running hosts that vote, but for the leader.
  std::vector<std::string> Followers() const;
  // Returns the running hosts that have joined and don't vote.
  std::vector<std::string> Learners() const;

 private:
  struct Host {
    std::string address;
    bool is_first_start = false;
    int boots = 0;  // each has a log of its own
    Process process;
  };
  struct RoleLine {
    int role = 0;
    int term = 0;
  };

  std::string AddHost(bool is_first_start);
  void Start(const std::string& name);
  void WriteSettings(const std::string& name) const;
  std::filesystem::path LogFile(const std::string& name) const;
  std::filesystem::path DataFolder(const std::string& name) const;
  std::vector<std::string> RunningHostsWithRole(int role) const;
  // Returns what the host wrote last about its role.
  RoleLine LastRole(const std::string& name) const;

  std::string subnet_;
  std::filesystem::path folder_;
  std::string seeds_;  // the addresses of the first hosts
  std::map<std::string, Host> hosts_;
};

}  // namespace sassafras::tests

#endif  // TESTS_HARNESS_JOB_HOSTS_H_
