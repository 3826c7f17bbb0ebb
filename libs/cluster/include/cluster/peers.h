// Calls between the processes of the cluster: outgoing calls to a process by
// its name, and incoming calls routed to a handler by method.

#ifndef CLUSTER_PEERS_H_
#define CLUSTER_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

#include "kernel/kernel.h"
#include "peer/channel.h"
#include "peer/server.h"
#include "settings/settings.h"
#include "wire/ids.h"

namespace sassafras::cluster {

// Holds one channel to each process of the cluster, this one included. A
// process that isn't in the settings can be called with its peer address
// ("IP:port") as its name. Thread-safe.
class Peers {
 public:
  // The callbacks of all calls run on `executor`.
  Peers(const settings::Settings& settings,
        const boost::asio::any_io_executor& executor);

  // See peer::Channel::Call(). If `peer` is neither a configured name nor an
  // address with a port, `done` gets kNotSent before the call returns.
  void Call(const wire::EntryId& peer,
            std::string_view method,
            std::string body,
            base::Duration timeout,
            peer::CallDone done,
            const std::shared_ptr<net::CallerWatch>& watch = nullptr);

  // Closes all channels; open calls fail.
  void Close();

  // Returns the processes that cluster::Client tries in its search for the
  // control leader.
  std::vector<wire::EntryId> names() const;
  // Replaces that list, for processes whose settings hold only seed addresses
  // and not all control processes.
  void SetNames(std::vector<wire::EntryId> names);

 private:
  // Returns the channel to `name`, opened on first use if `name` is an address;
  // nullptr if it is neither a known name nor an address with a port.
  peer::Channel* FindOrOpen(const wire::EntryId& name);
  void OpenChannel(const wire::EntryId& name,
                   const settings::Endpoint& endpoint);

  const boost::asio::any_io_executor executor_;
  const std::string secret_;
  mutable std::mutex mutex_;  // guards the members below
  std::vector<wire::EntryId> names_;
  std::map<wire::EntryId, std::unique_ptr<peer::Channel>> channels_;
};

// Accepts calls from the other processes and routes them to handlers.
class PeerService : public kernel::Service {
 public:
  // Connections are served on `context`, which must outlive the service.
  PeerService(const settings::Settings& settings,
              boost::asio::io_context& context);
  ~PeerService() override;

  // Registers the handler of `method`, which runs on `executor`. Must be called
  // before Start().
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
  boost::asio::io_context& context_;
  std::map<std::string, Route> routes_;  // by method; constant after Start()
  std::unique_ptr<peer::Server> server_;
};

}  // namespace sassafras::cluster

#endif  // CLUSTER_PEERS_H_
