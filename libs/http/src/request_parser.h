// Reads one request from pieces of a byte stream, with limits on everything
// that is kept before the request is complete. Has no I/O.

#ifndef HTTP_SRC_REQUEST_PARSER_H_
#define HTTP_SRC_REQUEST_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "base/reason.h"
#include "http/message.h"
#include "http/request_limits.h"

namespace sassafras::http {

enum class ParseError {
  kNone,
  kMalformed,
  kHeaderTooLarge,  // bytes or number of fields
  kChunksTooLarge,  // trailers and chunk extensions
  kBodyTooLarge
};
using ParseReason = base::Reason<ParseError>;

// Beast's own message parser adds trailers to the fields of the header, after
// its limit of the header has been checked, and counts the bytes of a header
// anew in each piece that ends with a field. Here trailers are checked and
// dropped, and a header's bytes are counted over all pieces.
class RequestParser : private boost::beast::http::basic_parser<true> {
 public:
  explicit RequestParser(const RequestLimits& limits);

  // Takes a prefix of `bytes`, which mustn't be empty, and returns its size.
  // The rest is given again, followed by later bytes. At most
  // max_header_bytes + 1 bytes are left of a request that isn't complete.
  size_t Put(std::string_view bytes);
  // The stream has ended.
  void PutEnd();

  bool HasBegun() const { return got_some(); }
  bool HasFailed() const { return why_.code != ParseError::kNone; }
  const ParseReason& why() const { return why_; }

  using basic_parser::is_done;
  using basic_parser::is_header_done;
  // Valid once the header is complete.
  using basic_parser::keep_alive;
  unsigned version() const { return version_; }
  const Request& request() const { return request_; }

  // Bytes of memory that the request has taken so far.
  size_t held_bytes() const;
  Request Release() { return std::move(request_); }

 private:
  using Text = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  void PutHeader(std::string_view bytes, size_t& used);
  void PutBody(std::string_view bytes, size_t& used);
  void Fail(ParseError code, std::string_view what, size_t limit);
  void FailBy(ErrorCode ec);
  // Counts bytes of trailers and chunk extensions.
  void AddChunkBytes(size_t n, ErrorCode& ec);

  void on_request_impl(boost::beast::http::verb verb,
                       Text method,
                       Text target,
                       int version,
                       ErrorCode& ec) override;
  void on_response_impl(int code,
                        Text reason,
                        int version,
                        ErrorCode& ec) override;
  void on_field_impl(boost::beast::http::field field,
                     Text name,
                     Text value,
                     ErrorCode& ec) override;
  void on_header_impl(ErrorCode& ec) override;
  void on_body_init_impl(const boost::optional<uint64_t>& content_length,
                         ErrorCode& ec) override;
  size_t on_body_impl(Text body, ErrorCode& ec) override;
  void on_chunk_header_impl(uint64_t size,
                            Text extensions,
                            ErrorCode& ec) override;
  size_t on_chunk_body_impl(uint64_t remaining,
                            Text body,
                            ErrorCode& ec) override;
  void on_finish_impl(ErrorCode& ec) override;

  const RequestLimits limits_;
  Request request_;
  ParseReason why_;
  unsigned version_ = 11;
  bool is_in_body_ = false;  // fields from now on are trailers
  size_t header_bytes_ = 0;  // taken so far
  size_t field_bytes_ = 0;   // names and values kept
  size_t chunk_bytes_ = 0;   // of trailers and chunk extensions so far
};

}  // namespace sassafras::http

#endif  // HTTP_SRC_REQUEST_PARSER_H_
