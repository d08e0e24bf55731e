// Configuration versions, peer entries and quota reports.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(EntryPeers, EntryFixture)

// Guards against a late or repeated adoption that reverts a newer change.
BOOST_AUTO_TEST_CASE(LowerVersionIsNeverAdopted) {
  m_Entry.adopt(5, "hedged");
  m_Entry.adopt(4, "ordinary");
  m_Entry.adopt(5, "ordinary");
  BOOST_TEST(m_Entry.status().m_ConfigVersion == 5U);
  BOOST_TEST(m_Entry.status().m_Preset == "hedged");
}

// Guards against peers that miss a version, and against transfers to peers that
// have it.
BOOST_AUTO_TEST_CASE(PeersThatAreBehindGetTheConfiguration) {
  const LinkId Behind = m_Entry.connectPeer("entry-brest-1", 0);
  const LinkId Current = m_Entry.connectPeer("entry-brest-2", 1);
  BOOST_TEST(m_Entry.sent<EntryHello>(Behind).size() == 1U);
  const auto Transfers = m_Entry.sent<ConfigTransfer>(Behind);
  BOOST_REQUIRE(Transfers.size() == 1U);
  BOOST_TEST(Transfers[0].m_Document == "document 1");
  BOOST_TEST(m_Entry.sent<ConfigTransfer>(Current).empty());
  m_Entry.receive(Current, Heartbeat{2});
  m_Entry.adopt(2);
  BOOST_TEST(m_Entry.sent<ConfigTransfer>(Behind).size() == 1U);
  BOOST_TEST(m_Entry.sent<ConfigTransfer>(Current).empty());
}

// Guards against serving an old configuration for longer than 7 s after a newer
// version was announced, and against refusing work too early.
BOOST_AUTO_TEST_CASE(EntryBehindForSevenSecondsTakesNoWork) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.receive(Agent, Heartbeat{3});
  m_Entry.advance(6900ms);
  BOOST_TEST(m_Entry.status().m_Ready);
  m_Entry.advance(100ms);
  BOOST_TEST(!m_Entry.status().m_Ready);
  m_Entry.submit(1);
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::NoConfiguration));
  m_Entry.adopt(3);
  BOOST_TEST(m_Entry.status().m_Ready);
}

// Guards against announcements of newer versions that restart the limit
// although none of the versions arrives.
BOOST_AUTO_TEST_CASE(NewerVersionsDoNotExtendTheLimit) {
  const LinkId Peer = m_Entry.connectPeer("entry-brest-1", 2);
  m_Entry.advance(4s);
  m_Entry.receive(Peer, Heartbeat{3});
  m_Entry.advance(2s);
  m_Entry.adopt(2);
  m_Entry.advance(2s);
  BOOST_TEST(m_Entry.status().m_Ready);
  m_Entry.advance(3s);
  BOOST_TEST(!m_Entry.status().m_Ready);
}

// Guards against an entry that accepts work without a configuration.
BOOST_AUTO_TEST_CASE(EntryWithoutConfigurationServesNothing) {
  EntryHarness Entry{EntryHarness::WithoutConfiguration{}};
  const LinkId Agent = Entry.connect("a");
  BOOST_TEST(Entry.sent<ConfigView>(Agent).empty());
  Entry.submit(1);
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::NoConfiguration));
  Entry.adopt(1);
  BOOST_TEST(Entry.sent<ConfigView>(Agent).size() == 1U);
}

// Guards against peers that fall back to equal shares because reports are
// missing.
BOOST_AUTO_TEST_CASE(PeersGetAQuotaReportEachSecond) {
  const LinkId Peer = m_Entry.connectPeer("entry-brest-1", 1);
  m_Entry.advance(3s);
  BOOST_TEST(m_Entry.sent<QuotaReport>(Peer).size() == 3U);
  m_Entry.close(Peer);
  m_Entry.advance(3s);
  BOOST_TEST(m_Entry.sent<QuotaReport>(Peer).empty());
}

// Guards against dividing slots by the number of links instead of entries.
BOOST_AUTO_TEST_CASE(TwoLinksToOnePeerCountOnce) {
  m_Entry.connectPeer("entry-brest-1", 1);
  const LinkId Second = m_Entry.connectPeer("entry-brest-1", 1);
  auto Hello = m_Entry.sent<EntryHello>(Second);
  BOOST_REQUIRE(Hello.size() == 1U);
  BOOST_TEST(Hello[0].m_Entries == 2U);
  m_Entry.close(Second);
  Hello = m_Entry.sent<EntryHello>(m_Entry.connect("a"));
  BOOST_REQUIRE(Hello.size() == 1U);
  BOOST_TEST(Hello[0].m_Entries == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
