// HTTP interface of an agent: validation of announcements, status codes.
#include "agent/AgentHttpRoutes.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace cyclamencroft;

namespace {

struct RoutesFixture {
  HttpResponse post(const std::string &Body) {
    return m_Routes.handle("POST", "/v1/endpoint", Body);
  }

  std::vector<AgentEvent> m_Events;
  AgentStatusReport m_Status;
  AgentHttpRoutes m_Routes{
      {[this](AgentEvent Event) { m_Events.push_back(std::move(Event)); },
       [this] { return m_Status; }, [] { return std::string("metric 1\n"); }}};
};

const std::string Valid = R"({"service": "permit-desk",
  "address": "127.0.0.1:7000", "slots": 8, "connections": 64, "cores": 4,
  "memory_mib": 2048, "accelerators": 1})";

std::string replaced(const std::string &Old, const std::string &New) {
  std::string Text = Valid;
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentHttp, RoutesFixture)

// Guards against fields of an announcement that are lost or swapped.
BOOST_AUTO_TEST_CASE(AllAnnouncementFieldsAreRead) {
  BOOST_TEST(post(Valid).m_Status == 200U);
  BOOST_REQUIRE_EQUAL(m_Events.size(), 1U);
  const auto Endpoint = std::get<EndpointAnnounced>(m_Events[0]);
  BOOST_TEST(Endpoint.m_Service == "permit-desk");
  BOOST_TEST(Endpoint.m_Address == "127.0.0.1:7000");
  BOOST_TEST(Endpoint.m_Slots == 8U);
  BOOST_TEST(Endpoint.m_Connections == 64U);
  BOOST_TEST(Endpoint.m_Size.m_MemoryMiB == 2048U);
  BOOST_TEST(Endpoint.m_Size.m_Accelerators == 1U);
}

// Guards against malformed announcements that change the agent's state, and
// against errors that don't name their field.
BOOST_AUTO_TEST_CASE(MalformedAnnouncementsChangeNothing) {
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {"[", "JSON object"},
      {replaced("\"slots\": 8", "\"slots\": 0"), "'slots'"},
      {replaced("\"slots\": 8", "\"slots\": -1"), "'slots'"},
      {replaced("64", "1e3"), "'connections'"},
      {replaced("127.0.0.1:7000", "localhost"), "'address'"},
      {replaced("\"permit-desk\"", "7"), "'service'"},
      {replaced("cores", "core"), "'core'"}};
  for (const auto &[Body, Field] : Cases) {
    const HttpResponse Response = post(Body);
    BOOST_TEST(Response.m_Status == 400U);
    BOOST_TEST(Response.m_Body.find(Field) != std::string::npos,
               Response.m_Body);
  }
  BOOST_TEST(m_Events.empty());
}

// Guards against a wrong state reported to load balancers and operators.
BOOST_AUTO_TEST_CASE(ReadinessFollowsTheCore) {
  BOOST_TEST(m_Routes.handle("GET", "/readyz", "").m_Status == 503U);
  m_Status.m_Ready = true;
  BOOST_TEST(m_Routes.handle("GET", "/readyz", "").m_Status == 200U);
  BOOST_TEST(m_Routes.handle("DELETE", "/v1/endpoint", "").m_Status == 200U);
  BOOST_TEST(std::holds_alternative<EndpointDraining>(m_Events.at(0)));
  BOOST_TEST(m_Routes.handle("PUT", "/v1/endpoint", "").m_Status == 405U);
  BOOST_TEST(m_Routes.handle("GET", "/other", "").m_Status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()
