// One nghttp2 session without sockets: bytes in, bytes and messages out.

#ifndef PEER_SRC_HTTP2_SESSION_H_
#define PEER_SRC_HTTP2_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nghttp2/nghttp2.h>

namespace sassafras::peer {

// A whole request or answer. `path` and `secret` are set on requests,
// `status` on answers.
struct Http2Message {
  std::string path;
  std::string secret;
  int status = 0;
  std::string body;
};

class Http2Delegate {
 public:
  virtual ~Http2Delegate() = default;
  virtual void OnMessage(int32_t stream, Http2Message message) = 0;
  // After OnMessage, or instead of it where the stream was reset.
  virtual void OnStreamClosed(int32_t stream) = 0;
};

// Not thread-safe. The delegate outlives the session.
class Http2Session {
 public:
  enum class Side { kClient, kServer };

  static std::unique_ptr<Http2Session> Create(Side side,
                                              Http2Delegate& delegate,
                                              size_t max_body_bytes);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // False where the peer broke the protocol: drop the connection.
  bool Receive(std::string_view bytes);

  // What is ready to be written; empty when there is nothing.
  std::string TakeOutput();

  // The stream's id, or a negative number where no more can be opened.
  int32_t SubmitRequest(std::string_view path,
                        std::string_view secret,
                        std::string body);
  void SubmitAnswer(int32_t stream, int status, std::string body);
  void SubmitPing();
  void ResetStream(int32_t stream);

 private:
  struct Stream {
    Http2Message incoming;
    std::string outgoing;
    size_t sent = 0;
  };

  Http2Session(Http2Delegate& delegate, size_t max_body_bytes);
  bool Open(Side side);

  static int OnHeader(nghttp2_session* session,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t flags,
                      void* self);
  static int OnData(nghttp2_session* session,
                    uint8_t flags,
                    int32_t stream,
                    const uint8_t* bytes,
                    size_t size,
                    void* self);
  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* self);
  static int OnClose(nghttp2_session* session,
                     int32_t stream,
                     uint32_t error,
                     void* self);
  static ssize_t ReadOutgoing(nghttp2_session* session,
                              int32_t stream,
                              uint8_t* buf,
                              size_t room,
                              uint32_t* flags,
                              nghttp2_data_source* source,
                              void* self);

  Http2Delegate& delegate_;
  const size_t max_body_bytes_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<int32_t, Stream> streams_;
};

}  // namespace sassafras::peer

#endif  // PEER_SRC_HTTP2_SESSION_H_
