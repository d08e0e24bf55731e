// Issues one permit through the client library and distinguishes three
// outcomes: completed, not run, and unknown. After an unknown outcome the
// permit must be looked up before the request is sent again.
#include "cyclamencroft/Client.h"

#include "core/Error.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

using namespace cyclamencroft;

int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::cerr << "usage: cyclamencroft-example-client ENTRY [ENTRY...]\n"
                 "example: cyclamencroft-example-client 127.0.0.1:7111\n";
    return 2;
  }
  const Client Entries({Arguments + 1, Arguments + Count});
  ClientRequest Permit;
  Permit.m_Fields.m_Service = "permit-desk";
  Permit.m_Fields.m_DeadlineMs = 5000;
  Permit.m_NonIdempotent = true;
  Permit.m_Body = R"({"issue": "permit", "hydrant": 12})";
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Answer, Entries.request(Permit));
        const auto Outcome = Answer.m_Response.header("Cyclamencroft-Outcome");
        std::cout << Outcome << ": " << Answer.m_Response.m_Body << '\n';
        return Outcome == "completed" ? 0 : 1;
      },
      [](const Error &Fault) {
        const bool NotRun = Fault.m_Step == "connect";
        std::cerr << (NotRun ? "not run: " : "outcome unknown: ")
                  << Fault.describe() << '\n';
        return 1;
      },
      [] { return 1; });
}
