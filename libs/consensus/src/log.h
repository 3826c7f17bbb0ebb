// The in-memory part of the replicated log: the records after a base record.
// Only the index and term of the base record are kept.

#ifndef CONSENSUS_LOG_H_
#define CONSENSUS_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "consensus/types.h"

namespace sassafras::consensus {

inline Index Plus(Index index, uint64_t n) {
  return Index(index.value() + n);
}
// Saturates at index 0, which identifies no record.
inline Index Minus(Index index, uint64_t n) {
  return Index(index.value() - std::min(index.value(), n));
}

class Log {
 public:
  Index Base() const { return base_index_; }
  Index Last() const { return Plus(base_index_, records_.size()); }
  Term LastTerm() const;

  // Returns the term of the base record or of a record in memory, or
  // std::nullopt for any other index.
  std::optional<Term> TermAt(Index index) const;
  bool Has(Index index) const { return index > Base() && index <= Last(); }
  const Record& At(Index index) const;  // Has(index) must hold

  // Returns the payload bytes of the in-memory records in (from, to].
  size_t PayloadBytes(Index from, Index to) const;

  void Append(Record record);      // record.index must be Last() + 1
  void TruncateFrom(Index index);  // removes this record and all later ones
  void CompactTo(Index index);     // drops records up to `index`; the last one
                                   // becomes the base
  void Reset(Index index, Term term);  // drops all records and sets a new base

 private:
  Index base_index_;
  Term base_term_;
  std::deque<Record> records_;  // consecutive, from base_index_ + 1
};

}  // namespace sassafras::consensus

#endif  // CONSENSUS_LOG_H_
