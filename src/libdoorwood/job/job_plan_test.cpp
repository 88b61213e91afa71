// SPDX-License-Identifier: Apache-2.0

#include "doorwood/job_plan.h"

#include <boost/test/unit_test.hpp>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kId[] = "00112233aabbccdd";

struct ProblemRow {
  const char* name;
  std::function<void(JobPlan*)> change;
  const char* expected_text;
};

BOOST_AUTO_TEST_CASE(FindProblem_OneInvalidField_NamesIt) {
  const ProblemRow rows[] = {
      {"short id", [](JobPlan* p) { p->id = "12"; }, "id"},
      {"no hex", [](JobPlan* p) { p->id = "zz112233aabbccdd"; }, "id"},
      {"long payload", [](JobPlan* p) { p->payload.assign(4001, 'x'); },
       "payload"},
      {"no steps", [](JobPlan* p) { p->steps.clear(); }, "steps"},
      {"no tasks", [](JobPlan* p) { p->steps[0].count = 0; }, "steps[0].count"},
      {"too many tasks", [](JobPlan* p) { p->steps[1].count = 30'000; },
       "20000 tasks"},
      {"negative size", [](JobPlan* p) { p->steps[0].size.cpu_millis = -1; },
       "steps[0].cpu"},
      {"depends on itself", [](JobPlan* p) { p->steps[1].depends_on = {1}; },
       "steps[1].depends_on"},
      {"depends on a later one",
       [](JobPlan* p) { p->steps[0].depends_on = {1}; }, "steps[0].depends_on"},
      {"negative bound", [](JobPlan* p) { p->steps[0].max_per_worker = -1; },
       "most_per_worker"},
      {"times without interval", [](JobPlan* p) { p->repeat_count = 2; },
       "interval"},
      {"lasting and repeated",
       [](JobPlan* p) {
         p->repeat_count = 1;
         p->steps[0].long_running = true;
       },
       "lasting"},
  };
  for (const ProblemRow& row : rows) {
    JobPlan plan = fakes::MakePlan(kId, 2, 3, "ms=10");
    row.change(&plan);
    const auto problem = FindProblem(plan);
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(problem.has_value());
      BOOST_TEST(problem.value_or("").find(row.expected_text) !=
                 std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(FindProblem_ValidPlan_FindsNone) {
  BOOST_TEST(!FindProblem(fakes::MakePlan(kId, 3, 4, "ms=10")).has_value());
}

BOOST_AUTO_TEST_CASE(JobPlan_EncodedAndDecoded_IsUnchanged) {
  JobPlan plan = fakes::MakePlan(kId, 2, 3, "ms=10");
  StepPlan& step = plan.steps[1];
  step.checkpoints = step.gang = step.same_rack = step.best_effort = true;
  step.duplicates = true;
  step.required_label = "gpu";
  step.data_rack = "r2";
  step.image = "i1";
  step.max_per_worker = 2;
  step.max_unavailable = 1;
  step.latency_target = Millis(150);
  plan.repeat_count = 3;
  plan.first_due = 1000;
  plan.interval = Millis(500);
  plan.accepted_at = 77;
  const Json written = plan;
  BOOST_TEST(Json(written.get<JobPlan>()).dump() == written.dump());
}

// Guards against accepting an invalid plan that another program wrote.
// Instances validate a plan before they record or send it. Use of an invalid
// plan would cause out-of-bounds access.
BOOST_AUTO_TEST_CASE(ParsePlan_InvalidPlan_IsRejected) {
  const Json valid = fakes::MakePlan(kId, 2, 2, "");
  BOOST_REQUIRE(ParsePlan(valid.dump()).has_value());
  const auto with_step = [&valid](const char* field, const Json& value) {
    Json changed = valid;
    changed["steps"][1][field] = value;
    return changed.dump();
  };
  for (const std::string& text :
       {with_step("depends_on", {5}), with_step("depends_on", {1}),
        with_step("depends_on", {-1}), with_step("depends_on", {4294967296}),
        with_step("depends_on", "0"), with_step("count", 4294967297),
        with_step("count", 30000), with_step("count", -1),
        with_step("estimate_ms", 1e300), with_step("estimate_ms", -1),
        with_step("size", {{"cpu_millis", -1}}), std::string("[]"),
        std::string("{}")}) {
    BOOST_TEST(!ParsePlan(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(CriticalPathAndWork_DependentSteps_AddUp) {
  const JobPlan plan = fakes::MakePlan(kId, 3, 2, "");
  const std::vector<Millis> run_times{Millis(300), Millis(200), Millis(400)};
  BOOST_TEST(CriticalPathLength(plan, run_times).count() == 900);
  BOOST_TEST(EstimatedWork(plan) == 3 * 2 * 0.3,
             boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace doorwood
