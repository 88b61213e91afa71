// SPDX-License-Identifier: Apache-2.0

#include "doorwood/config_follower.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "fakes/fakes.h"

namespace doorwood {
namespace {

// Delivers no changes to watches, as a store does whose history is lost.
class DeafSource : public QueueTableSource {
 public:
  explicit DeafSource(Executor& executor) : executor_(executor) {}

  void Read(Callback done) override {
    ++reads;
    executor_.Schedule(Millis(4), [this, done = std::move(done)] {
      done({}, {std::make_shared<const QueueTable>(
                    version, std::vector<Queue>(), HttpLimits{},
                    std::vector<std::string>()),
                version});
    });
  }
  void WaitForChange(int64_t after, Millis wait, Callback done) override {
    executor_.Schedule(wait, [after, done = std::move(done)] {
      done({}, {nullptr, after});
    });
  }

  int64_t version = 1;
  int reads = 0;

 private:
  Executor& executor_;
};

struct FollowerFixture {
  FollowerFixture() {
    follower.Start([](const std::shared_ptr<const QueueTable>&) {});
    time.Run(Millis(100));
  }

  fakes::VirtualTime time;
  fakes::Trace trace;
  fakes::FakeLog log{time, "log", trace};
  fakes::FakeExecutor executor{time, 1};
  DeafSource source{executor};
  ConfigFollower follower{executor, source, log, ConfigFollowerOptions{}};
};

BOOST_FIXTURE_TEST_SUITE(config_follower, FollowerFixture)

// Guards against full reads of all instances of a large deployment, which take
// much of the store's link.
BOOST_AUTO_TEST_CASE(ReadsSparsely_QuietTime_ReadsSeldom) {
  follower.set_reads_sparsely(true);
  const int before = source.reads;
  time.Run(Millis(60'000));
  BOOST_TEST(source.reads - before <= 10);
}

BOOST_AUTO_TEST_CASE(ReadIfOlder_LeaderHasNewer_IsInForceAtOnce) {
  follower.set_reads_sparsely(true);
  source.version = 2;
  follower.ReadIfOlder(2);
  follower.ReadIfOlder(2);
  const int reads = source.reads;
  time.Run(Millis(5));
  BOOST_TEST(follower.table()->version() == 2);
  BOOST_TEST(source.reads == reads);
}

BOOST_AUTO_TEST_CASE(ReadIfOlder_SameOrOlderVersion_ReadsNothing) {
  const int reads = source.reads;
  follower.ReadIfOlder(1);
  follower.ReadIfOlder(0);
  BOOST_TEST(source.reads == reads);
}

// Where no leader tells the newest version, each instance reads often enough
// itself.
BOOST_AUTO_TEST_CASE(Watch_HearsNothing_ChangeIsInForceWithin2500Ms) {
  source.version = 2;
  time.Run(Millis(2500));
  BOOST_TEST(follower.table()->version() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
