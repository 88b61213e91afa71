// SPDX-License-Identifier: Apache-2.0

/// \file
/// A set of indices whose size in memory is that of its gaps.

#ifndef DOORWOOD_INDEX_SET_H_
#define DOORWOOD_INDEX_SET_H_

#include <map>
#include <utility>
#include <vector>

namespace doorwood {

/// Integers from 0 on, kept as ranges.
class IndexSet {
 public:
  /// Adds the indices from `begin` up to, but without, `end`.
  void Add(int begin, int end);
  void Add(int index) { Add(index, index + 1); }
  bool Contains(int index) const;
  /// Number of indices.
  int size() const { return size_; }
  /// The ranges, each with its end behind the last index, in order.
  std::vector<std::pair<int, int>> ranges() const {
    return {ranges_.begin(), ranges_.end()};
  }

 private:
  std::map<int, int> ranges_;
  int size_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_INDEX_SET_H_
