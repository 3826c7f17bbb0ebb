// The accepting loop, with a pause after an error.

#include "net/listener.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace sassafras::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

// Every member but `port_` is used on the acceptor's strand, once started.
class Listener::Impl : public std::enable_shared_from_this<Listener::Impl> {
 public:
  explicit Impl(boost::asio::io_context& context)
      : context_(context),
        acceptor_(boost::asio::make_strand(context)),
        pause_(acceptor_.get_executor()) {}

  bool Bind(const ListenOptions& options, ListenReason& why) {
    error_code ec;
    const auto address = boost::asio::ip::make_address(options.address, ec);
    const tcp::endpoint endpoint(address, options.port);
    const auto step = [&ec](auto action) {
      if (!ec) {
        action();
      }
    };
    step([&] { acceptor_.open(endpoint.protocol(), ec); });
    step([&] { acceptor_.set_option(tcp::acceptor::reuse_address(true), ec); });
    step([&] { acceptor_.bind(endpoint, ec); });
    step([&] { acceptor_.listen(tcp::acceptor::max_listen_connections, ec); });
    if (ec) {
      return why.Set(ListenError::kCannotListen,
                     "cannot listen on " + options.address + ":" +
                         std::to_string(options.port) + ": " + ec.message());
    }
    port_ = acceptor_.local_endpoint().port();
    return true;
  }

  void Start(OnSocket on_socket) {
    boost::asio::post(executor(), [self = shared_from_this(),
                                   on_socket = std::move(on_socket)]() {
      self->on_socket_ = on_socket;
      self->Accept();
    });
  }

  void Close() {
    boost::asio::post(executor(), [self = shared_from_this()] {
      error_code ec;
      self->acceptor_.close(ec);
      self->pause_.cancel();
    });
  }

  uint16_t port() const { return port_; }
  boost::asio::any_io_executor executor() { return acceptor_.get_executor(); }

 private:
  void Accept() {
    acceptor_.async_accept(
        boost::asio::make_strand(context_),
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          self->OnAccepted(ec, std::move(socket));
        });
  }

  void OnAccepted(error_code ec, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (ec) {
      AcceptLater();
      return;
    }
    on_socket_(std::move(socket));
    Accept();
  }

  // For example when file descriptors have run out.
  void AcceptLater() {
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->acceptor_.is_open()) {
        self->Accept();
      }
    });
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  OnSocket on_socket_;
  uint16_t port_ = 0;
};

Listener::Listener(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Listener::~Listener() {
  Close();
}

std::unique_ptr<Listener> Listener::Create(boost::asio::io_context& context,
                                           const ListenOptions& options,
                                           ListenReason& why) {
  auto impl = std::make_shared<Impl>(context);
  if (!impl->Bind(options, why)) {
    return nullptr;
  }
  return std::unique_ptr<Listener>(new Listener(std::move(impl)));
}

void Listener::Start(OnSocket on_socket) {
  impl_->Start(std::move(on_socket));
}

void Listener::Close() {
  impl_->Close();
}

uint16_t Listener::port() const {
  return impl_->port();
}

boost::asio::any_io_executor Listener::executor() const {
  return impl_->executor();
}

}  // namespace sassafras::net
