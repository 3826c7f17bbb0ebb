// The smaller one of two limits, member by member.

#include "http/request_limits.h"

#include <algorithm>

namespace sassafras::http {
namespace {

template <typename Limit>
Limit Smaller(Limit upper, Limit given) {
  return given == Limit() ? upper : std::min(upper, given);
}

}  // namespace

RequestLimits Restrict(const RequestLimits& upper, const RequestLimits& given) {
  return {.max_body_bytes = Smaller(upper.max_body_bytes, given.max_body_bytes),
          .max_header_bytes =
              Smaller(upper.max_header_bytes, given.max_header_bytes),
          .max_header_fields =
              Smaller(upper.max_header_fields, given.max_header_fields),
          .header_timeout = Smaller(upper.header_timeout, given.header_timeout),
          .idle_timeout = Smaller(upper.idle_timeout, given.idle_timeout)};
}

}  // namespace sassafras::http
