// Runs of a simulated endpoint on virtual time.
#include "FakeEndpoint.h"

#include "InvariantChecker.h"

#include <algorithm>

namespace cyclamencroft::session {

std::string TaskBehavior::toBody() const {
  return m_Name + "|" + std::to_string(m_RunTime.count()) + "|" + m_Mode;
}

TaskBehavior TaskBehavior::fromBody(const std::string &Body) {
  const std::size_t FirstSeparator = Body.find('|');
  const std::size_t SecondSeparator = Body.find('|', FirstSeparator + 1);
  TaskBehavior Task;
  Task.m_Name = Body.substr(0, FirstSeparator);
  Task.m_RunTime = Duration(std::stoll(Body.substr(FirstSeparator + 1)));
  Task.m_Mode = Body.substr(SecondSeparator + 1);
  return Task;
}

void FakeEndpoint::kill() {
  m_Alive = false;
  const auto Runs = std::move(m_Runs);
  m_Runs.clear();
  for (const auto &[Run, RunNumber] : Runs)
    m_OnRunEnded(RunEnded{Run, Outcome::Unknown, 0, nullptr});
}

bool FakeEndpoint::start(const StartRun &Run, Duration TimeLeft) {
  if (!m_Alive) {
    const RunId Id = Run.m_Run;
    m_Events.schedule(m_Events.now(), [this, Id] {
      m_OnRunEnded(RunEnded{Id, Outcome::NotRun, 0, nullptr});
    });
    return false;
  }
  const TaskBehavior Task = TaskBehavior::fromBody(*Run.m_Body);
  const std::uint64_t RunNumber = m_NextRunNumber++;
  m_Runs[Run.m_Run] = RunNumber;
  RunEnded Result = resultOf(Run, Task);
  Duration RunTime =
      m_FailEveryTask ? Duration(1000) : Task.m_RunTime * m_RunTimeFactor;
  if (Task.m_Mode == "hang")
    RunTime = TimeLeft;
  if (RunTime >= TimeLeft)
    Result = RunEnded{Run.m_Run, Outcome::Unknown, 0, nullptr};
  m_Events.schedule(m_Events.now() + std::min(RunTime, TimeLeft),
                    [this, Id = Run.m_Run, RunNumber, Result] {
                      endRun(Id, RunNumber, Result);
                    });
  return true;
}

RunEnded FakeEndpoint::resultOf(const StartRun &Run, const TaskBehavior &Task) {
  if (Task.m_Mode == "lost")
    return RunEnded{Run.m_Run, Outcome::Unknown, 0, nullptr};
  if (Task.m_Mode == "fail" || m_FailEveryTask)
    return RunEnded{Run.m_Run, Outcome::Failed, 500, makePayload("error")};
  return RunEnded{Run.m_Run, Outcome::Completed, 200,
                  makePayload(answerBodyFor(*Run.m_Body))};
}

void FakeEndpoint::abort(RunId Run) {
  if (m_Runs.erase(Run) == 0)
    return;
  m_Events.schedule(m_Events.now(), [this, Run] {
    m_OnRunEnded(RunEnded{Run, Outcome::Unknown, 0, nullptr});
  });
}

void FakeEndpoint::endRun(RunId Run, std::uint64_t RunNumber,
                          const RunEnded &Result) {
  const auto Found = m_Runs.find(Run);
  if (Found == m_Runs.end() || Found->second != RunNumber)
    return;
  m_Runs.erase(Found);
  m_OnRunEnded(Result);
}

} // namespace cyclamencroft::session
