// Measures how long a restarted entry takes to read the configuration from the
// log, with and without snapshots: 820 changes a day over 2 days, documents of
// 590 teams.
#include "bench/StandinLog.h"
#include "config/ConfigDocument.h"
#include "config/ConfigWatcher.h"
#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>

#include <sys/resource.h>

#include <iostream>
#include <optional>

namespace {

using namespace cyclamencroft;

constexpr int Teams = 590;
constexpr std::uint64_t Changes = std::uint64_t{2} * 820;

std::string makeDocument(std::uint64_t Number) {
  std::string Text = "preset = \"ordinary\"\n[services.permits]\n";
  for (int Team = 0; Team < Teams; ++Team)
    Text += "[teams.team-" + std::to_string(Team) +
            "]\nstarts_per_second = " + std::to_string(200 + Number % 50) +
            '\n';
  return Text + "[presets.ordinary]\n[presets.peak]\nhedging = false\n";
}

/// Appends the changes, with a snapshot after every \p Spacing changes; no
/// snapshots when it is 0.
void fill(StandinLog &Log, std::uint64_t Spacing) {
  std::uint64_t Offset = 0;
  for (std::uint64_t Base = 0; Base < Changes; ++Base) {
    const std::string Document = makeDocument(Base);
    Offset = Log.append("config", formatConfigRecord(DocumentChange{
                                      {"change", Base, "measure"}, Document}));
    if (Spacing > 0 && (Base + 1) % Spacing == 0)
      Log.append("config", formatConfigRecord(Snapshot{Base + 1, Offset + 1,
                                                       "ordinary", Document}));
  }
}

double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_THREAD, &Usage);
  return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
         static_cast<double>(Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec) /
             1e6;
}

/// Measures the time from start to adoption, in ms, and prints one line.
void measure(std::uint64_t Spacing, std::uint64_t Tail) {
  StandinLogOptions LogOptions;
  LogOptions.m_Retention = 2 * Changes;
  StandinLog Log(LogOptions);
  fill(Log, Spacing);
  ConfigWatcherOptions Options;
  Options.m_Tail = Tail;
  Options.m_AppendsSnapshots = false;
  boost::asio::io_context Io;
  ConfigVersion Adopted = 0;
  ConfigWatcher Watcher(
      Io, Log.address(),
      [&](const ConfigStatePtr &State) {
        Adopted = State->m_Version;
        Io.stop();
      },
      Options);
  const TimePoint Start = RuntimeClock::now();
  const double ProcessorStart = processorSeconds();
  Watcher.start();
  Io.run();
  const Duration Taken = RuntimeClock::now() - Start;
  std::cout << "spacing=" << Spacing << " tail=" << Tail
            << " snapshots=" << (Spacing > 0 ? Changes / Spacing : 0)
            << " version=" << Adopted << " reads=" << Log.counts().m_Reads
            << " restart_ms=" << static_cast<double>(Taken.count()) / 1000
            << " processor_ms=" << (processorSeconds() - ProcessorStart) * 1000
            << '\n';
}

} // namespace

int main() {
  EventLog::open("/dev/null", "config-measure");
  std::cout << "document_bytes=" << makeDocument(0).size() << '\n';
  measure(0, 0);
  measure(0, TailRecords);
  for (const std::uint64_t Spacing : {16, 32, 64, 128, 256}) {
    measure(Spacing, 0);
    measure(Spacing, 2 * Spacing);
  }
  return 0;
}
