// Maps log indexes to the records in memory.

#include "log.h"

#include <utility>

namespace sassafras::consensus {

Term Log::LastTerm() const {
  return records_.empty() ? base_term_ : records_.back().term;
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (!Has(index)) {
    return std::nullopt;
  }
  return At(index).term;
}

const Record& Log::At(Index index) const {
  return records_[index.value() - base_index_.value() - 1];
}

size_t Log::PayloadBytes(Index from, Index to) const {
  size_t bytes = 0;
  for (Index i = std::max(from, Base()).Next(); i <= to && Has(i);
       i = i.Next()) {
    bytes += At(i).payload.size();
  }
  return bytes;
}

void Log::Append(Record record) {
  records_.push_back(std::move(record));
}

void Log::TruncateFrom(Index index) {
  while (!records_.empty() && records_.back().index >= index) {
    records_.pop_back();
  }
}

void Log::CompactTo(Index index) {
  while (!records_.empty() && records_.front().index <= index) {
    base_index_ = records_.front().index;
    base_term_ = records_.front().term;
    records_.pop_front();
  }
}

void Log::Reset(Index index, Term term) {
  records_.clear();
  base_index_ = index;
  base_term_ = term;
}

}  // namespace sassafras::consensus
