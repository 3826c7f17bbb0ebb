// Counting what a request has taken, and keeping its parts.

#include "request_parser.h"

#include <string>
#include <utility>

#include <boost/beast/http/error.hpp>

namespace sassafras::http {
namespace {

namespace beast_http = boost::beast::http;

// Colon, space and line end.
constexpr size_t kFieldOverhead = 4;

}  // namespace

RequestParser::RequestParser(const RequestLimits& limits) : limits_(limits) {
  // A header that needs more bytes than this is refused by PutHeader().
  header_limit(static_cast<uint32_t>(limits_.max_header_bytes + 1));
  body_limit(limits_.max_body_bytes);
}

size_t RequestParser::Put(std::string_view bytes) {
  size_t used = 0;
  if (!is_header_done()) {
    PutHeader(bytes, used);
  }
  if (is_header_done() && !is_done() && !HasFailed() && used < bytes.size()) {
    PutBody(bytes.substr(used), used);
  }
  return used;
}

void RequestParser::PutHeader(std::string_view bytes, size_t& used) {
  ErrorCode ec;
  used = put(boost::asio::buffer(bytes), ec);
  header_bytes_ += used;
  const bool is_partial = ec == beast_http::error::need_more;
  const size_t unread = is_partial ? bytes.size() - used : 0;
  if (HasFailed()) {
    return;
  }
  if (header_bytes_ + unread > limits_.max_header_bytes ||
      ec == beast_http::error::header_limit) {
    Fail(ParseError::kHeaderTooLarge, "the header", limits_.max_header_bytes);
  } else if (ec && !is_partial) {
    FailBy(ec);
  }
}

void RequestParser::PutBody(std::string_view bytes, size_t& used) {
  ErrorCode ec;
  eager(true);
  const size_t taken = put(boost::asio::buffer(bytes), ec);
  used += taken;
  const bool is_partial = ec == beast_http::error::need_more;
  if (HasFailed()) {
    return;
  }
  // What is left is the begin of a chunk's header or of the trailers.
  if (is_partial && bytes.size() - taken > limits_.max_header_bytes) {
    AddChunkBytes(bytes.size() - taken, ec);
  } else if (ec && !is_partial) {
    FailBy(ec);
  }
}

void RequestParser::PutEnd() {
  ErrorCode ec;
  put_eof(ec);
  if (ec) {
    FailBy(ec);
  }
}

size_t RequestParser::held_bytes() const {
  return request_.body.capacity() + request_.target.capacity() +
         request_.headers.capacity() * sizeof(Headers::value_type) +
         field_bytes_;
}

void RequestParser::Fail(ParseError code, std::string_view what, size_t limit) {
  why_.Set(code, std::string(what) + " is larger than " +
                     std::to_string(limit) + " bytes");
}

void RequestParser::FailBy(ErrorCode ec) {
  if (ec == beast_http::error::body_limit) {
    Fail(ParseError::kBodyTooLarge, "the body", limits_.max_body_bytes);
    return;
  }
  why_.Set(ParseError::kMalformed,
           "the request is not valid HTTP: " + ec.message());
}

void RequestParser::AddChunkBytes(size_t n, ErrorCode& ec) {
  chunk_bytes_ += n;
  if (chunk_bytes_ > limits_.max_header_bytes) {
    Fail(ParseError::kChunksTooLarge, "what the body's chunks add to it",
         limits_.max_header_bytes);
    ec = beast_http::error::header_limit;
  }
}

void RequestParser::on_request_impl(beast_http::verb /*verb*/,
                                    Text method,
                                    Text target,
                                    int version,
                                    ErrorCode& /*ec*/) {
  request_.method = std::string(method);
  request_.target = std::string(target);
  version_ = static_cast<unsigned>(version);
}

void RequestParser::on_response_impl(int /*code*/,
                                     Text /*reason*/,
                                     int /*version*/,
                                     ErrorCode& /*ec*/) {}

void RequestParser::on_field_impl(beast_http::field /*field*/,
                                  Text name,
                                  Text value,
                                  ErrorCode& ec) {
  if (is_in_body_) {
    AddChunkBytes(name.size() + value.size() + kFieldOverhead, ec);
    return;
  }
  if (request_.headers.size() == limits_.max_header_fields) {
    why_.Set(ParseError::kHeaderTooLarge,
             "the header has more than " +
                 std::to_string(limits_.max_header_fields) + " fields");
    ec = beast_http::error::header_limit;
    return;
  }
  field_bytes_ += name.size() + value.size();
  request_.headers.emplace_back(name, value);
}

void RequestParser::on_header_impl(ErrorCode& /*ec*/) {
  is_in_body_ = true;
}

void RequestParser::on_body_init_impl(
    const boost::optional<uint64_t>& /*content_length*/,
    ErrorCode& /*ec*/) {}

size_t RequestParser::on_body_impl(Text body, ErrorCode& /*ec*/) {
  request_.body.append(body.data(), body.size());
  return body.size();
}

void RequestParser::on_chunk_header_impl(uint64_t /*size*/,
                                         Text extensions,
                                         ErrorCode& ec) {
  AddChunkBytes(extensions.size(), ec);
}

size_t RequestParser::on_chunk_body_impl(uint64_t /*remaining*/,
                                         Text body,
                                         ErrorCode& ec) {
  return on_body_impl(body, ec);
}

void RequestParser::on_finish_impl(ErrorCode& /*ec*/) {}

}  // namespace sassafras::http
