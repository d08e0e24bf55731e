// Measures one entry over loopback, for docs/CAPACITY.md. Subcommands:
//   frames
//     measures size in bytes and encode and decode time of the link's messages
//   publish LOG BASE
//     appends a change with a document of 590 teams
//   hold PID LINK HTTP LOG AGENTS SECONDS CHANGES CALLERS TASKS JOB-SECONDS
//     connects agents and measures idle time, changes and jobs
//   restart LINK AGENTS PID-FILE
//     measures how agents reconnect after a restart of their entry
// tools/capacity starts the processes that this program measures.
#include "../common/SampleMessages.h"
#include "AgentFleet.h"
#include "ProcessUsage.h"

#include "config/ConfigRecord.h"
#include "http/HttpClient.h"
#include "link/LinkCodec.h"
#include "telemetry/EventLog.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <unistd.h>

using namespace cyclamencroft;

namespace {

constexpr int Teams = 590;

double microsecondsSince(TimePoint Start) {
  return std::chrono::duration<double, std::micro>(RuntimeClock::now() - Start)
      .count();
}

std::string makeDocument(std::uint64_t Number) {
  std::string Text = "preset = \"ordinary\"\n[services.permits]\n";
  for (int Team = 0; Team < Teams; ++Team)
    Text += "[teams.team-" + std::to_string(Team) +
            "]\nstarts_per_second = " + std::to_string(100000 + Number % 50) +
            '\n';
  return Text + "[presets.ordinary]\nqueue_limit = 20000\nhedging = false\n";
}

HttpCall appendCall(const std::string &Log, std::uint64_t Base) {
  HttpCall Call;
  Call.m_Address = Log;
  Call.m_Method = "POST";
  Call.m_Target = "/v1/streams/config/records";
  const std::string Id =
      "capacity-" + std::to_string(getpid()) + '-' + std::to_string(Base);
  Call.m_Body = formatConfigRecord(
      DocumentChange{{Id, Base, "capacity"}, makeDocument(Base)});
  return Call;
}

/// Processor time of the calling process, us. /proc/self/schedstat isn't used,
/// since it lags by up to a timer tick.
double processorMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

void measureFrame(const char *Name, const std::vector<LinkMessage> &Messages) {
  constexpr int Rounds = 2000;
  const std::string Frame = encodeFrame(Messages);
  const double Before = processorMicroseconds();
  for (int Round = 0; Round < Rounds; ++Round)
    encodeFrame(Messages);
  const double Between = processorMicroseconds();
  bool IsValid = true;
  for (int Round = 0; Round < Rounds; ++Round)
    IsValid = static_cast<bool>(decodeFrame(Frame)) && IsValid;
  const double After = processorMicroseconds();
  std::printf("frame=%s messages=%zu bytes=%zu encode_us=%.2f decode_us=%.2f "
              "valid=%d\n",
              Name, Messages.size(), Frame.size(), (Between - Before) / Rounds,
              (After - Between) / Rounds, IsValid ? 1 : 0);
}

int measureFrames() {
  QuotaReport Report;
  for (int Team = 0; Team < Teams; ++Team)
    Report.m_Demands.push_back({"team-" + std::to_string(Team), 203});
  const Dispatch Task = sampleDispatch();
  TaskResult Result;
  Result.m_Sequence = 123456;
  Result.m_HttpStatus = 200;
  Result.m_Body = Task.m_Body;
  measureFrame("heartbeat", {Heartbeat{600000}});
  measureFrame("quota-report", {Report});
  measureFrame("config-transfer",
               {ConfigTransfer{600000, 700000, "ordinary", makeDocument(0)}});
  for (const std::size_t Count : {1, 8, 64}) {
    measureFrame("dispatch", std::vector<LinkMessage>(Count, Task));
    measureFrame("result", std::vector<LinkMessage>(Count, Result));
  }
  return 0;
}

struct HoldOptions {
  int m_Pid = 0;
  std::string m_Link;
  std::string m_Http;
  std::string m_Log;
  int m_Agents = 0;
  int m_IdleSeconds = 0;
  int m_Changes = 0;
  int m_Callers = 0;
  int m_Tasks = 0;
  int m_JobSeconds = 0;
};

std::uint16_t portOf(const std::string &Address) {
  return static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.rfind(':') + 1)));
}

class Hold {
public:
  explicit Hold(HoldOptions Options) : m_Options(std::move(Options)) {}

  int run() {
    if (!connect())
      return 1;
    if (m_Options.m_IdleSeconds > 0)
      idle();
    for (int Change = 0; Change < m_Options.m_Changes; ++Change)
      publish(static_cast<ConfigVersion>(Change) + 1);
    if (m_Options.m_JobSeconds > 0)
      runJobs();
    return 0;
  }

private:
  bool connect() {
    const ProcessUsage Before = processUsage(m_Options.m_Pid);
    const ProcessUsage OwnBefore = processUsage(getpid());
    const TimePoint Start = RuntimeClock::now();
    m_Fleet = std::make_unique<AgentFleet>(m_Io, m_Options.m_Link,
                                           m_Options.m_Agents);
    while (m_Fleet->registered() < m_Options.m_Agents &&
           microsecondsSince(Start) < 60e6)
      m_Io.run_one_for(std::chrono::milliseconds(50));
    const double ElapsedUs = microsecondsSince(Start);
    m_Io.run_for(std::chrono::seconds(2));
    const ProcessUsage After = processUsage(m_Options.m_Pid);
    const ProcessUsage OwnAfter = processUsage(getpid());
    std::printf(
        "phase=connect agents=%d greeted=%d connect_ms=%.0f entry_cpu_us=%.0f "
        "entry_rss_before=%lu entry_rss=%lu entry_bytes_per_agent=%.0f "
        "own_bytes_per_agent=%.0f\n",
        m_Options.m_Agents, m_Fleet->registered(), ElapsedUs / 1000,
        After.total() - Before.total(), Before.m_ResidentBytes,
        After.m_ResidentBytes,
        static_cast<double>(After.m_ResidentBytes - Before.m_ResidentBytes) /
            m_Options.m_Agents,
        static_cast<double>(OwnAfter.m_ResidentBytes -
                            OwnBefore.m_ResidentBytes) /
            m_Options.m_Agents);
    return m_Fleet->registered() == m_Options.m_Agents;
  }

  void idle() {
    const std::uint16_t Port = portOf(m_Options.m_Link);
    const ProcessUsage Before = processUsage(m_Options.m_Pid);
    const ProcessUsage OwnBefore = processUsage(getpid());
    const SocketTraffic First = socketTraffic(Port);
    m_Io.run_for(std::chrono::seconds(m_Options.m_IdleSeconds));
    const SocketTraffic Last = socketTraffic(Port);
    const ProcessUsage After = processUsage(m_Options.m_Pid);
    const ProcessUsage OwnAfter = processUsage(getpid());
    const double PerAgent = 1.0 / m_Options.m_IdleSeconds / m_Options.m_Agents;
    std::printf(
        "phase=idle agents=%d sockets=%lu seconds=%d entry_cpu_us_s=%.0f "
        "own_cpu_us_s_agent=%.2f payload_bytes_s_agent=%.2f "
        "wire_bytes_s_agent=%.2f entry_rss=%lu\n",
        m_Options.m_Agents, Last.m_Sockets, m_Options.m_IdleSeconds,
        (After.total() - Before.total()) / m_Options.m_IdleSeconds,
        (OwnAfter.total() - OwnBefore.total()) * PerAgent,
        static_cast<double>(Last.m_PayloadOut + Last.m_PayloadIn -
                            First.m_PayloadOut - First.m_PayloadIn) *
            PerAgent,
        static_cast<double>(Last.wireBytes() - First.wireBytes()) * PerAgent,
        After.m_ResidentBytes);
  }

  /// Measures the stages of one change, from the append until the last agent
  /// has received it.
  void publish(ConfigVersion Version) {
    const std::uint16_t Port = portOf(m_Options.m_Link);
    const ProcessUsage Before = processUsage(m_Options.m_Pid);
    const SocketTraffic First = socketTraffic(Port);
    double AppendMs = 0;
    double FirstMs = 0;
    const TimePoint Start = RuntimeClock::now();
    httpCallAsync(m_Io, appendCall(m_Options.m_Log, Version),
                  [&](const HttpOutcome &) {
                    AppendMs = microsecondsSince(Start) / 1000;
                  });
    int UpdatedAgents = 0;
    while ((UpdatedAgents < m_Options.m_Agents || AppendMs == 0) &&
           microsecondsSince(Start) < 15e6) {
      m_Io.run_one_for(std::chrono::milliseconds(20));
      UpdatedAgents = m_Fleet->agentsAtVersion(Version + 1);
      if (UpdatedAgents > 0 && FirstMs == 0)
        FirstMs = microsecondsSince(Start) / 1000;
    }
    const double LastMs = microsecondsSince(Start) / 1000;
    m_Io.run_for(std::chrono::milliseconds(500));
    const SocketTraffic Last = socketTraffic(Port);
    std::printf("phase=change agents=%d at_version=%d append_ms=%.1f "
                "first_view_ms=%.1f "
                "last_view_ms=%.1f entry_cpu_us=%.0f wire_bytes_agent=%.1f\n",
                m_Options.m_Agents, UpdatedAgents, AppendMs, FirstMs, LastMs,
                processUsage(m_Options.m_Pid).total() - Before.total(),
                static_cast<double>(Last.wireBytes() - First.wireBytes()) /
                    m_Options.m_Agents);
  }

  void runJobs() {
    // Without agents the context has stopped, since it had no work left.
    m_Io.restart();
    const ProcessUsage Before = processUsage(m_Options.m_Pid);
    const std::uint64_t Tasks = m_Fleet->tasks();
    const std::uint64_t Frames = m_Fleet->frames();
    m_End = RuntimeClock::now() + std::chrono::seconds(m_Options.m_JobSeconds);
    for (int Caller = 0; Caller < m_Options.m_Callers; ++Caller)
      submit(Caller);
    while (m_InFlight > 0)
      m_Io.run_one();
    const ProcessUsage After = processUsage(m_Options.m_Pid);
    const auto Done = static_cast<double>(m_Fleet->tasks() - Tasks);
    std::printf(
        "phase=jobs agents=%d callers=%d tasks_per_job=%d completed=%lu "
        "other=%lu tasks_s=%.0f tasks_per_frame=%.2f "
        "entry_us_task=%.2f entry_rss=%lu entry_threads_us_task=",
        m_Options.m_Agents, m_Options.m_Callers, m_Options.m_Tasks, m_Completed,
        m_NotCompleted, Done / m_Options.m_JobSeconds,
        Done / static_cast<double>(m_Fleet->frames() - Frames),
        (After.total() - Before.total()) / Done, After.m_ResidentBytes);
    for (std::size_t I = 0; I < After.m_Threads.size(); ++I)
      std::printf("%s%.2f", I > 0 ? "," : "",
                  (After.m_Threads[I] - Before.m_Threads[I]) / Done);
    std::printf("\n");
  }

  void submit(int Caller) {
    ++m_InFlight;
    HttpCall Call;
    Call.m_Address = m_Options.m_Http;
    Call.m_Method = "POST";
    const std::string Body(100, 'x');
    Call.m_Target = "/v1/services/permits/requests";
    Call.m_Body = Body;
    if (m_Options.m_Tasks > 1) {
      Call.m_Target = "/v1/services/permits/jobs";
      Call.m_Body = "{\"tasks\": [\"" + Body + '"';
      for (int Task = 1; Task < m_Options.m_Tasks; ++Task)
        Call.m_Body += ", \"" + Body + '"';
      Call.m_Body += "]}";
    }
    Call.m_Headers = {
        {"Cyclamencroft-Team", "team-" + std::to_string(Caller % Teams)}};
    httpCallAsync(m_Io, std::move(Call), [this, Caller](HttpOutcome Outcome) {
      --m_InFlight;
      const auto *Response = std::get_if<HttpResponse>(&Outcome);
      if (Response != nullptr && Response->m_Status == 200)
        ++m_Completed;
      else if (++m_NotCompleted <= 3)
        std::fprintf(stderr, "answer: %s\n",
                     Response == nullptr ? "none" : Response->m_Body.c_str());
      if (RuntimeClock::now() < m_End)
        submit(Caller);
    });
  }

  HoldOptions m_Options;
  boost::asio::io_context m_Io;
  std::unique_ptr<AgentFleet> m_Fleet;
  TimePoint m_End{};
  int m_InFlight = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_NotCompleted = 0;
};

/// After the output "ready" tools/capacity kills the entry, starts another at
/// the same address and writes its process id to \p PidFile.
int measureRestart(const std::string &Link, int Agents,
                   const std::string &PidFile) {
  boost::asio::io_context Io;
  AgentFleet Fleet(Io, Link, Agents);
  const TimePoint Deadline = RuntimeClock::now() + std::chrono::seconds(60);
  const auto WaitFor = [&](auto Condition) {
    while (!Condition() && RuntimeClock::now() < Deadline)
      Io.run_one_for(std::chrono::milliseconds(20));
  };
  WaitFor([&] { return Fleet.registered() == Agents; });
  std::printf("ready\n");
  std::fflush(stdout);
  WaitFor([&] { return Fleet.openLinks() == 0; });
  const TimePoint Lost = RuntimeClock::now();
  WaitFor([&] { return Fleet.registered() > 0; });
  const double FirstMs = microsecondsSince(Lost) / 1000;
  WaitFor([&] { return Fleet.registered() == Agents; });
  const double LastMs = microsecondsSince(Lost) / 1000;
  Io.run_for(std::chrono::seconds(1));
  int Pid = 0;
  std::ifstream(PidFile) >> Pid;
  const ProcessUsage Entry = processUsage(Pid);
  std::printf("phase=restart agents=%d greeted=%d first_ms=%.0f last_ms=%.0f "
              "entry_cpu_us_since_start=%.0f entry_rss=%lu\n",
              Agents, Fleet.registered(), FirstMs, LastMs, Entry.total(),
              Entry.m_ResidentBytes);
  return Fleet.registered() == Agents ? 0 : 1;
}

int runCommand(const std::vector<std::string> &Words) {
  if (Words.size() == 1 && Words[0] == "frames")
    return measureFrames();
  if (Words.size() == 3 && Words[0] == "publish")
    return httpCall(appendCall(Words[1], std::stoull(Words[2]))) ? 0 : 1;
  if (Words.size() == 4 && Words[0] == "restart")
    return measureRestart(Words[1], std::stoi(Words[2]), Words[3]);
  if (Words.size() == 11 && Words[0] == "hold")
    return Hold({std::stoi(Words[1]), Words[2], Words[3], Words[4],
                 std::stoi(Words[5]), std::stoi(Words[6]), std::stoi(Words[7]),
                 std::stoi(Words[8]), std::stoi(Words[9]),
                 std::stoi(Words[10])})
        .run();
  std::fprintf(stderr, "usage: see the head of this file\n");
  return 2;
}

} // namespace

int main(int Count, char **Arguments) {
  EventLog::open("/dev/null", "capacity-measure");
  return runCommand({Arguments + 1, Arguments + Count});
}
