// SPDX-License-Identifier: Apache-2.0

#include "doorwood/index_set.h"

#include <algorithm>
#include <iterator>

namespace doorwood {

void IndexSet::Add(int begin, int end) {
  if (begin >= end) {
    return;
  }
  // The first range that overlaps or adjoins the new one.
  auto found = ranges_.upper_bound(begin);
  if (found != ranges_.begin() && std::prev(found)->second >= begin) {
    --found;
  }
  while (found != ranges_.end() && found->first <= end) {
    begin = std::min(begin, found->first);
    end = std::max(end, found->second);
    size_ -= found->second - found->first;
    found = ranges_.erase(found);
  }
  ranges_.emplace(begin, end);
  size_ += end - begin;
}

bool IndexSet::Contains(int index) const {
  const auto after = ranges_.upper_bound(index);
  return after != ranges_.begin() && index < std::prev(after)->second;
}

}  // namespace doorwood
