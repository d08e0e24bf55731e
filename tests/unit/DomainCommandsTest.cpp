// Commands that evacuate and restore failure domains, against a stand-in of the
// store that encodes records as lines of text.
#include "cli/DomainCommands.h"
#include "cli/Cli.h"
#include "http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <sstream>
#include <thread>

using namespace cyclamencroft;

namespace {

/// Keys that have a value, two on a page.
struct Fixture {
  boost::asio::io_context m_Io{1};
  std::set<std::string> m_Keys = {"config", "domain:brest", "other"};
  unsigned m_AppendStatus = 200;
  int m_Appends = 0;
  std::optional<HttpServer> m_Server;
  std::thread m_Thread;

  Fixture() {
    m_Server.emplace(
        m_Io, "127.0.0.1:0",
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          Exchange->respond(serve(Exchange->request()));
        },
        HttpServer::Limits{});
    m_Thread = std::thread([this] { m_Io.run(); });
  }
  ~Fixture() {
    m_Io.stop();
    m_Thread.join();
  }
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;

  HttpResponse serve(const HttpRequest &Request) {
    const std::string Key = std::string(Request.target()).substr(2);
    if (Request.method() != boost::beast::http::verb::post) {
      std::string Page;
      auto Next = m_Keys.upper_bound(Key);
      for (int Count = 0; Count < 2 && Next != m_Keys.end(); ++Count)
        Page += *Next++ + '\n';
      return {200, {}, Page};
    }
    ++m_Appends;
    if (m_AppendStatus != 200)
      return {m_AppendStatus, {}, ""};
    if (Request.body().empty())
      m_Keys.erase(Key);
    else
      m_Keys.insert(Key);
    return {200, {}, ""};
  }

  static std::variant<NewestPage, StoreFault>
  readPage(const HttpResponse &Response) {
    NewestPage Page;
    std::istringstream Lines(Response.m_Body);
    for (std::string Line; std::getline(Lines, Line);)
      Page.m_Records.push_back({Line, "{}", 0});
    Page.m_Truncated = Page.m_Records.size() == 2;
    return Page;
  }

  int run(std::vector<std::string> Words, std::string &Output) {
    OperatorStore Operators;
    Operators.m_Open = [](const std::string &Address) {
      TopicStore Store;
      Store.m_NewestCall = [Address](const std::string &,
                                     const std::string &AfterKey) {
        HttpCall Call;
        Call.m_Address = Address;
        Call.m_Target = "/?" + AfterKey;
        return Call;
      };
      Store.m_ReadNewest = readPage;
      Store.m_AppendCall = [Address](const std::string &,
                                     const KeyedRecord &Record) {
        HttpCall Call;
        Call.m_Address = Address;
        Call.m_Method = "POST";
        Call.m_Target = "/?" + Record.m_Key;
        Call.m_Body = Record.m_Value;
        return Call;
      };
      return Store;
    };
    Operators.m_EncodeKey = [](const std::string &Domain) {
      return "domain:" + Domain;
    };
    Operators.m_DomainOf =
        [](const std::string &Key) -> std::optional<std::string> {
      if (Key.rfind("domain:", 0) != 0)
        return std::nullopt;
      return Key.substr(std::string("domain:").size());
    };
    Words.insert(Words.begin(), {"cyclamencroft", "domain"});
    Words.insert(Words.end(),
                 {"--store", "127.0.0.1:" + std::to_string(m_Server->port())});
    std::vector<const char *> Arguments;
    Arguments.reserve(Words.size());
    for (const std::string &Word : Words)
      Arguments.push_back(Word.c_str());
    std::ostringstream Out;
    const int Code = runCli(static_cast<int>(Arguments.size()),
                            Arguments.data(), Out, Out, &Operators);
    Output = Out.str();
    return Code;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DomainCommands, Fixture)

// Guards against a request that is lost or sent twice, against evacuated
// domains on later pages that are overlooked, and against bad input that
// reaches the store.
BOOST_AUTO_TEST_CASE(RequestsChangeOnlyWhatIsNotYetSo) {
  std::string Output;
  BOOST_TEST(run({"show"}, Output) == 0);
  BOOST_TEST(Output == "brest\n");
  BOOST_TEST(run({"evacuate", "quimper"}, Output) == 0);
  BOOST_TEST(run({"show"}, Output) == 0);
  BOOST_TEST(Output == "brest\nquimper\n");
  BOOST_TEST(run({"evacuate", "quimper"}, Output) == 0);
  BOOST_TEST(run({"restore", "morlaix"}, Output) == 0);
  BOOST_TEST(m_Appends == 1);
  BOOST_TEST(run({"restore", "brest"}, Output) == 0);
  BOOST_TEST(run({"show"}, Output) == 0);
  BOOST_TEST(Output == "quimper\n");
  BOOST_TEST(run({"evacuate", "not a/name"}, Output) == 2);
  m_AppendStatus = 507;
  BOOST_TEST(run({"evacuate", "morlaix"}, Output) == 3);
  BOOST_TEST(m_Appends == 3);
}

BOOST_AUTO_TEST_SUITE_END()
