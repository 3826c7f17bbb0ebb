// The memory that requests of all servers of a process may hold together.

#ifndef HTTP_REQUEST_MEMORY_H_
#define HTTP_REQUEST_MEMORY_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "http/request_limits.h"

namespace sassafras::http {

// Thread-safe; shared by the servers of a process.
class RequestMemory {
 public:
  // Eight bodies of the largest default size.
  static constexpr size_t kDefaultBytes = 32 << 20;

  // The part of one connection. Destruction gives it back.
  class Share {
   public:
    Share(std::shared_ptr<RequestMemory> memory, std::function<void()> evict);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // The connection holds `bytes` now. While `is_evictable`, another's need
    // may take them: then `evict` is called once, on any thread, and has to end
    // the connection. Returns false from then on, also if this call is the one
    // that is too much; `evict` isn't called in that case.
    bool Set(size_t bytes, bool is_evictable);

   private:
    const std::shared_ptr<RequestMemory> memory_;
    size_t id_ = 0;
  };

  // The limit is raised to what one request within `largest` needs.
  static std::shared_ptr<RequestMemory> Create(size_t max_bytes,
                                               const RequestLimits& largest);
  ~RequestMemory();
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // Bytes held by all connections.
  size_t total() const;

 private:
  struct Impl;
  explicit RequestMemory(size_t max_bytes);

  const std::unique_ptr<Impl> impl_;
};

}  // namespace sassafras::http

#endif  // HTTP_REQUEST_MEMORY_H_
