// A client of the cluster: knows several entries, goes on to the next one when
// one doesn't answer, and says truthfully what is known of the outcome.

#ifndef CLIENT_ENTRY_CLIENT_H_
#define CLIENT_ENTRY_CLIENT_H_

#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "client/call.h"
#include "client/connection.h"
#include "http/message.h"

namespace sassafras::client {

// Uses one connection at a time; not thread-safe. Make one per coroutine.
class EntryClient {
 public:
  // `entries` must not be empty. The first call goes to entry `first` modulo
  // their number; later ones stay with the entry that answered last.
  EntryClient(const boost::asio::any_io_executor& executor,
              const std::vector<Endpoint>& entries,
              size_t first = 0);

  // Adds `Authorization: Bearer` to every request from now on.
  void SetToken(std::string token) { token_ = std::move(token); }

  boost::asio::awaitable<CallResult> Call(http::Request request,
                                          CallOptions options);

  const Endpoint& current() const { return connections_[current_].endpoint(); }

 private:
  void Rotate();

  boost::asio::any_io_executor executor_;
  std::vector<Connection> connections_;  // never empty
  size_t current_ = 0;                   // invariant: < connections_.size()
  std::string token_;
};

}  // namespace sassafras::client

#endif  // CLIENT_ENTRY_CLIENT_H_
