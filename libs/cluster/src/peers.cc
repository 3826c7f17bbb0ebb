// Opens channels to other processes and routes their calls by method.

#include "cluster/peers.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace sassafras::cluster {

using settings::Endpoint;

Peers::Peers(const settings::Settings& settings,
             const boost::asio::any_io_executor& executor)
    : executor_(executor), secret_(settings.cluster.secret) {
  for (const auto& it : settings.cluster.peers) {
    names_.push_back(it.name);
    OpenChannel(it.name, it.endpoint);
  }
  for (const auto& seed : settings.cluster.seeds) {
    const Endpoint endpoint{seed.address, settings.peer.port};
    names_.emplace_back(endpoint.ToString());
  }
}

void Peers::OpenChannel(const wire::EntryId& name, const Endpoint& endpoint) {
  peer::ChannelOptions options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  options.secret = secret_;
  channels_.emplace(name, peer::Channel::Create(executor_, std::move(options)));
}

// Channels are never removed from the map, so the returned pointer stays valid.
peer::Channel* Peers::FindOrOpen(const wire::EntryId& name) {
  const std::lock_guard lock(mutex_);
  if (!channels_.contains(name)) {
    const auto endpoint = Endpoint::FromText(name.str());
    if (!endpoint) {
      return nullptr;
    }
    OpenChannel(name, *endpoint);
  }
  return channels_.at(name).get();
}

void Peers::Call(const wire::EntryId& peer,
                 std::string_view method,
                 std::string body,
                 base::Duration timeout,
                 peer::CallDone done,
                 const std::shared_ptr<net::CallerWatch>& watch) {
  peer::Channel* channel = FindOrOpen(peer);
  if (channel == nullptr) {
    done(std::nullopt,
         {peer::CallError::kNotSent,
          "\"" + peer.str() +
              "\" is neither a known peer name nor an address with a port"});
    return;
  }
  channel->Call(method, std::move(body), timeout, std::move(done), watch);
}

std::vector<wire::EntryId> Peers::names() const {
  const std::lock_guard lock(mutex_);
  return names_;
}

void Peers::SetNames(std::vector<wire::EntryId> names) {
  const std::lock_guard lock(mutex_);
  names_ = std::move(names);
}

void Peers::Close() {
  const std::lock_guard lock(mutex_);
  for (auto& [name, channel] : channels_) {
    channel->Close();
  }
}

PeerService::PeerService(const settings::Settings& settings,
                         boost::asio::io_context& context)
    : settings_(settings), context_(context) {}

PeerService::~PeerService() = default;

void PeerService::Register(
    std::string method,
    const boost::asio::any_io_executor& executor,
    std::function<void(std::string, peer::Respond)> handler) {
  routes_[std::move(method)] = {executor, std::move(handler)};
}

bool PeerService::Start(kernel::KernelReason& why) {
  peer::ServerOptions options;
  options.address = settings_.peer.address;
  options.port = settings_.peer.port;
  options.secret = settings_.cluster.secret;
  peer::ServerReason reason;
  server_ = peer::Server::Create(
      context_, std::move(options),
      [this](const std::string& method, std::string body,
             const peer::Respond& respond) {
        const auto it = routes_.find(method);
        if (it == routes_.end()) {
          respond(404, "unknown peer method \"" + method + "\"");
          return;
        }
        boost::asio::post(
            it->second.executor,
            [&handler = it->second.handler, text = std::move(body),
             respond]() mutable { handler(std::move(text), respond); });
      },
      reason);
  return server_ ||
         why.Set(kernel::KernelError::kServiceFailed, reason.message);
}

void PeerService::Stop() {
  if (server_) {
    server_->Close();
  }
}

}  // namespace sassafras::cluster
