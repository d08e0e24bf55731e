// Keeps state for each job and endpoint.
#include "soak/GuaranteeChecker.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft::soak {

void GuaranteeChecker::jobSubmitted(const SubmittedJob &Submitted) {
  const auto [Found, Added] = m_Jobs.try_emplace(Submitted.m_Id);
  if (!Added)
    return;
  Found->second.m_Submitted = Submitted;
  Found->second.m_Tasks.resize(Submitted.m_Tasks);
}

void GuaranteeChecker::jobAnswered(TimePoint At, JobId Id,
                                   CallerOutcome Outcome) {
  Job &Answered = m_Jobs.at(Id);
  Answered.m_Answered = true;
  if (Outcome != CallerOutcome::NotRun)
    Answered.m_OnlyRefused = false;
  if (Outcome == CallerOutcome::Completed)
    checkCompleted(At, Answered);
  if (Outcome == CallerOutcome::Failed)
    checkFailed(At, Answered);
}

void GuaranteeChecker::checkCompleted(TimePoint At, const Job &Answered) {
  for (std::size_t Index = 0; Index < Answered.m_Tasks.size(); ++Index)
    if (Answered.m_Tasks[Index].m_Done == 0)
      addViolation(At, "a completed job has all tasks done",
                   "job " + toHex(Answered.m_Submitted.m_Id) +
                       " was answered as completed, task " +
                       std::to_string(Index) + " was not done");
}

void GuaranteeChecker::checkFailed(TimePoint At, const Job &Answered) {
  const std::uint32_t Attempts = Answered.m_Submitted.m_MaxAttempts;
  const bool Exhausted =
      std::any_of(Answered.m_Tasks.begin(), Answered.m_Tasks.end(),
                  [&](const Task &Each) { return Each.m_Failed >= Attempts; });
  if (!Exhausted)
    addViolation(At, "failed only after all attempts",
                 "job " + toHex(Answered.m_Submitted.m_Id) +
                     " was answered as failed, no task failed " +
                     std::to_string(Attempts) + " times");
}

void GuaranteeChecker::endpointStarted(const std::string &Name, Size Capacity) {
  m_Endpoints[Name] = Endpoint{Capacity, {}, {}};
}

void GuaranteeChecker::endpointExited(const std::string &Name) {
  for (const auto &[Run, Need] : std::exchange(m_Endpoints[Name].m_Runs, {})) {
    auto &On =
        m_Jobs.at(Run.m_Task.m_Job).m_Tasks[Run.m_Task.m_Index].m_ActiveAt;
    On.erase(On.find(Name));
  }
  m_Endpoints[Name].m_InUse = {};
}

void GuaranteeChecker::runStarted(TimePoint At, const std::string &Name,
                                  const RunName &Run,
                                  const std::string &Specification) {
  const auto Known = m_Jobs.find(Run.m_Task.m_Job);
  const bool Requested =
      Known != m_Jobs.end() && Run.m_Task.m_Step == 0 &&
      Run.m_Task.m_Index < Known->second.m_Tasks.size() &&
      Known->second.m_Submitted.m_Specification == Specification;
  if (!Requested)
    return addViolation(At, "only submitted tasks",
                        describe(Run) + " started at " + Name);
  Job &Owner = Known->second;
  Owner.m_Ran = true;
  Task &Started = Owner.m_Tasks[Run.m_Task.m_Index];
  if (!Started.m_ActiveAt.empty())
    addViolation(At, "one run of a task at a time",
                 describe(Run) + " started at " + Name + ", one runs at " +
                     *Started.m_ActiveAt.begin());
  Started.m_ActiveAt.insert(Name);
  Endpoint &Target = m_Endpoints.at(Name);
  Target.m_Runs[Run] = Owner.m_Submitted.m_Need;
  Target.m_InUse += Owner.m_Submitted.m_Need;
  if (!Target.m_Capacity.holds(Target.m_InUse))
    addViolation(At, "runs fit the endpoint's capacity",
                 describe(Run) + " started at " + Name + ", which holds " +
                     std::to_string(Target.m_InUse.m_MilliCores) + " of " +
                     std::to_string(Target.m_Capacity.m_MilliCores) +
                     " milli-cores");
}

void GuaranteeChecker::runEnded(const std::string &Name, const RunName &Run,
                                RunEnd End) {
  Endpoint &Target = m_Endpoints.at(Name);
  const auto Found = Target.m_Runs.find(Run);
  if (Found == Target.m_Runs.end())
    return;
  Target.m_InUse -= Found->second;
  Target.m_Runs.erase(Found);
  Task &Ended = m_Jobs.at(Run.m_Task.m_Job).m_Tasks[Run.m_Task.m_Index];
  Ended.m_ActiveAt.erase(Ended.m_ActiveAt.find(Name));
  Ended.m_Done += End == RunEnd::Done ? 1 : 0;
  Ended.m_Failed += End == RunEnd::Failed ? 1 : 0;
}

bool GuaranteeChecker::hasRun(JobId Id) const { return m_Jobs.at(Id).m_Ran; }

std::size_t GuaranteeChecker::activeRuns() const {
  std::size_t Count = 0;
  for (const auto &[Name, Target] : m_Endpoints)
    Count += Target.m_Runs.size();
  return Count;
}

void GuaranteeChecker::checkFinalState(TimePoint At) {
  for (const auto &[Id, Each] : m_Jobs)
    if (Each.m_Answered && Each.m_OnlyRefused && Each.m_Ran)
      addViolation(At, "a refused job has not run",
                   "job " + toHex(Id) +
                       " was refused at each attempt and has run");
  for (const auto &[Name, Target] : m_Endpoints)
    for (const auto &[Run, Need] : Target.m_Runs)
      addViolation(At, "every run ends",
                   describe(Run) + " still runs at " + Name);
}

void GuaranteeChecker::addViolation(TimePoint At, std::string Guarantee,
                                    std::string Detail) {
  m_Violations.push_back({At, std::move(Guarantee), std::move(Detail)});
}

} // namespace cyclamencroft::soak
