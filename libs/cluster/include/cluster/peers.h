// The other processes of the cluster: calls to them by name, and the calls
// that they make here, handed out by method.

#ifndef CLUSTER_PEERS_H_
#define CLUSTER_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "kernel/kernel.h"
#include "peer/channel.h"
#include "peer/server.h"
#include "settings/settings.h"
#include "wire/ids.h"

namespace sassafras::cluster {

// One channel to each process of the cluster, this one included. A process
// that isn't in the settings may be called by its peer address as its name.
// Thread-safe.
class Peers {
 public:
  // Callbacks of calls run on `executor`.
  Peers(const settings::Settings& settings,
        const boost::asio::any_io_executor& executor);

  // As peer::Channel::Call; an unknown name fails with kNotSent.
  void Call(const wire::EntryId& peer,
            std::string_view method,
            std::string body,
            base::Duration limit,
            peer::CallDone done,
            const std::shared_ptr<net::CallerWatch>& watch = nullptr);

  void Close();

  // Those among which the leader is searched.
  std::vector<wire::EntryId> names() const;
  // Replaces them; with seeds only, where the settings don't name all.
  void SetNames(std::vector<wire::EntryId> names);

 private:
  peer::Channel* Find(const wire::EntryId& name);
  void Open(const wire::EntryId& name, const settings::Endpoint& endpoint);

  const boost::asio::any_io_executor executor_;
  const std::string secret_;
  mutable std::mutex mutex_;  // of what follows
  std::vector<wire::EntryId> names_;
  std::map<wire::EntryId, std::unique_ptr<peer::Channel>> channels_;
};

// Listens for the other processes.
class PeerService : public kernel::Service {
 public:
  PeerService(const settings::Settings& settings, kernel::Kernel& kernel);
  ~PeerService() override;

  // Before Start() only. The handler runs on `executor`.
  void Register(std::string method,
                const boost::asio::any_io_executor& executor,
                std::function<void(std::string, peer::Respond)> handler);

  std::string_view name() const override { return "peer"; }
  bool Start(kernel::KernelReason& why) override;
  void Stop() override;

 private:
  struct Route {
    boost::asio::any_io_executor executor;
    std::function<void(std::string, peer::Respond)> handler;
  };

  const settings::Settings& settings_;
  kernel::Kernel& kernel_;
  std::map<std::string, Route> routes_;  // fixed once started
  std::unique_ptr<peer::Server> server_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_PEERS_H_
