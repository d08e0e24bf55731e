// Frames between processes: which are accepted or rejected, and the error
// texts.
#include "link/LinkCodec.h"
#include "link/CborTokens.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace cyclamencroft;
using Json = nlohmann::json;

namespace {

/// One message of every type with unusual values in every field.
std::vector<LinkMessage> sampleMessages() {
  constexpr std::uint64_t Large = std::numeric_limits<std::uint64_t>::max();
  const RequestId Request{Large, 0x0123456789abcdef};
  Dispatch Task{9,
                8,
                Request,
                199,
                true,
                TimePoint(Duration(-3)),
                Duration(-5000),
                {Request, Large},
                makePayload(std::string("a\xff") + '\0')};
  AgentHello Hello;
  Hello.m_AgentId = "agent-1";
  Hello.m_Incarnation = Incarnation(Large);
  Hello.m_Size = {16, 32768, 1};
  Hello.m_State = AgentState::Draining;
  const RunName Run{{JobId{Large, 0xfff0}, 3, 1999}, 7};
  const EndpointView Endpoint{EndpointGeneration{Large},
                              "i-1",
                              "permits",
                              "quimper",
                              {"a", "r1-3"},
                              "a",
                              {64000, 131072, 2},
                              EndpointState::Draining};
  const EndpointLoad Load{
      {6200, 64, 1}, {100, 1, 0}, 9, Large, {120, 30, Duration(1500000)}};
  const TaskEnded Ended{Run, RunEnd::NotStarted, StartRefusal::Invalid,
                        Duration(61000), Load};
  return {
      Hello,
      EntryHello{ProtocolVersion, "entry-1", Incarnation(7), 12, 3},
      Task,
      TaskResult{9, Outcome::Unknown, 599, Duration(250000), 8,
                 makePayload(std::string(300, '\xfe'))},
      TaskRefused{10, RefusalReason::RetryBudgetSpent, 8},
      CancelTasks{Request},
      Reconcile{{1, 23, 24, 255, 256, 65536, Large}},
      ReconcileReply{{{1, SequenceState::Running}, {2, SequenceState::Fenced}}},
      AgentStatus{AgentState::Draining, 8, 7},
      ConfigView{5, "peak", 2, {"quimper", "brest"}},
      Heartbeat{5},
      Ping{1},
      Pong{Large},
      ConfigTransfer{5, 99, "peak", std::string(70000, 'd')},
      QuotaReport{{{"team-a", 100}, {"team-b", 0}}},
      Goodbye{"drained"},
      RunnerHello{ProtocolVersion,
                  "agent-2",
                  Incarnation(Large),
                  LinkNumber{Large},
                  Incarnation(8),
                  {Run},
                  {Ended},
                  Endpoint,
                  Load},
      EndpointReport{Endpoint, Load},
      LoadReport{Load},
      StartTask{Run,
                EndpointGeneration{Large},
                {6200, 64, 0},
                TimePoint(Duration(5)),
                Duration(-1),
                Duration(60000),
                makePayload("specification")},
      Ended,
      StopJob{JobId{Large}},
      StopRun{Run},
      EntryLease{TimePoint(Duration(9)), Duration(80000)},
      ConfigHeld{7},
      ConfigRequest{},
      EvacuationReport{{Large, {"brest", "quimper"}}}};
}

/// Text of the error, or empty when the frame is accepted.
std::string faultOf(std::string_view Frame) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(decodeFrame(Frame));
        return std::string();
      },
      [](const Error &Fault) { return Fault.describe(); },
      [] { return std::string("error without text"); });
}

std::string cborOf(const Json &Value) {
  const std::vector<std::uint8_t> Bytes = Json::to_cbor(Value);
  return std::string(Bytes.begin(), Bytes.end());
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkCodec)

// Guards against a field that is dropped, swapped or narrowed in encoding or
// decoding, in any message type.
BOOST_AUTO_TEST_CASE(EveryMessageTypeRoundTrips) {
  const std::vector<LinkMessage> Messages = sampleMessages();
  BOOST_REQUIRE(Messages.size() == std::variant_size_v<LinkMessage>);
  for (std::size_t Type = 0; Type < Messages.size(); ++Type)
    BOOST_TEST(Messages[Type].index() == Type);
  const std::string Frame = encodeFrame(Messages);
  const std::vector<LinkMessage> Decoded = decodeFrame(Frame).value();
  BOOST_REQUIRE(Decoded.size() == Messages.size());
  BOOST_TEST((encodeFrame(Decoded) == Frame));
  const auto &Task = std::get<Dispatch>(Decoded[2]);
  BOOST_TEST(Task.m_TimeLeft.count() == -5000);
  BOOST_TEST(Task.m_NonIdempotent);
  BOOST_TEST(std::get<Goodbye>(Decoded[15]).m_Reason == "drained");
  const auto &Hello = std::get<RunnerHello>(Decoded[16]);
  BOOST_TEST((Hello.m_Ended[0].m_Run == Hello.m_Held[0]));
}

// Guards against a frame that other CBOR readers decode differently: the
// library must write the same bytes from the values that it read.
BOOST_AUTO_TEST_CASE(FramesAreCanonicalCbor) {
  const std::string Frame = encodeFrame(sampleMessages());
  const Json Parsed = Json::from_cbor(Frame);
  BOOST_TEST(Parsed.size() == std::variant_size_v<LinkMessage>);
  BOOST_TEST(Parsed[2][0] == 2);
  BOOST_TEST((cborOf(Parsed) == Frame));
}

// Guards against errors that don't name the invalid message and field, and
// against lenient decoding.
BOOST_AUTO_TEST_CASE(FaultsNameTheMessageAndField) {
  const Json Ping = {11, 1};
  BOOST_TEST(faultOf(cborOf({Ping, {12, "x"}})) ==
             "decode frame: message 1 (Pong), number: expected an unsigned "
             "number, found text");
  BOOST_TEST(faultOf(cborOf({{4, 1, 19, 0}})) ==
             "decode frame: message 0 (TaskRefused), reason: value 19 is above "
             "the limit of 18");
  BOOST_TEST(faultOf(cborOf({{8, 0, 4294967296, 0}})) ==
             "decode frame: message 0 (AgentStatus), slots: value 4294967296 "
             "is above the limit of 4294967295");
  BOOST_TEST(faultOf(cborOf({{11, 1, 2}})) ==
             "decode frame: message 0 (Ping), type number: has 2 fields, "
             "expected 1");
  BOOST_TEST(faultOf(cborOf({{11}})).find("has 0 fields") != std::string::npos);
  constexpr std::size_t FirstUnknown = std::variant_size_v<LinkMessage>;
  BOOST_TEST(faultOf(cborOf({{FirstUnknown, 1}}))
                 .find("value " + std::to_string(FirstUnknown)) !=
             std::string::npos);
  BOOST_TEST(faultOf(cborOf(Json::array({Json::array()})))
                 .find("without a type number") != std::string::npos);
  BOOST_TEST(faultOf(cborOf({{5, {1, 2, 3}}})).find("request id: has 3") !=
             std::string::npos);
}

// Guards against an error about a field of a hello when the cause is that the
// peer uses another protocol version, which may have other fields.
BOOST_AUTO_TEST_CASE(UnsupportedVersionErrorNamesBothVersions) {
  BOOST_TEST(faultOf(cborOf({{1, 7, "entry", "unknown"}})) ==
             "decode frame: message 0 (EntryHello), protocol: version 7 is not "
             "supported; this process speaks version " +
                 std::to_string(ProtocolVersion));
  constexpr std::size_t RunnerHelloType = 16;
  BOOST_TEST(faultOf(cborOf({{RunnerHelloType, 7, "agent"}}))
                 .find("(RunnerHello), protocol: version 7 is not supported") !=
             std::string::npos);
}

// Guards against crashes and silent acceptance of structures that no message
// uses, among them the nested strings that overflow the library's stack.
BOOST_AUTO_TEST_CASE(OtherStructuresAreRefused) {
  const std::string Valid = encodeFrame(std::vector<LinkMessage>{Ping{1}});
  BOOST_TEST(faultOf(Valid).empty());
  BOOST_TEST(faultOf(Valid + Valid).find("4 bytes after the last message") !=
             std::string::npos);
  BOOST_TEST(faultOf(Valid + "x").find("1 bytes after the last message") !=
             std::string::npos);
  BOOST_TEST(!faultOf("").empty());
  BOOST_TEST(!faultOf("GET / HTTP/1.1\r\n\r\n").empty());
  BOOST_TEST(!faultOf(cborOf(Json::object())).empty());
  BOOST_TEST(!faultOf(cborOf({{11, 1.5}})).empty());
  BOOST_TEST(!faultOf(cborOf({{11, nullptr}})).empty());
  for (const char Repeated : {'\x7f', '\x5f', '\x81', '\x9f', '\xc6', '\xbf'})
    BOOST_TEST(!faultOf(std::string(MaxFrameBytes, Repeated)).empty());
  BOOST_TEST(
      faultOf(std::string(MaxFrameBytes + 1, '\x80')).find("above the limit") !=
      std::string::npos);
}

// Guards against input on which the decoder crashes, reads past the end or
// accepts bytes that it ignores: an accepted frame must re-encode to a frame
// with the same meaning that is no longer than the input.
BOOST_AUTO_TEST_CASE(MutatedFramesNeverCrashTheDecoder) {
  constexpr unsigned Seed = 20240611;
  constexpr int Rounds = 60000;
  std::mt19937 Random(Seed);
  std::vector<LinkMessage> Messages = sampleMessages();
  std::get<ConfigTransfer>(Messages[13]).m_Document.resize(30);
  std::get<TaskResult>(Messages[3]).m_Body = makePayload("result");
  int Accepted = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const LinkMessage &Message = Messages[Random() % Messages.size()];
    std::string Frame = encodeFrame(std::vector<LinkMessage>{Message});
    const unsigned Changes = 1 + Random() % 3;
    for (unsigned I = 0; I < Changes && !Frame.empty(); ++I) {
      const std::size_t At = Random() % Frame.size();
      const char Byte = static_cast<char>(Random());
      switch (Random() % 4) {
      case 0:
        Frame[At] = Byte;
        break;
      case 1:
        Frame.erase(At, 1 + Random() % 4);
        break;
      case 2:
        Frame.insert(At, 1, Byte);
        break;
      default:
        for (char &Any : Frame)
          Any = static_cast<char>(Random());
      }
    }
    if (!faultOf(Frame).empty())
      continue;
    ++Accepted;
    const std::string Again = encodeFrame(decodeFrame(Frame).value());
    BOOST_TEST_REQUIRE(Again.size() <= Frame.size());
    BOOST_TEST_REQUIRE((Json::from_cbor(Again) == Json::from_cbor(Frame)));
    BOOST_TEST_REQUIRE(!faultOf(Frame + '\0').empty());
  }
  BOOST_TEST_MESSAGE("accepted " << Accepted << " of " << Rounds);
  BOOST_TEST(Accepted > Rounds / 100);
}

BOOST_AUTO_TEST_SUITE_END()
