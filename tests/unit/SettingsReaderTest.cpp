// Tests the checks of the daemons' settings files.
#include "settings/SettingsReader.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <unistd.h>

using namespace cyclamencroft;

namespace {

/// A temporary settings file that the destructor removes.
class ScratchFile {
public:
  explicit ScratchFile(const std::string &Text)
      : m_Name("/tmp/cyclamencroft-settings-" + std::to_string(::getpid()) +
               '-' + std::to_string(++Count)) {
    std::ofstream(m_Name) << Text;
  }
  ~ScratchFile() { ::unlink(m_Name.c_str()); }
  ScratchFile(const ScratchFile &) = delete;
  ScratchFile &operator=(const ScratchFile &) = delete;

  const std::string &name() const { return m_Name; }

private:
  static inline int Count = 0;
  std::string m_Name;
};

/// Faults of an entry's settings without the file name that precedes each.
std::vector<std::string> entryFaults(const std::string &Text) {
  const ScratchFile File(Text);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::vector<std::string>> {
        BOOST_LEAF_CHECK(readEntrySettings(File.name()));
        return std::vector<std::string>{};
      },
      [&](const SettingsFaults &Found) {
        std::vector<std::string> Faults;
        for (const std::string &Fault : Found.m_Faults)
          Faults.push_back(Fault.substr(File.name().size()));
        return Faults;
      },
      [] { return std::vector<std::string>{"unexpected error"}; });
}

const std::string Minimal = "id = \"e1\"\nfailure_domain = \"quimper\"\n";
const std::string WithLog = "[log]\naddress = \"127.0.0.1:7000\"\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

// Guards against keys that are accepted but stored in the wrong member.
BOOST_AUTO_TEST_CASE(EveryEntryKeyIsStored) {
  const ScratchFile File(
      Minimal + "peers = [\"10.0.0.2:7200\", \"[::1]:7200\"]\nentries = 3\n" +
      WithLog +
      "[listen]\nhttp = \"0.0.0.0:8080\"\nlink = \"0.0.0.0:7200\"\n"
      "[limits]\nhttp_threads = 4\nmax_connections = 100\n"
      "[telemetry]\nlog_file = \"l\"\nspan_file = \"s\"\n");
  const auto Read = readEntrySettings(File.name());
  BOOST_REQUIRE(Read);
  const EntrySettings &Settings = Read.value();
  BOOST_TEST(Settings.m_Id == "e1");
  BOOST_TEST(Settings.m_FailureDomain == "quimper");
  BOOST_TEST(Settings.m_Peers.size() == 2);
  BOOST_TEST(Settings.m_Entries == 3);
  BOOST_TEST(Settings.m_HttpListen == "0.0.0.0:8080");
  BOOST_TEST(Settings.m_LinkListen == "0.0.0.0:7200");
  BOOST_TEST(Settings.m_LogAddress == "127.0.0.1:7000");
  BOOST_TEST(Settings.m_HttpThreads == 4);
  BOOST_TEST(Settings.m_MaxConnections == 100);
  BOOST_TEST(Settings.m_LogFile == "l");
  BOOST_TEST(Settings.m_SpanFile == "s");
}

// Guards against reports that stop at the first fault, so that an operator
// needs one restart per fault.
BOOST_AUTO_TEST_CASE(AllFaultsAreReportedTogether) {
  const auto Faults = entryFaults(
      "id = \"e 1\"\nentries = 0\npeers = [\"10.0.0.2:7200\", "
      "\"10.0.0.2:7200\"]\ncolour = 3\n[listen]\nhttp = 8080\n[limits]\n"
      "http_threads = 65\n[log]\naddress = \"log.example:7000\"\n");
  BOOST_REQUIRE(Faults.size() == 8);
  BOOST_TEST(Faults[1] == ":2: entries = 0: must be an integer from 1 to 256");
  BOOST_TEST(Faults[7] == ": failure_domain is missing: must be a name of 1 "
                          "to 64 letters, digits, '-', '_' or '.'");
}

// Guards against misspelt keys that silently leave the default in effect.
BOOST_AUTO_TEST_CASE(UnknownKeysAndTablesAreFaults) {
  BOOST_TEST(
      entryFaults(Minimal + "listen.htp = \"1.2.3.4:1\"\n" + WithLog).size() ==
      1);
  BOOST_TEST(entryFaults(Minimal + WithLog + "[limit]\n").size() == 1);
  BOOST_TEST(
      entryFaults(Minimal + "\"listen.http\" = \"1.2.3.4:1\"\n" + WithLog)
          .size() == 1);
  BOOST_TEST(entryFaults(Minimal + WithLog + "[limits]\n").empty());
}

// Guards against accepting host names and missing ports, which would fail only
// when the process connects.
BOOST_AUTO_TEST_CASE(AddressesMustBeIpAndPort) {
  for (const char *Address :
       {"localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1:1x", "::1:7000", "[127.0.0.1]:70", ":70", "1.2.3:70", ""})
    BOOST_TEST(entryFaults(Minimal + "[log]\naddress = \"" + Address + "\"\n")
                       .size() == 1,
               Address);
}

// Guards against a syntax error or a missing file that aborts the process.
BOOST_AUTO_TEST_CASE(UnreadableFilesGiveOneFaultWithThePlace) {
  const auto Faults = entryFaults("id = \"e1\"\n[listen\n");
  BOOST_REQUIRE(Faults.size() == 1);
  BOOST_TEST(Faults[0].rfind(":2: not valid TOML", 0) == 0);
  BOOST_TEST(!readAgentSettings("/nonexistent/agent.toml"));
}

// Guards against an agent without entries, which would wait without any error.
BOOST_AUTO_TEST_CASE(AgentNeedsItsEntries) {
  const ScratchFile Without(Minimal);
  BOOST_TEST(!readAgentSettings(Without.name()));
  const ScratchFile Empty(Minimal + "entries = []\n");
  BOOST_TEST(!readAgentSettings(Empty.name()));
  const ScratchFile File(Minimal +
                         "rack = \"r1\"\nentries = [\"127.0.0.1:7200\"]\n");
  const auto Read = readAgentSettings(File.name());
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read.value().m_Rack == "r1");
  BOOST_TEST(Read.value().m_Entries.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
