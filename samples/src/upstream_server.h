// The HTTP side of a fake upstream: echoes requests, misbehaves on demand, and
// counts what was sent to it at once.

#ifndef SAMPLES_SRC_UPSTREAM_SERVER_H_
#define SAMPLES_SRC_UPSTREAM_SERVER_H_

#include <cstdint>
#include <list>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/random.h"
#include "base/time.h"
#include "ledger.h"

namespace sassafras::samples {

// How a request is treated. Drawn by the server's shares, or asked for by the
// request's header `Sample-Behaviour`.
enum class Behaviour {
  kEcho,
  kFail,   // runs, then answers 500
  kBreak,  // runs, then sends half the answer and closes
  kSilent  // runs, and never answers
};

struct UpstreamServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;  // 0: any
  uint32_t slots = 8;
  uint32_t connections = 64;
  base::Duration
      delay{};  // of every answer; header `Sample-Delay-Ms` goes first
  uint32_t fail_percent = 0;
  uint32_t break_percent = 0;
  uint32_t silent_percent = 0;
  uint64_t seed = 1;
};

struct UpstreamCounts {
  uint64_t requests = 0;
  uint32_t in_flight = 0;
  uint32_t max_in_flight = 0;
  uint32_t open = 0;
  uint32_t max_open = 0;
  uint64_t slot_excess = 0;  // requests that came when all slots were busy
  uint64_t connection_excess = 0;  // connections beyond the limit
  int64_t last_request_us = 0;     // monotonic

  std::string ToString() const;
};

// Answers 200 with the header `Sample-Tag` of the request, a line feed and the
// request's body. The ledger gets a line `ran key=... tag=...` for each request
// before it is answered. Runs on the context's single thread.
class UpstreamServer {
 public:
  UpstreamServer(boost::asio::io_context& context,
                 UpstreamServerOptions options,
                 Ledger& ledger);

  // False, and `why`, where the address can't be listened on.
  bool Listen(SampleReason& why);
  // Accepts until Close().
  boost::asio::awaitable<void> Accept();
  // Ends everything at once.
  void Close();

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  const UpstreamCounts& counts() const { return counts_; }

 private:
  struct Exchange;

  boost::asio::awaitable<void> Serve(
      std::list<boost::asio::ip::tcp::socket>::iterator socket);
  boost::asio::awaitable<bool> ServeOne(boost::asio::ip::tcp::socket& socket,
                                        Exchange& exchange);
  boost::asio::awaitable<bool> Answer(boost::asio::ip::tcp::socket& socket,
                                      Exchange& exchange);
  void Begin(const Exchange& exchange);
  Behaviour Choose(const Exchange& exchange);

  boost::asio::io_context& context_;
  UpstreamServerOptions options_;
  Ledger& ledger_;
  base::Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::list<boost::asio::ip::tcp::socket> sockets_;  // the open ones
  UpstreamCounts counts_;
};

}  // namespace sassafras::samples

#endif  // SAMPLES_SRC_UPSTREAM_SERVER_H_
