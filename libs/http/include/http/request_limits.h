// Limits of what the server keeps of one request, and for how long.

#ifndef HTTP_REQUEST_LIMITS_H_
#define HTTP_REQUEST_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace sassafras::http {

struct RequestLimits {
  size_t max_body_bytes = 4 << 20;
  // Of the request line and all fields. Trailers and chunk extensions of a body
  // together may have as many bytes.
  size_t max_header_bytes = 16 << 10;
  size_t max_header_fields = 4096;
  // From the first byte of a request to the end of its header.
  base::Duration header_timeout = std::chrono::seconds(5);
  // From the connection's begin or the last answer to the next request.
  base::Duration idle_timeout = std::chrono::seconds(60);

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

// Returns the smaller one of each limit. Limits of `given` that are 0 count as
// absent.
RequestLimits Restrict(const RequestLimits& upper, const RequestLimits& given);

}  // namespace sassafras::http

#endif  // HTTP_REQUEST_LIMITS_H_
