// SPDX-License-Identifier: Apache-2.0

#include "doorwood/long_running_admission.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr Millis kStep{300};

struct AdmissionFixture {
  // For `duration`, non-serving work requests `use` times the processors that
  // serving work leaves.
  void Simulate(double use, Millis duration) {
    for (Millis passed{0}; passed < duration; passed += kStep) {
      now += kStep;
      admission.Observe({1000.0, 1000.0 * use}, now);
    }
  }
  // Largest share, in percent, that may be reserved.
  int Share() const {
    int share = 0;
    while (share < 100 && admission.Allows(1, share, 100, now)) {
      ++share;
    }
    return share;
  }

  LongRunningAdmissionOptions options;
  LongRunningAdmission admission{options};
  Instant now = Instant{} + std::chrono::hours(1);
};

BOOST_FIXTURE_TEST_CASE(Allows_NothingObserved_UsesInitialShare,
                        AdmissionFixture) {
  BOOST_TEST(Share() == 60);
  BOOST_TEST(admission.Allows(1'000'000, 0, 0, now));
}

BOOST_FIXTURE_TEST_CASE(Allows_NoNonServingWorkForLong_KeepsInitialShare,
                        AdmissionFixture) {
  Simulate(0.0, Millis(60'000));
  BOOST_TEST(Share() == 60);
}

BOOST_FIXTURE_TEST_CASE(Allows_CapacityFreeForLong_RaisesShare,
                        AdmissionFixture) {
  Simulate(0.5, Millis(19'000));
  BOOST_TEST(Share() == 60);
  Simulate(0.5, Millis(2000));
  BOOST_TEST(Share() == 80);
}

BOOST_FIXTURE_TEST_CASE(Allows_NonServingWorkOverloaded_AdmitsNone,
                        AdmissionFixture) {
  Simulate(0.5, Millis(25'000));
  Simulate(1.2, Millis(300));
  BOOST_TEST(Share() == 0);
}

BOOST_FIXTURE_TEST_CASE(Allows_BurstEnded_RecoversGradually, AdmissionFixture) {
  Simulate(0.5, Millis(25'000));
  Simulate(1.2, Millis(4000));
  Simulate(0.5, Millis(3000));
  BOOST_TEST(Share() == 0);
  Simulate(0.5, Millis(6000));
  BOOST_TEST(Share() == 60);
  Simulate(0.5, Millis(15'000));
  BOOST_TEST(Share() == 80);
}

// Guards against a raised share in a deployment without spare capacity. In one
// such deployment, non-serving work requested 0.77 of the processors that
// serving work left when long-running work could reserve a share of 0.6. It
// requested 1.68 times these processors when the share was 0.8.
BOOST_FIXTURE_TEST_CASE(Allows_RisingLoad_KeepsInitialShareThenAdmitsNone,
                        AdmissionFixture) {
  for (const double use : {0.25, 0.31, 0.54, 0.77, 0.78, 0.87}) {
    Simulate(use, Millis(5000));
    BOOST_TEST(Share() <= 60);
  }
  BOOST_TEST(Share() == 0);
}

}  // namespace
}  // namespace doorwood
