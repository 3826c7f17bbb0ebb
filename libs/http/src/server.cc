// Accepting connections of the HTTP server.

#include "http/server.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/listener.h"
#include "server_session.h"

namespace sassafras::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Interval at which idle connections are looked for, small beside all timeouts.
constexpr auto kIdleCheckInterval = std::chrono::milliseconds(250);

ServerOptions Complete(ServerOptions options) {
  if (!options.memory) {
    options.memory =
        RequestMemory::Create(RequestMemory::kDefaultBytes, options.limits);
  }
  return options;
}

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(boost::asio::io_context& context, ServerOptions options, Handler handler)
      : context_(context),
        shared_(std::make_shared<ServerShared>(Complete(std::move(options)),
                                               std::move(handler))) {}

  bool Listen(ServerReason& why) {
    net::ListenReason listen_why;
    listener_ = net::Listener::Create(
        context_, {shared_->options.address, shared_->options.port},
        listen_why);
    if (!listener_) {
      return why.Set(ServerError::kCannotListen, listen_why.message);
    }
    listener_->Start([weak = weak_from_this()](tcp::socket socket) {
      if (const auto self = weak.lock()) {
        self->Serve(std::move(socket));
      }
    });
    idle_timer_ =
        std::make_unique<boost::asio::steady_timer>(listener_->executor());
    boost::asio::post(listener_->executor(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->CloseIdleConnections();
      }
    });
    return true;
  }

  void StopListening() { listener_->Close(); }

  void Close() {
    StopListening();
    boost::asio::post(listener_->executor(), [self = shared_from_this()] {
      self->is_closed_ = true;
      self->idle_timer_->cancel();
      self->shared_->connections.CloseAll();
    });
  }

  uint16_t port() const { return listener_->port(); }
  ServerShared& shared() { return *shared_; }

 private:
  void Serve(tcp::socket accepted) {
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    // Without room the connection is closed; the balancer tries another.
    const ConnectionTable::Id id = shared_->connections.Add(socket);
    if (id == 0) {
      return;
    }
    error_code ec;
    socket->set_option(tcp::no_delay(true), ec);
    boost::asio::co_spawn(socket->get_executor(),
                          ServeConnection(shared_, socket, id),
                          boost::asio::detached);
  }

  // The limit is read anew each time, so that a lower one also applies to
  // connections that are idle already.
  void CloseIdleConnections() {
    if (is_closed_) {
      return;
    }
    shared_->connections.CloseIdle(shared_->Limits().idle_timeout);
    idle_timer_->expires_after(kIdleCheckInterval);
    idle_timer_->async_wait([weak = weak_from_this()](error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->CloseIdleConnections();
      }
    });
  }

  boost::asio::io_context& context_;
  std::shared_ptr<ServerShared> shared_;
  std::unique_ptr<net::Listener> listener_;  // set by Listen()
  // Used on the listener's executor, once started.
  std::unique_ptr<boost::asio::steady_timer> idle_timer_;
  bool is_closed_ = false;
};

Server::Server(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  Close();
}

std::unique_ptr<Server> Server::Create(boost::asio::io_context& context,
                                       ServerOptions options,
                                       Handler handler,
                                       ServerReason& why) {
  auto impl =
      std::make_shared<Impl>(context, std::move(options), std::move(handler));
  if (!impl->Listen(why)) {
    return nullptr;
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

uint16_t Server::port() const {
  return impl_->port();
}

size_t Server::in_flight() const {
  return impl_->shared().in_flight;
}

size_t Server::connections() const {
  return impl_->shared().connections.size();
}

void Server::CloseAfterAnswers() {
  impl_->shared().closes_after_answers = true;
}

void Server::StopListening() {
  impl_->StopListening();
}

void Server::Close() {
  impl_->Close();
}

}  // namespace sassafras::http
