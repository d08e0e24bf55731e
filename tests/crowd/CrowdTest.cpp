// Crowds of callers that send requests without end. The entry must live, stay
// within its memory and answer an ordinary caller.
#include "crowd/Crowd.h"

#include "http/HttpClient.h"
#include "platform/StoreWire.h"
#include "soak/AddressClaim.h"
#include "soak/SoakDeployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cyclamencroft;
using namespace cyclamencroft::crowd;
using namespace cyclamencroft::soak;
using namespace std::chrono_literals;

namespace {

/// Peak memory of an entry under any of these crowds. The smallest host has
/// 160 MB, and an idle entry takes 10 MB.
constexpr std::uint64_t MaxResidentKiB = std::uint64_t{64} * 1024;

/// Descriptors that may be open in addition to those before the crowd, once the
/// crowd has left.
constexpr std::size_t MaxLeftoverDescriptors = 16;

constexpr std::size_t KiB = 1024;
constexpr std::size_t BodyBytes = 448 * KiB;

std::string makeFolder() {
  std::string Path = std::filesystem::temp_directory_path() / "crowd-XXXXXX";
  BOOST_REQUIRE(::mkdtemp(Path.data()) != nullptr);
  return Path;
}

SoakSettings makeSettings() {
  SoakSettings Settings;
  Settings.m_Entries = 1;
  Settings.m_Endpoints = 1;
  Settings.m_Domains = 1;
  Settings.m_Folder = makeFolder();
  return Settings;
}

std::string chunk(std::size_t Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes << "\r\n" << std::string(Bytes, ' ') << "\r\n";
  return Text.str();
}

/// One entry, one agent and one endpoint, with a store.
struct Deployment {
  const SoakSettings m_Settings = makeSettings();
  AddressClaim m_Claim;
  boost::asio::io_context m_Io{1};
  RandomSource m_Random{1};
  SoakDeployment m_Daemons{m_Io, m_Settings,
                           LoopbackAddresses(m_Claim.octet())};
  std::uint64_t m_Jobs = 0;

  Deployment() {
    const nlohmann::json Route = {{"name", "desk"},
                                  {"host", "crowd.example"},
                                  {"path_prefix", "/desk/"},
                                  {"service", "desk"},
                                  {"timeout_ms", 4000}};
    m_Daemons.store().append(
        platform::OperatorTopic,
        {platform::ConfigurationKey,
         nlohmann::json{{"version", 1}, {"routes", {Route}}}.dump()});
    m_Daemons.makeEndpoints(m_Random, [](std::uint32_t, Size) {
      return EndpointObserver{
          [](const std::string &) {}, [](const std::string &) {},
          [](const std::string &, const RunName &, const std::string &) {},
          [](const std::string &, const RunName &, RunEnd) {}};
    });
    m_Daemons.start();
    BOOST_REQUIRE(isServed());
  }
  ~Deployment() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Settings.m_Folder, Ignored);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  DaemonProcess &entry() { return *m_Daemons.entries()[0]; }

  /// Whether an ordinary caller, who tries again when refused, gets an answer.
  bool isServed() {
    for (int Attempt = 0; Attempt < 20; ++Attempt) {
      if (submit() == 200)
        return true;
      m_Io.run_for(500ms);
    }
    return false;
  }

  /// Returns the status of the answer; 0 for none.
  unsigned submit() {
    const nlohmann::json Step = {
        {"count", 1}, {"cpu", 1000}, {"mem_mb", 64}, {"estimated_ms", 20}};
    HttpCall Call;
    Call.m_Address = m_Daemons.addresses().jobs(0);
    Call.m_Method = "POST";
    Call.m_Target = "/desk/" + toHex(JobId{++m_Jobs});
    Call.m_Headers = {{"Host", "crowd.example"}};
    Call.m_Body = nlohmann::json{
        {"specification", "run-ms=20"},
        {"best_effort", true},
        {"steps",
         {Step}}}.dump();
    std::optional<unsigned> Status;
    httpCallAsync(m_Io, std::move(Call), [&](const HttpOutcome &Outcome) {
      const auto *Response = std::get_if<HttpResponse>(&Outcome);
      Status = Response ? Response->m_Status : 0;
    });
    while (!Status)
      m_Io.run_one();
    return *Status;
  }

  std::uint64_t peakResidentKiB() {
    std::ifstream File("/proc/" + std::to_string(entry().pid()) + "/status");
    for (std::string Line; std::getline(File, Line);)
      if (Line.rfind("VmHWM:", 0) == 0)
        return std::stoull(Line.substr(Line.find_first_of("0123456789")));
    return 0;
  }
  std::size_t openDescriptors() {
    const std::filesystem::directory_iterator Open(
        "/proc/" + std::to_string(entry().pid()) + "/fd");
    return static_cast<std::size_t>(
        std::distance(begin(Open), std::filesystem::directory_iterator{}));
  }

  /// Lets the crowd in, and checks the entry while it stays and after it.
  void play(CrowdOptions Options) {
    Options.m_Address = m_Daemons.addresses().jobs(0);
    Options.m_Opening = "POST /desk/00000000000000ff HTTP/1.1\r\n"
                        "Host: crowd.example\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n" +
                        Options.m_Opening;
    const std::size_t DescriptorsBefore = openDescriptors();
    {
      Crowd Callers(m_Io, Options);
      while (Callers.finished() < Options.m_Callers)
        m_Io.run_one();
      BOOST_TEST(isServed());
    }
    m_Io.run_for(2s);
    BOOST_TEST(!entry().check(RuntimeClock::now()));
    BOOST_TEST(isServed());
    BOOST_TEST_MESSAGE("peak KiB " << peakResidentKiB());
    BOOST_TEST(peakResidentKiB() <= MaxResidentKiB);
    BOOST_TEST(openDescriptors() <= DescriptorsBefore + MaxLeftoverDescriptors);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Crowds, Deployment)

// Guards against a line that is buffered until the memory is used up.
BOOST_AUTO_TEST_CASE(TrailerLineWithoutEnd) {
  play({"", 40, chunk(2) + "0\r\nX-Trailer: ", std::string(64 * KiB, 'x'), 64});
}

// Guards against header lines after the last chunk that no limit counts.
BOOST_AUTO_TEST_CASE(TrailersWithoutEnd) {
  play({"", 40, chunk(2) + "0\r\n",
        "X-Trailer: " + std::string(1000, 'x') + "\r\n", 4096});
}

// Guards against bodies that are each within the limit and together exceed the
// memory.
BOOST_AUTO_TEST_CASE(LargeChunksLeftOpen) {
  play({"", 200, "", chunk(64 * KiB), BodyBytes / (64 * KiB)});
}

BOOST_AUTO_TEST_CASE(SmallChunksLeftOpen) {
  std::string Pieces;
  for (int Count = 0; Count < 1024; ++Count)
    Pieces += chunk(8);
  play({"", 200, "", Pieces, BodyBytes / (8 * KiB)});
}

BOOST_AUTO_TEST_SUITE_END()
