// Listening for peers and handing their calls to the handler.

#include "peer/server.h"

#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include <openssl/crypto.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "link.h"
#include "net/listener.h"

namespace sassafras::peer {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kSilenceCheckPeriod = std::chrono::milliseconds(100);
constexpr auto kIdleCheckPeriod = std::chrono::milliseconds(1000);

bool IsSameSecret(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// One accepted connection; every member is used on its strand only.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(tcp::socket socket,
                   const ServerOptions& options,
                   const Handler& handler)
      : executor_(socket.get_executor()),
        options_(options),
        handler_(handler),
        timer_(executor_),
        socket_(std::move(socket)) {}

  void Start() {
    boost::asio::post(executor_, [self = shared_from_this()] { self->Open(); });
  }

  void Close() {
    boost::asio::post(executor_, [self = shared_from_this()] { self->End(); });
  }

 private:
  void Open() {
    Link::Callbacks callbacks;
    callbacks.on_message = [this](int32_t stream, Http2Message message) {
      OnCall(stream, std::move(message));
    };
    callbacks.on_stream_closed = [this](int32_t stream) { Forget(stream); };
    callbacks.on_closed = [self = shared_from_this()] { self->End(); };
    link_ = Link::Create(Http2Session::Side::kServer, std::move(socket_),
                         options_.max_body_bytes, std::move(callbacks));
    if (link_) {
      link_->Start();
      WatchSilence();
    }
  }

  void End() {
    timer_.cancel();
    if (link_) {
      link_->Close();
      link_.reset();
    }
    for (const auto& [stream, watch] : std::exchange(watches_, {})) {
      watch->MarkGone();
    }
  }

  void Forget(int32_t stream) {
    const auto node = watches_.extract(stream);
    if (!node.empty()) {
      node.mapped()->MarkGone();
    }
  }

  void WatchSilence() {
    const bool is_idle = watches_.empty();
    timer_.expires_after(is_idle ? kIdleCheckPeriod : kSilenceCheckPeriod);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec || !self->link_) {
        return;
      }
      const auto silence = SteadyClock::now() - self->link_->last_receive();
      const auto limit = self->watches_.empty()
                             ? self->options_.idle_silence_limit
                             : self->options_.silence_limit;
      if (silence > limit) {
        self->End();
        return;
      }
      self->WatchSilence();
    });
  }

  void OnCall(int32_t stream, Http2Message message) {
    if (!IsSameSecret(message.secret, options_.secret)) {
      Answer(stream, 403, "the cluster secret is wrong");
      return;
    }
    const std::string method =
        message.path.empty() ? "" : message.path.substr(1);
    const auto watch = std::make_shared<net::CallerWatch>();
    watches_.insert_or_assign(stream, watch);
    // Weak, so that a slow handler doesn't keep a dropped connection.
    auto send = [weak = weak_from_this(), stream, executor = executor_](
                    int status, std::string body) {
      boost::asio::post(executor,
                        [weak, stream, status, it = std::move(body)]() mutable {
                          if (const auto self = weak.lock()) {
                            self->Answer(stream, status, std::move(it));
                          }
                        });
    };
    handler_(method, std::move(message.body), {std::move(send), watch});
  }

  void Answer(int32_t stream, int status, std::string body) {
    if (link_) {
      link_->session().SubmitAnswer(stream, status, std::move(body));
      link_->Flush();
    }
  }

  boost::asio::any_io_executor executor_;
  const ServerOptions options_;
  const Handler handler_;
  boost::asio::steady_timer timer_;
  tcp::socket socket_;  // moved into `link_` by Open()
  std::shared_ptr<Link> link_;
  // Of the calls whose streams are open.
  std::unordered_map<int32_t, std::shared_ptr<net::CallerWatch>> watches_;
};

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(ServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  bool Listen(boost::asio::io_context& context, ServerReason& why) {
    net::ListenReason listen_why;
    listener_ = net::Listener::Create(
        context, {options_.address, options_.port}, listen_why);
    if (!listener_) {
      return why.Set(ServerError::kCannotListen, listen_why.message);
    }
    listener_->Start([weak = weak_from_this()](tcp::socket socket) {
      if (const auto self = weak.lock()) {
        self->Serve(std::move(socket));
      }
    });
    return true;
  }

  void Close() {
    listener_->Close();
    boost::asio::post(listener_->executor(), [self = shared_from_this()] {
      for (const auto& weak : self->connections_) {
        if (const auto connection = weak.lock()) {
          connection->Close();
        }
      }
      self->connections_.clear();
    });
  }

  uint16_t port() const { return listener_->port(); }

 private:
  void Serve(tcp::socket socket) {
    std::erase_if(connections_, [](auto& it) { return it.expired(); });
    const auto connection = std::make_shared<ServerConnection>(
        std::move(socket), options_, handler_);
    connections_.push_back(connection);
    connection->Start();
  }

  const ServerOptions options_;
  const Handler handler_;
  std::unique_ptr<net::Listener> listener_;  // set by Listen()
  // Used on the listener's executor.
  std::vector<std::weak_ptr<ServerConnection>> connections_;
};

Server::Server(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  Close();
}

std::unique_ptr<Server> Server::Create(boost::asio::io_context& context,
                                       ServerOptions options,
                                       Handler handler,
                                       ServerReason& why) {
  auto impl = std::make_shared<Impl>(std::move(options), std::move(handler));
  if (!impl->Listen(context, why)) {
    return nullptr;
  }
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

uint16_t Server::port() const {
  return impl_->port();
}

void Server::Close() {
  impl_->Close();
}

}  // namespace sassafras::peer
