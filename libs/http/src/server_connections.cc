// Closing sockets as the table decides.

#include "server_connections.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace sassafras::http {
namespace {

base::Instant MonotonicNow() {
  return base::Instant(std::chrono::duration_cast<base::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void CloseSocket(const ServerConnections::Socket& socket) {
  boost::asio::post(socket->get_executor(), [socket] {
    boost::system::error_code ec;
    socket->close(ec);
  });
}

}  // namespace

ConnectionTable::Id ServerConnections::Add(const Socket& socket) {
  const std::lock_guard lock(mutex_);
  const auto admission = table_.Admit(MonotonicNow());
  if (admission.replaced != 0) {
    Close(admission.replaced, "replaced");
  }
  if (admission.id != 0) {
    sockets_.emplace(admission.id, socket);
  } else if (on_closed_) {
    on_closed_("no-room");
  }
  return admission.id;
}

bool ServerConnections::Enter(ConnectionTable::Id id, ConnectionPhase phase) {
  const std::lock_guard lock(mutex_);
  return table_.Enter(id, phase, MonotonicNow());
}

void ServerConnections::Remove(ConnectionTable::Id id) {
  const std::lock_guard lock(mutex_);
  table_.Remove(id);
  sockets_.erase(id);
}

void ServerConnections::CloseIdle(base::Duration limit) {
  const std::lock_guard lock(mutex_);
  for (const auto id : table_.RemoveIdleSince(MonotonicNow() - limit)) {
    Close(id, "idle");
  }
}

void ServerConnections::Evict(ConnectionTable::Id id) {
  const std::lock_guard lock(mutex_);
  table_.Remove(id);
  Close(id, "memory");
}

void ServerConnections::CloseAll() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, socket] : sockets_) {
    CloseSocket(socket);
  }
}

size_t ServerConnections::size() const {
  const std::lock_guard lock(mutex_);
  return sockets_.size();
}

void ServerConnections::Close(ConnectionTable::Id id, std::string_view reason) {
  const auto it = sockets_.find(id);
  if (it == sockets_.end()) {
    return;
  }
  CloseSocket(it->second);
  sockets_.erase(it);
  if (on_closed_) {
    on_closed_(reason);
  }
}

}  // namespace sassafras::http
