// Tests the parsing of the configuration document and of the records of its
// stream.
#include "config/ConfigDocument.h"
#include "ConfigSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(ConfigurationDocument)

// Guards against keys that are accepted but stored in the wrong member.
BOOST_AUTO_TEST_CASE(EveryKeyIsStored) {
  DiagnosticList Diagnostics("d");
  const auto Read = parseConfigDocument(
      "preset = \"p\"\n[services.s]\ndefault_deadline_ms = 500\n"
      "max_deadline_ms = 900\n[teams.t]\nstarts_per_second = 7\n[presets.p]\n"
      "routing = \"round-robin\"\nadmits_work = false\nqueue_limit = 5\n"
      "retry_percent = 3\nhedging = true\nhedge_after = 2\nagent_queue = 4\n"
      "drained_failure_domains = [\"brest\"]\n",
      Diagnostics);
  BOOST_REQUIRE(Read);
  const Configuration &Config = Read->m_Configuration;
  const Preset &P = Config.m_Presets.at("p");
  BOOST_TEST(Read->m_Preset == "p");
  const ServiceConfig &Service = Config.m_Services.at("s");
  BOOST_TEST(Service.m_DefaultDeadline.count() == 500000);
  BOOST_TEST(Service.m_MaxDeadline.count() == 900000);
  BOOST_TEST(Config.m_Teams.at("t").m_StartsPerSecond == 7);
  BOOST_TEST(std::holds_alternative<RoundRobinPolicy>(P.m_Routing));
  BOOST_TEST(!P.m_AdmitsWork);
  BOOST_TEST(P.m_QueueLimit == 5);
  BOOST_TEST(P.m_RetryPercent == 3);
  BOOST_TEST(P.m_Hedging);
  BOOST_TEST(P.m_HedgeAfter == 2.0);
  BOOST_TEST(P.m_AgentQueue == 4);
  BOOST_TEST(P.m_DrainedFailureDomains == std::vector<std::string>{"brest"},
             boost::test_tools::per_element());
}

// Guards against reports that stop at the first fault or lack its location.
BOOST_AUTO_TEST_CASE(AllFaultsAreReportedWithTheirPlace) {
  DiagnosticList Diagnostics("d.toml");
  BOOST_TEST(!parseConfigDocument(
      "preset = \"calm\"\ncolour = 1\n[services.s]\nmax_deadline_ms = 5\n"
      "[teams]\nt = 3\n[teams.\"a b\"]\n[presets.p]\nrouting = \"best\"\n"
      "hedge_after = nan\nretry_percent = 101\nqueue_limit = -1\n",
      Diagnostics));
  const std::vector<std::string> &Found = Diagnostics.faults();
  const auto Mentions = [&Found](const std::string &Text) {
    for (const std::string &Fault : Found)
      if (Fault.find(Text) != std::string::npos)
        return true;
    return false;
  };
  BOOST_TEST(Found.size() == 9);
  BOOST_TEST(Mentions("d.toml:2: colour = 1: unknown key"));
  BOOST_TEST(Mentions("services.s: max_deadline_ms must not be below"));
  BOOST_TEST(Mentions("teams.t = 3: must be a table"));
  BOOST_TEST(Mentions("teams.\"a b\": the name must be"));
  BOOST_TEST(Mentions("presets.p.routing = 'best': must be one of"));
  BOOST_TEST(Mentions("presets.p.hedge_after = nan: must be a number"));
  BOOST_TEST(Mentions("presets.p.retry_percent = 101: must be an integer"));
  BOOST_TEST(Mentions("presets.p.queue_limit = -1: must be an integer"));
  BOOST_TEST(Mentions("preset = \"calm\": must name one of the presets"));
}

// Guards against accepting a document without a preset or service, or one above
// the size limit.
BOOST_AUTO_TEST_CASE(EmptyAndOversizedDocumentsAreInvalid) {
  DiagnosticList Empty("d");
  BOOST_TEST(!parseConfigDocument("", Empty));
  BOOST_TEST(Empty.faults().size() == 3);
  DiagnosticList Large("d");
  BOOST_TEST(!parseConfigDocument(
      sampleDocument() + std::string(MaxDocumentBytes, '#'), Large));
  BOOST_TEST(Large.faults().size() == 1);
}

// Guards against fields that are lost between formatting and parsing.
BOOST_AUTO_TEST_CASE(RecordsSurviveTheRoundTrip) {
  std::string Reason;
  const auto Change = parseConfigRecord(documentRecord("c", 4, "a\nb"), Reason);
  BOOST_REQUIRE(Change);
  const auto &Document = std::get<DocumentChange>(*Change);
  BOOST_TEST(Document.m_Header.m_ChangeId == "c");
  BOOST_TEST(Document.m_Header.m_Base == 4);
  BOOST_TEST(Document.m_Header.m_Author == "test");
  BOOST_TEST(Document.m_Document == "a\nb");
  const auto Switch = parseConfigRecord(presetRecord("c", 4, "peak"), Reason);
  BOOST_TEST(std::get<PresetSwitch>(*Switch).m_Preset == "peak");
  const auto State = parseConfigRecord(snapshotRecord(9, 12, "peak"), Reason);
  BOOST_TEST(std::get<Snapshot>(*State).m_Version == 9);
  BOOST_TEST(std::get<Snapshot>(*State).m_Offset == 12);
}

// Guards against exceptions and silent conversions on malformed records.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreRejectedWithReason) {
  for (const char *Text :
       {"", "{", "[]", "3", "{\"kind\":\"other\"}",
        "{\"kind\":\"preset\",\"change\":\"c\",\"base\":-1,\"author\":\"\","
        "\"preset\":\"p\"}",
        "{\"kind\":\"preset\",\"change\":\"c\",\"base\":1.5,\"author\":\"\","
        "\"preset\":\"p\"}",
        "{\"kind\":\"preset\",\"change\":\"c\",\"author\":\"\"}"}) {
    std::string Reason;
    BOOST_TEST(!parseConfigRecord(Text, Reason), Text);
    BOOST_TEST(!Reason.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
