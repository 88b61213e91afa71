// SPDX-License-Identifier: Apache-2.0

#include "doorwood/earlier_life_fence.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace doorwood {
namespace {

constexpr Millis kLongestLease{10'000};
constexpr Millis kRunLease{8000};
constexpr uint64_t kEarlierToken = 7;
constexpr Instant kBegin{Millis(1000)};

// Guards against starts that wait, or longer waits, where no life came before.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_NoEarlierLife_IsSettled) {
  EarlierLifeFence fence(kLongestLease, kRunLease);
  BOOST_TEST(!fence.has_earlier_life());
  BOOST_TEST(!fence.IsOpen());
  BOOST_TEST(!fence.NoteAnswer(kEarlierToken, kBegin));
  BOOST_TEST(!fence.settled_at().has_value());
  BOOST_TEST(fence.IsSettled(kBegin));
}

// Guards against a fence that closes although the worker still accepts the
// orders for its earlier life.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_TokenNotHigher_StaysOpen) {
  EarlierLifeFence fence(kLongestLease, kRunLease);
  fence.Open(kEarlierToken);
  for (const uint64_t token : {kEarlierToken - 1, kEarlierToken}) {
    BOOST_TEST(!fence.NoteAnswer(token, kBegin));
    BOOST_TEST(fence.IsOpen());
    BOOST_TEST(!fence.settled_at().has_value());
    BOOST_TEST(!fence.IsSettled(kBegin + Millis(60'000)));
  }
  BOOST_TEST(fence.NoteAnswer(kEarlierToken + 1, kBegin));
  BOOST_TEST(!fence.IsOpen());
}

// Guards against orders without a token, for which any token is the first one,
// that count as none.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_EarlierTokenZero_IsOpen) {
  EarlierLifeFence fence(kLongestLease, kRunLease);
  fence.Open(0);
  BOOST_TEST(fence.has_earlier_life());
  BOOST_TEST(fence.IsOpen());
  BOOST_TEST(!fence.IsSettled(kBegin));
}

// Guards against a life that counts as settled while a lease that it granted
// to an earlier order can outlast a new one, on a clock that runs 2% slow.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_Closed_SettlesWhenNewLeasesEndLater) {
  constexpr double kSlowestRate = 0.98;
  EarlierLifeFence fence(kLongestLease, kRunLease);
  fence.Open(kEarlierToken);
  BOOST_REQUIRE(fence.NoteAnswer(kEarlierToken + 1, kBegin));
  const std::optional<Instant> settled = fence.settled_at();
  BOOST_REQUIRE(settled.has_value());
  const double on_worker =
      std::chrono::duration<double, std::milli>(*settled - kBegin).count() *
      kSlowestRate;
  const Millis excess = kLongestLease - kRunLease;
  BOOST_TEST(on_worker >= static_cast<double>(excess.count()));
  BOOST_TEST(on_worker < static_cast<double>(excess.count() + 5));
  BOOST_TEST(!fence.IsSettled(*settled - Millis(1)));
  BOOST_TEST(fence.IsSettled(*settled));
}

// Guards against later answers that postpone the end of the longer waits.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_FurtherAnswers_ChangeNothing) {
  EarlierLifeFence fence(kLongestLease, kRunLease);
  fence.Open(kEarlierToken);
  BOOST_REQUIRE(fence.NoteAnswer(kEarlierToken + 1, kBegin));
  const auto settled = fence.settled_at();
  BOOST_TEST(!fence.NoteAnswer(kEarlierToken + 2, kBegin + Millis(500)));
  BOOST_TEST((fence.settled_at() == settled));
}

// Guards against a settled time before the fence was closed, where workers
// grant shorter leases than leaders ask for.
BOOST_AUTO_TEST_CASE(EarlierLifeFence_LongestLeaseIsShorter_SettlesOnceClosed) {
  EarlierLifeFence fence(kRunLease - Millis(3000), kRunLease);
  fence.Open(kEarlierToken);
  BOOST_TEST(!fence.IsSettled(kBegin));
  BOOST_REQUIRE(fence.NoteAnswer(kEarlierToken + 1, kBegin));
  BOOST_REQUIRE(fence.settled_at().has_value());
  BOOST_TEST((*fence.settled_at() >= kBegin));
  BOOST_TEST(fence.IsSettled(kBegin + Millis(1)));
}

}  // namespace
}  // namespace doorwood
