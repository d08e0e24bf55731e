// Tests of a complete entry over loopback, with a fake agent.
#include "cyclamencroft/EntryDaemon.h"
#include "http/HttpClient.h"
#include "link/LinkClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace cyclamencroft;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

ConfigStatePtr sampleConfig() {
  auto State = std::make_shared<ConfigState>();
  State->m_Version = 3;
  State->m_PresetName = "ordinary";
  State->m_Configuration.m_Services["desk"] = ServiceConfig();
  State->m_Configuration.m_Presets["ordinary"] = Preset();
  return State;
}

std::unique_ptr<EntryDaemon>
startEntry(const std::string &Id, const std::vector<std::string> &Peers = {}) {
  EntrySettings Settings;
  Settings.m_Id = Id;
  Settings.m_Peers = Peers;
  Settings.m_Entries = static_cast<std::uint32_t>(Peers.size()) + 1;
  auto Daemon = EntryDaemon::Builder()
                    .settings(Settings)
                    .seed(7)
                    .configuration(sampleConfig())
                    .build();
  Daemon->start();
  return Daemon;
}

std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

HttpResponse call(const EntryDaemon &Entry, const char *Method,
                  const std::string &Target, const std::string &Body = "",
                  const HttpHeaders &Headers = {}) {
  return httpCall(loopbackAddress(Entry.httpPort()), Method, Target, Headers,
                  Body, milliseconds(8000))
      .value();
}

/// Responds to each task with its reversed body after a delay.
class FakeAgent {
public:
  explicit FakeAgent(std::uint16_t Port, Duration RunTime = {})
      : m_RunTime(RunTime),
        m_Client(
            m_Io, loopbackAddress(Port),
            {[this](LinkId Link) { sendHello(Link); },
             [this](LinkId Link, const std::vector<LinkMessage> &Messages) {
               for (const LinkMessage &Message : Messages)
                 if (const auto *Task = std::get_if<Dispatch>(&Message))
                   runTask(Link, *Task);
             },
             [](LinkId, const std::string &) {}}) {
    m_Client.start();
    m_Thread = std::thread([this] { m_Io.run(); });
  }
  ~FakeAgent() {
    m_Io.stop();
    m_Thread.join();
  }
  FakeAgent(const FakeAgent &) = delete;
  FakeAgent &operator=(const FakeAgent &) = delete;

  int started() const { return m_Started; }

private:
  void sendHello(LinkId Link) {
    AgentHello Hello;
    Hello.m_AgentId = "agent-1";
    Hello.m_Incarnation = Incarnation(9);
    Hello.m_WindowId = 1;
    Hello.m_Service = "desk";
    Hello.m_FailureDomain = "quimper";
    Hello.m_EndpointAddress = "127.0.0.1:1";
    Hello.m_Slots = 8;
    Hello.m_Connections = 64;
    Hello.m_Size = {wholeCores(16), 32768, 0};
    m_Client.send(Link, {Hello});
  }

  void runTask(LinkId Link, const Dispatch &Task) {
    ++m_Started;
    auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, m_RunTime);
    const std::string_view Body = bytesOf(Task.m_Body);
    TaskResult Result;
    Result.m_Sequence = Task.m_Sequence;
    Result.m_HttpStatus = 201;
    Result.m_Body = makePayload(std::string(Body.rbegin(), Body.rend()));
    Timer->async_wait([this, Link, Timer, Result](boost::system::error_code) {
      m_Client.send(Link, {Result});
    });
  }

  const Duration m_RunTime;
  std::atomic<int> m_Started{0};
  boost::asio::io_context m_Io;
  LinkClient m_Client;
  std::thread m_Thread;
};

/// Polls the status page until \p Done returns true for it; false after 800
/// polls, at least 8 s.
template <class F> bool statusBecomes(const EntryDaemon &Entry, F Done) {
  for (int I = 0; I < 800; ++I) {
    if (Done(Json::parse(call(Entry, "GET", "/v1/status").m_Body)))
      return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

bool agentConnects(const EntryDaemon &Entry) {
  return statusBecomes(Entry, [](const Json &S) { return S["agents"] == 1; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryDaemons)

// Guards against responses that are lost, altered or sent to another caller
// between HTTP, core and link.
BOOST_AUTO_TEST_CASE(RequestsAndJobsGetTheirOwnResponses) {
  const auto Entry = startEntry("entry-1");
  const FakeAgent Agent(Entry->linkPort());
  BOOST_REQUIRE(agentConnects(*Entry));
  std::vector<std::future<HttpResponse>> Calls(40);
  for (int I = 0; I < 40; ++I)
    Calls[static_cast<std::size_t>(I)] = std::async(std::launch::async, [&, I] {
      return call(*Entry, "POST", "/v1/services/desk/requests",
                  "body-" + std::to_string(1000 + I));
    });
  for (int I = 0; I < 40; ++I) {
    const HttpResponse Response = Calls[static_cast<std::size_t>(I)].get();
    const std::string Sent = "body-" + std::to_string(1000 + I);
    BOOST_TEST(Response.m_Status == 201U);
    BOOST_TEST(Response.m_Body == std::string(Sent.rbegin(), Sent.rend()));
    BOOST_TEST(Response.header("Cyclamencroft-Outcome") == "completed");
    BOOST_TEST(Response.header("Cyclamencroft-Request-Id").size() == 32U);
  }
  const Json Job = {{"tasks", std::vector<std::string>(100, "ab")}};
  const HttpResponse Response =
      call(*Entry, "POST", "/v1/services/desk/jobs", Job.dump(),
           {{"Cyclamencroft-Request-Id", std::string(32, '5')}});
  const Json Answer = Json::parse(Response.m_Body);
  BOOST_TEST(Answer["outcome"] == "completed");
  BOOST_TEST(Answer["request"] == std::string(32, '5'));
  BOOST_REQUIRE(Answer["tasks"].size() == 100U);
  BOOST_TEST(Answer["tasks"][99]["body"] == "ba");
  BOOST_TEST(Agent.started() == 140);
  const std::string Metrics = call(*Entry, "GET", "/metrics").m_Body;
  BOOST_TEST(Metrics.find("\ncyclamencroft_entry_dispatches_total 140\n") !=
             std::string::npos);
}

// Guards against requests that reach the core, or run, although they were
// refused, and against refusals without their status.
BOOST_AUTO_TEST_CASE(RefusalsCarryTheirStatusAndRunNothing) {
  const auto Entry = startEntry("entry-1");
  const FakeAgent Agent(Entry->linkPort());
  BOOST_REQUIRE(agentConnects(*Entry));
  const std::string Requests = "/v1/services/desk/requests";
  const auto StatusOf = [&](const char *Method, const std::string &Target,
                            const std::string &Body,
                            const HttpHeaders &Headers) {
    return call(*Entry, Method, Target, Body, Headers).m_Status;
  };
  BOOST_TEST(StatusOf("POST", "/v1/services/none/requests", "", {}) == 404U);
  BOOST_TEST(StatusOf("POST", Requests, "", {{"Cyclamencroft-Team", "x"}}) ==
             404U);
  BOOST_TEST(StatusOf("POST", Requests, "",
                      {{"Cyclamencroft-Deadline-Ms", "soon"}}) == 400U);
  BOOST_TEST(StatusOf("POST", Requests, std::string(65537, 'x'), {}) == 413U);
  BOOST_TEST(StatusOf("POST", Requests, "",
                      {{"Cyclamencroft-Need", "cores=99"}}) == 422U);
  BOOST_TEST(StatusOf("GET", Requests, "", {}) == 405U);
  BOOST_TEST(StatusOf("POST", "/v1/services/desk/jobs", "{}", {}) == 400U);
  BOOST_TEST(StatusOf("DELETE", "/v1/requests/xyz", "", {}) == 400U);
  BOOST_TEST(StatusOf("DELETE", "/v1/requests/" + std::string(32, '1'), "",
                      {}) == 202U);
  BOOST_TEST(StatusOf("GET", "/nowhere", "", {}) == 404U);
  BOOST_TEST(StatusOf("GET", "/readyz", "", {}) == 200U);
  BOOST_TEST(Json::parse(call(*Entry, "GET", "/v1/config").m_Body)["version"] ==
             3);
  const HttpResponse Oversized = call(
      *Entry, "POST", Requests, std::string(std::size_t(2) * 1024 * 1024, 'x'));
  BOOST_TEST(Oversized.m_Status == 413U);
  BOOST_TEST(Oversized.header("Cyclamencroft-Outcome") == "not-run");
  BOOST_TEST(Agent.started() == 0);
}

// Guards against a shutdown that interrupts work in flight, accepts new work or
// never completes.
BOOST_AUTO_TEST_CASE(ShutdownCompletesWorkInFlight) {
  const auto Entry = startEntry("entry-1");
  const FakeAgent Agent(Entry->linkPort(), milliseconds(600));
  BOOST_REQUIRE(agentConnects(*Entry));
  auto Slow = std::async(std::launch::async, [&] {
    return call(*Entry, "POST", "/v1/services/desk/requests", "slow");
  });
  BOOST_REQUIRE(statusBecomes(
      *Entry, [](const Json &S) { return S["outstanding"] == 1; }));
  Entry->requestShutdown();
  Entry->requestShutdown();
  BOOST_REQUIRE(
      statusBecomes(*Entry, [](const Json &S) { return S["ready"] == false; }));
  BOOST_TEST(call(*Entry, "GET", "/readyz").m_Status == 503U);
  const HttpResponse Refused =
      call(*Entry, "POST", "/v1/services/desk/requests", "late");
  BOOST_TEST(Refused.m_Status == 503U);
  BOOST_TEST(Json::parse(Refused.m_Body)["reason"] == "shutting-down");
  Entry->wait();
  const HttpResponse Response = Slow.get();
  BOOST_TEST(Response.m_Status == 201U);
  BOOST_TEST(Response.m_Body == "wols");
  BOOST_TEST(Agent.started() == 1);
}

// Guards against a stop that hangs or crashes while callers wait, or that
// leaves them waiting.
BOOST_AUTO_TEST_CASE(StopEndsAtOnceWithCallersWaiting) {
  const auto Entry = startEntry("entry-1");
  const FakeAgent Agent(Entry->linkPort(), std::chrono::seconds(60));
  BOOST_REQUIRE(agentConnects(*Entry));
  auto Interrupted = std::async(std::launch::async, [&] {
    HttpCall Call;
    Call.m_Address = loopbackAddress(Entry->httpPort());
    Call.m_Method = "POST";
    Call.m_Target = "/v1/services/desk/requests";
    return static_cast<bool>(httpCall(Call));
  });
  BOOST_REQUIRE(statusBecomes(
      *Entry, [](const Json &S) { return S["outstanding"] == 1; }));
  auto Waiter = std::async(std::launch::async, [&] { Entry->wait(); });
  Entry->stop();
  Waiter.get();
  // The call's own timeout is 10 s.
  const auto Ended = Interrupted.wait_for(std::chrono::seconds(3));
  BOOST_TEST((Ended == std::future_status::ready));
  BOOST_TEST(!Interrupted.get());
}

// Guards against work of a disconnected caller that keeps running at the cost
// of other callers.
BOOST_AUTO_TEST_CASE(DisconnectedCallersAreRemoved) {
  const auto Entry = startEntry("entry-1");
  const FakeAgent Agent(Entry->linkPort(), milliseconds(300));
  BOOST_REQUIRE(agentConnects(*Entry));
  HttpCall Call;
  Call.m_Address = loopbackAddress(Entry->httpPort());
  Call.m_Method = "POST";
  Call.m_Target = "/v1/services/desk/requests";
  Call.m_Timeout = milliseconds(100);
  BOOST_TEST(!httpCall(Call));
  BOOST_TEST(
      statusBecomes(*Entry, [](const Json &S) { return S["callers"] == 0; }));
}

// Guards against peer entries that don't connect, and against accepting a link
// that starts without a hello or with another protocol version.
BOOST_AUTO_TEST_CASE(PeersConnectAndOthersAreRefused) {
  const auto First = startEntry("entry-1");
  const auto Second =
      startEntry("entry-2", {loopbackAddress(First->linkPort())});
  BOOST_TEST(statusBecomes(
      *First, [](const Json &S) { return S["control_messages"] >= 2; }));

  boost::asio::io_context Io;
  for (const bool Hello : {false, true}) {
    std::string Reason;
    LinkClient Client(Io, loopbackAddress(First->linkPort()),
                      {[&](LinkId Link) {
                         AgentHello Other;
                         Other.m_Protocol = ProtocolVersion + 1;
                         if (Hello)
                           Client.send(Link, {Other});
                         else
                           Client.send(Link, {Ping{1}});
                       },
                       [](LinkId, const std::vector<LinkMessage> &) {},
                       [&](LinkId, const std::string &Why) { Reason = Why; }});
    Client.start();
    for (int I = 0; I < 500 && Reason.empty(); ++I) {
      Io.restart();
      Io.run_one_for(milliseconds(10));
    }
    const std::string Refusal =
        "message 0 (AgentHello), protocol: version " +
        std::to_string(ProtocolVersion + 1) +
        " is not supported; this process speaks version " +
        std::to_string(ProtocolVersion);
    BOOST_TEST(Reason == (Hello ? Refusal : "expected a hello, found Ping"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
