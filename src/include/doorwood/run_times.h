// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long tasks really run, learned for each queue from what ended and what
/// the caller had guessed: some callers' guesses tell much, others' next to
/// nothing.

#ifndef DOORWOOD_RUN_TIMES_H_
#define DOORWOOD_RUN_TIMES_H_

#include <map>
#include <string>
#include <string_view>

#include "doorwood/types.h"

namespace doorwood {

struct RunTimeOptions {
  /// After so many steps what was seen weighs as much as the bare guess.
  double guess_weight = 4;
  /// Steps after which what was seen counts about a third.
  double memory = 300;
};

/// A line fitted, for each queue, through the logarithms of guesses and of run
/// times. The guess is right at first; where guesses turn out to say little the
/// line grows flat and the queue's usual run time takes over. In one day's logs
/// a tenth of the runs took under 0.4 of the guess, and a tenth over 5.9 times.
class RunTimeModel {
 public:
  explicit RunTimeModel(const RunTimeOptions& options) : options_(options) {}

  /// A task of a step of `count` equal tasks ran for `taken` at full speed.
  void Observe(std::string_view queue, int count, Millis guess, Millis taken);
  /// Expected run time of a task.
  Millis Expect(std::string_view queue, Millis guess) const;

 private:
  /// Weighted sums over what was seen; x: log of the guess, y: of the time.
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
  };

  const RunTimeOptions options_;
  std::map<std::string, Sums, std::less<>> queues_;
};

}  // namespace doorwood

#endif  // DOORWOOD_RUN_TIMES_H_
