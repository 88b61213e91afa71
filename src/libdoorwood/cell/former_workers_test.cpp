// SPDX-License-Identifier: Apache-2.0

#include "doorwood/former_workers.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

namespace doorwood {
namespace {

constexpr Instant kBegin{Millis(1000)};
// Orders are carried out up to 12 s late in the tests of whole cells.
constexpr Millis kLateOrder{12'000};

WorkerIncarnation MakeIncarnation(const std::string& id,
                                  const std::string& address,
                                  int64_t started_at) {
  WorkerIncarnation incarnation;
  incarnation.id = id;
  incarnation.address = address;
  incarnation.started_at = started_at;
  return incarnation;
}

// Guards against an id that is listed again while orders from before its
// removal may still be carried out, and whose tokens are forgotten.
BOOST_AUTO_TEST_CASE(FormerWorkers_RemovedShortlyBefore_TokenIsKnown) {
  FormerWorkers former;
  BOOST_TEST(!former.LatestToken("w1", kBegin).has_value());
  former.NoteRemoved("w1", 0, kBegin);
  former.NoteRemoved("w2", 9, kBegin);
  for (const Millis after : {Millis(0), kLateOrder}) {
    BOOST_TEST((former.LatestToken("w1", kBegin + after) ==
                std::optional<uint64_t>(0)));
    BOOST_TEST((former.LatestToken("w2", kBegin + after) ==
                std::optional<uint64_t>(9)));
  }
  BOOST_TEST(!former.LatestToken("w3", kBegin).has_value());
}

// Guards against the time and token of an earlier removal that stay for one
// that was removed again.
BOOST_AUTO_TEST_CASE(FormerWorkers_RemovedAgain_CountsFromTheLatest) {
  FormerWorkers former;
  former.NoteRemoved("w1", 4, kBegin);
  const Instant again = kBegin + Millis(25'000);
  former.NoteRemoved("w1", 6, again);
  BOOST_TEST((former.LatestToken("w1", again + kLateOrder) ==
              std::optional<uint64_t>(6)));
}

// Guards against records of removed workers that grow without bound, and
// against starts that wait for no reason.
BOOST_AUTO_TEST_CASE(FormerWorkers_RemovedLongBefore_IsForgotten) {
  FormerWorkers former;
  former.NoteRemoved("w1", 4, kBegin);
  BOOST_TEST(!former.LatestToken("w1", kBegin + Millis(60'000)).has_value());
  former.Clear();
  BOOST_TEST(!former.LatestToken("w1", kBegin).has_value());
}

// Guards against an entry of a life that is over, which would add it again, and
// against a next life that is never added.
BOOST_AUTO_TEST_CASE(FormerWorkers_EntryOfReplacedLife_IsTold) {
  FormerWorkers former;
  former.NoteReplaced(MakeIncarnation("w1", "a1", 500));
  BOOST_TEST(former.IsReplaced(MakeIncarnation("w1", "a1", 500)));
  BOOST_TEST(former.IsReplaced(MakeIncarnation("w1", "a1", 499)));
  BOOST_TEST(!former.IsReplaced(MakeIncarnation("w1", "a1", 501)));
  BOOST_TEST(!former.IsReplaced(MakeIncarnation("w1", "a2", 500)));
  BOOST_TEST(!former.IsReplaced(MakeIncarnation("w2", "a1", 500)));
}

// Guards against an id that stays barred after the directory dropped it, and
// against a stale entry that is believed while it is still listed.
BOOST_AUTO_TEST_CASE(FormerWorkers_ReplacedIsKeptOnlyWhileListed) {
  FormerWorkers former;
  const WorkerIncarnation first = MakeIncarnation("w1", "a1", 500);
  former.NoteReplaced(first);
  former.ForgetUnlisted(std::vector{first, MakeIncarnation("w2", "a2", 1)});
  BOOST_TEST(former.IsReplaced(first));
  former.ForgetUnlisted(std::vector{MakeIncarnation("w2", "a2", 1)});
  BOOST_TEST(!former.IsReplaced(first));
  former.NoteReplaced(first);
  former.Clear();
  BOOST_TEST(!former.IsReplaced(first));
}

}  // namespace
}  // namespace doorwood
