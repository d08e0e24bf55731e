// Each request has an id of its own, which the endpoint stand-in repeats in its
// answer, so that a crossed answer is seen.
#include "process/support/BackgroundLoad.h"

#include "core/Ids.h"
#include "process/support/Deployment.h"

#include <stdexcept>

namespace cyclamencroft::test {

std::uint64_t LoadResult::count(const std::string &Outcome) const {
  const auto Found = m_Outcomes.find(Outcome);
  return Found == m_Outcomes.end() ? 0 : Found->second;
}

std::uint64_t LoadResult::total() const {
  std::uint64_t Sum = 0;
  for (const auto &[Outcome, Count] : m_Outcomes)
    Sum += Count;
  return Sum;
}

BackgroundLoad::BackgroundLoad(Options Wanted) : m_Options(std::move(Wanted)) {
  for (std::size_t I = 0; I < m_Options.m_Callers; ++I)
    m_Threads.emplace_back([this, I] { runCaller(I); });
}

BackgroundLoad::~BackgroundLoad() { stop(); }

void BackgroundLoad::waitForCalls(std::uint64_t Calls) const {
  Deployment::waitUntil([&] { return m_Calls >= Calls; },
                        "enough calls were answered",
                        std::chrono::milliseconds(60000));
}

LoadResult BackgroundLoad::stop() {
  m_Stopping = true;
  for (std::thread &Each : m_Threads)
    if (Each.joinable())
      Each.join();
  return m_Result;
}

void BackgroundLoad::runCaller(std::size_t Index) {
  for (std::uint64_t Call = 0; !m_Stopping; ++Call) {
    const std::string Id = RequestId{Index + 1, Call + 1}.toHex();
    const auto &Entries = m_Options.m_Entries;
    HttpHeaders Headers = {{"Cyclamencroft-Request-Id", Id}};
    if (m_Options.m_NonIdempotent)
      Headers.emplace_back("Cyclamencroft-Non-Idempotent", "true");
    try {
      record(Id, Deployment::call(Entries[(Index + Call) % Entries.size()],
                                  m_Options.m_Body, Headers));
    } catch (const std::runtime_error &) {
      recordNoAnswer();
      // A killed entry refuses connections at once; the delay avoids a busy
      // loop.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    ++m_Calls;
  }
}

void BackgroundLoad::record(const std::string &Id,
                            const HttpResponse &Response) {
  const std::string Outcome(Response.header("Cyclamencroft-Outcome"));
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Result.m_Outcomes[Outcome];
  if (Outcome == "not-run")
    m_Result.m_NotRun.push_back(Id);
  if (Outcome == "completed" &&
      Response.m_Body.find("request=" + Id) == std::string::npos)
    ++m_Result.m_WrongAnswers;
}

void BackgroundLoad::recordNoAnswer() {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Result.m_Outcomes["no-answer"];
}

} // namespace cyclamencroft::test
