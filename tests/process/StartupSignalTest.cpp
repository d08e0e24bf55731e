// Signals that arrive while a program reads its settings. The settings file is
// a pipe, so the test decides how long that takes.
#include "support/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace cyclamencroft::test;
using namespace std::chrono_literals;

namespace {

struct Program {
  std::string m_Binary;
  std::string m_Settings;
};

const std::array<Program, 4> Programs = {{
    {"cyclamencroft-job-entry",
     "id = \"e\"\nfailure_domain = \"d\"\nendpoint_lease_ms = 1000\n"
     "[listen]\njobs = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
     "links = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
     "[store]\naddress = \"127.0.0.1:1\"\n"},
    {"cyclamencroft-run-agent",
     "id = \"a\"\nfailure_domain = \"d\"\nendpoint_lease_ms = 1000\n"
     "heartbeat_interval_ms = 500\n"
     "[listen]\nendpoint = \"127.0.0.1:0\"\nmetrics = \"127.0.0.1:0\"\n"
     "[entries]\nseeds = []\nlink_port = 1\n"
     "[store]\naddress = \"127.0.0.1:1\"\n"},
    {"cyclamencroft-entry",
     "id = \"e\"\nfailure_domain = \"d\"\npeers = []\n"
     "[listen]\nhttp = \"127.0.0.1:0\"\nlink = \"127.0.0.1:0\"\n"
     "[log]\naddress = \"127.0.0.1:1\"\n"},
    {"cyclamencroft-agent", "id = \"a\"\nfailure_domain = \"d\"\nrack = \"r\"\n"
                            "entries = [\"127.0.0.1:1\"]\n"},
}};

/// A program that reads its settings from a pipe.
class StartingProgram {
public:
  explicit StartingProgram(const Program &Started)
      : m_Folder(makeFolder()), m_Settings(Started.m_Settings),
        m_Process(Started.m_Binary, {"--settings", makePipe()},
                  m_Folder + "/out") {
    // Succeeds only while the program has the pipe open for reading.
    for (int Attempt = 0; m_Pipe < 0 && Attempt < 5000; ++Attempt) {
      m_Pipe = ::open(pipePath().c_str(), O_WRONLY | O_NONBLOCK);
      std::this_thread::sleep_for(1ms);
    }
    BOOST_REQUIRE(m_Pipe >= 0);
  }
  ~StartingProgram() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
  }
  StartingProgram(const StartingProgram &) = delete;
  StartingProgram &operator=(const StartingProgram &) = delete;

  ChildProcess &process() { return m_Process; }

  void writeSettings() {
    const auto Written = ::write(m_Pipe, m_Settings.data(), m_Settings.size());
    BOOST_REQUIRE(Written == static_cast<ssize_t>(m_Settings.size()));
    ::close(m_Pipe);
  }

private:
  static std::string makeFolder() {
    std::string Path =
        std::filesystem::temp_directory_path() / "startup-XXXXXX";
    BOOST_REQUIRE(::mkdtemp(Path.data()) != nullptr);
    return Path;
  }
  std::string pipePath() const { return m_Folder + "/settings.toml"; }
  std::string makePipe() const {
    BOOST_REQUIRE(::mkfifo(pipePath().c_str(), S_IRUSR | S_IWUSR) == 0);
    return pipePath();
  }

  const std::string m_Folder;
  const std::string m_Settings;
  int m_Pipe = -1;
  ChildProcess m_Process;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StartupSignals)

// Guards against a program that a reload signal ends because it arrives before
// the handler is installed.
BOOST_AUTO_TEST_CASE(AReloadSignalDuringTheStartIsHandledAfterIt) {
  for (const Program &Each : Programs)
    BOOST_TEST_CONTEXT(Each.m_Binary) {
      StartingProgram Starting(Each);
      Starting.process().sendSignal(SIGHUP);
      Starting.writeSettings();
      BOOST_REQUIRE_NO_THROW(Starting.process().waitForEvent("reload", 10s));
      Starting.process().sendSignal(SIGTERM);
      BOOST_REQUIRE(Starting.process().waitForExit(10s));
      BOOST_TEST(Starting.process().exitCode() == 0);
    }
}

// Guards against a program that a shutdown signal ends by its default action,
// without a line in the log.
BOOST_AUTO_TEST_CASE(AShutdownSignalDuringTheStartIsHandledAfterIt) {
  for (const Program &Each : Programs)
    BOOST_TEST_CONTEXT(Each.m_Binary) {
      StartingProgram Starting(Each);
      Starting.process().sendSignal(SIGTERM);
      Starting.writeSettings();
      BOOST_REQUIRE(Starting.process().waitForExit(10s));
      BOOST_TEST(Starting.process().exitCode() == 0);
      BOOST_TEST(Starting.process().output().find("event=signal") !=
                 std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
