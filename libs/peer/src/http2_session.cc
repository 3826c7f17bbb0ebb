// Glue between nghttp2's callbacks and whole messages.

#include "http2_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>
#include <vector>

namespace sassafras::peer {
namespace {

constexpr uint32_t kWindowBytes = 64 << 20;
constexpr uint32_t kMaxFrameBytes = 1 << 20;
constexpr uint32_t kMaxStreams = 10000;
constexpr std::string_view kSecretHeader = "sassafras-secret";

std::string_view AsText(const uint8_t* bytes, size_t size) {
  return {reinterpret_cast<const char*>(bytes), size};
}

// nghttp2 takes mutable pointers but doesn't write through them.
nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  auto* name_bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
  auto* value_bytes =
      reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
  return {name_bytes, value_bytes, name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

Http2Session::Http2Session(Http2Delegate& delegate, size_t max_body_bytes)
    : delegate_(delegate), max_body_bytes_(max_body_bytes) {}

Http2Session::~Http2Session() {
  nghttp2_session_del(session_);
}

std::unique_ptr<Http2Session> Http2Session::Create(Side side,
                                                   Http2Delegate& delegate,
                                                   size_t max_body_bytes) {
  std::unique_ptr<Http2Session> session(
      new Http2Session(delegate, max_body_bytes));
  return session->Open(side) ? std::move(session) : nullptr;
}

bool Http2Session::Open(Side side) {
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return false;
  }
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
  const int rc = side == Side::kClient
                     ? nghttp2_session_client_new(&session_, callbacks, this)
                     : nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  if (rc != 0) {
    return false;
  }
  const std::array<nghttp2_settings_entry, 3> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
      {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, kMaxFrameBytes},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
  return true;
}

bool Http2Session::Receive(std::string_view bytes) {
  const ssize_t n = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  return n >= 0;
}

std::string Http2Session::TakeOutput() {
  std::string output;
  while (true) {
    const uint8_t* bytes = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
    if (n <= 0) {
      return output;
    }
    output.append(AsText(bytes, static_cast<size_t>(n)));
  }
}

int32_t Http2Session::SubmitRequest(std::string_view path,
                                    std::string_view secret,
                                    std::string body) {
  const std::array<nghttp2_nv, 5> headers = {
      MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "peer"), MakeHeader(":path", path),
      MakeHeader(kSecretHeader, secret)};
  nghttp2_data_provider provider{};
  provider.read_callback = ReadOutgoing;
  const int32_t stream = nghttp2_submit_request(
      session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream > 0) {
    streams_[stream].outgoing = std::move(body);
  }
  return stream;
}

void Http2Session::SubmitAnswer(int32_t stream, int status, std::string body) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) {
    return;  // The caller has reset the stream.
  }
  it->second.outgoing = std::move(body);
  it->second.sent = 0;
  const std::string status_text = std::to_string(status);
  const nghttp2_nv header = MakeHeader(":status", status_text);
  nghttp2_data_provider provider{};
  provider.read_callback = ReadOutgoing;
  nghttp2_submit_response(session_, stream, &header, 1, &provider);
}

void Http2Session::SubmitPing() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Session::ResetStream(int32_t stream) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream,
                            NGHTTP2_CANCEL);
}

int Http2Session::OnHeader(nghttp2_session* /*session*/,
                           const nghttp2_frame* frame,
                           const uint8_t* name,
                           size_t name_size,
                           const uint8_t* value,
                           size_t value_size,
                           uint8_t /*flags*/,
                           void* self) {
  auto& message =
      static_cast<Http2Session*>(self)->streams_[frame->hd.stream_id].incoming;
  const std::string_view key = AsText(name, name_size);
  const std::string_view text = AsText(value, value_size);
  if (key == ":path") {
    message.path = text;
  } else if (key == kSecretHeader) {
    message.secret = text;
  } else if (key == ":status") {
    std::from_chars(text.data(), text.data() + text.size(), message.status);
  }
  return 0;
}

int Http2Session::OnData(nghttp2_session* session,
                         uint8_t /*flags*/,
                         int32_t stream,
                         const uint8_t* bytes,
                         size_t size,
                         void* self) {
  auto* that = static_cast<Http2Session*>(self);
  std::string& body = that->streams_[stream].incoming.body;
  if (body.size() + size > that->max_body_bytes_) {
    return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                                     NGHTTP2_ENHANCE_YOUR_CALM);
  }
  body.append(AsText(bytes, size));
  return 0;
}

int Http2Session::OnFrame(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame,
                          void* self) {
  auto* that = static_cast<Http2Session*>(self);
  const bool carries_message =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  const bool is_last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (carries_message && is_last) {
    auto& stream = that->streams_[frame->hd.stream_id];
    that->delegate_.OnMessage(frame->hd.stream_id, std::move(stream.incoming));
  }
  return 0;
}

int Http2Session::OnClose(nghttp2_session* /*session*/,
                          int32_t stream,
                          uint32_t /*error*/,
                          void* self) {
  auto* that = static_cast<Http2Session*>(self);
  that->streams_.erase(stream);
  that->delegate_.OnStreamClosed(stream);
  return 0;
}

ssize_t Http2Session::ReadOutgoing(nghttp2_session* /*session*/,
                                   int32_t stream,
                                   uint8_t* buf,
                                   size_t room,
                                   uint32_t* flags,
                                   nghttp2_data_source* /*source*/,
                                   void* self) {
  auto& state = static_cast<Http2Session*>(self)->streams_[stream];
  const size_t n = std::min(room, state.outgoing.size() - state.sent);
  std::copy_n(state.outgoing.data() + state.sent, n, buf);
  state.sent += n;
  if (state.sent == state.outgoing.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(n);
}

}  // namespace sassafras::peer
