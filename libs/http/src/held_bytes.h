// How much memory the requests of all connections hold, and which of them loses
// it when that is too much. Has no I/O.

#ifndef HTTP_SRC_HELD_BYTES_H_
#define HTTP_SRC_HELD_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafras::http {

// Not thread-safe.
class HeldBytes {
 public:
  using Id = uint64_t;

  explicit HeldBytes(size_t max_bytes) : max_bytes_(max_bytes) {}

  // A holder has `bytes` now. One that isn't evictable has a request in
  // progress. Returns the holders that have to release all of their memory, to
  // come back within the limit; they count no longer. The evictable holder with
  // most bytes is chosen first (of equals the one with the lower id), so that
  // small requests get through beside large ones that never end. May contain
  // `id` itself.
  std::vector<Id> Set(Id id, size_t bytes, bool is_evictable);

  void Remove(Id id);

  size_t total() const { return total_; }

 private:
  struct Share {
    size_t bytes = 0;
    bool is_evictable = false;
  };

  const size_t max_bytes_;
  size_t total_ = 0;  // the sum over shares_
  std::unordered_map<Id, Share> shares_;
  // The evictable ones, by complement of bytes: the largest first.
  std::set<std::pair<size_t, Id>> evictable_;
};

}  // namespace sassafras::http

#endif  // HTTP_SRC_HELD_BYTES_H_
