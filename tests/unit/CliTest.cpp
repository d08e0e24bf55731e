// Tests the exit codes, job files, the reference page and the example files.
#include "cli/Cli.h"
#include "cli/Commands.h"
#include "cli/JobFile.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace cyclamencroft;

namespace {

const std::string Root = std::string(TESTS_DIRECTORY) + "/..";

/// Runs one command and returns its exit code; standard output and standard
/// error are both written to \p Output.
int runCommand(const std::vector<std::string> &Words, std::string &Output) {
  std::vector<const char *> Arguments{"cyclamencroft"};
  for (const std::string &Word : Words)
    Arguments.push_back(Word.c_str());
  std::ostringstream Out;
  const int Code =
      runCli(static_cast<int>(Arguments.size()), Arguments.data(), Out, Out);
  Output = Out.str();
  return Code;
}

int runCommand(const std::vector<std::string> &Words) {
  std::string Output;
  return runCommand(Words, Output);
}

HttpResponse responseWith(unsigned Status, const std::string &Outcome,
                          const std::string &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  if (!Outcome.empty())
    Response.m_Headers.emplace_back("Cyclamencroft-Outcome", Outcome);
  Response.m_Body = Body;
  return Response;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLine)

// Guards against a reference page that is out of date with the validated keys.
BOOST_AUTO_TEST_CASE(ReferencePageIsTheGeneratedText) {
  std::ifstream File(Root + "/docs/reference.md");
  std::stringstream Page;
  Page << File.rdbuf();
  BOOST_TEST(Page.str() == referencePage());
}

// Guards against example files that fail validation.
BOOST_AUTO_TEST_CASE(ExamplesPassTheirChecks) {
  const std::string Examples = Root + "/examples/";
  for (const char *Deployment : {"regie", "salgema"}) {
    const std::string Folder = Examples + Deployment;
    std::string Output;
    BOOST_TEST(runCommand({"config", "check", Folder + "/configuration.toml"},
                          Output) == 0,
               Output);
    BOOST_TEST(
        runCommand({"settings", "check", Folder + "/entry.toml"}, Output) == 0,
        Output);
    BOOST_TEST(runCommand({"settings", "check", "--kind", "agent",
                           Folder + "/agent.toml"},
                          Output) == 0,
               Output);
  }
  for (const char *Job : {"regie/job.toml", "salgema/job.json"}) {
    DiagnosticList Diagnostics(Job);
    const std::string Text = readTextFile(Examples + Job, Diagnostics);
    BOOST_TEST(parseJobFile(Text, Diagnostics).has_value());
  }
}

// Guards against an exit code by which scripts can't distinguish a usage error
// from a failure.
BOOST_AUTO_TEST_CASE(UsageAndInputFaultsExitWithTwo) {
  std::string Output;
  BOOST_TEST(runCommand({"--help"}, Output) == 0);
  BOOST_TEST(Output.find("4  lost a race") != std::string::npos);
  BOOST_TEST(runCommand({}) == 2);
  BOOST_TEST(runCommand({"config", "publish", "x"}) == 2);
  BOOST_TEST(runCommand({"status", "--entry", "localhost:1"}) == 2);
  BOOST_TEST(runCommand({"cancel", "12", "--entry", "127.0.0.1:1"}) == 2);
  BOOST_TEST(runCommand({"config", "check", "/nonexistent", "--output", "json"},
                        Output) == 2);
  BOOST_TEST(Output == "{\"faults\":[\"/nonexistent: the file can't be read\"],"
                       "\"exit\":2}\n");
}

// Guards against an environment variable that silently overrides the source
// given as an option, and against a command that runs without a source.
BOOST_AUTO_TEST_CASE(OptionTakesPrecedenceOverEnvironment) {
  std::string Output;
  BOOST_TEST(runCommand({"preset", "show"}, Output) == 2);
  BOOST_TEST(Output == "--log or --entry is required\n");
  ::setenv("CYCLAMENCROFT_LOG", "127.0.0.1:2", 1);
  ::setenv("CYCLAMENCROFT_ENTRY", "127.0.0.1:3", 1);
  BOOST_TEST(runCommand({"preset", "show", "--entry", "127.0.0.1:1"}, Output) ==
             5);
  BOOST_TEST(Output.find("127.0.0.1:1") != std::string::npos);
  BOOST_TEST(runCommand({"preset", "show"}, Output) == 5);
  BOOST_TEST(Output.find("127.0.0.1:2") != std::string::npos);
  ::unsetenv("CYCLAMENCROFT_LOG");
  ::unsetenv("CYCLAMENCROFT_ENTRY");
}

// Guards against reporting an unreachable process as an unknown outcome.
BOOST_AUTO_TEST_CASE(UnreachableProcessExitsWithFive) {
  BOOST_TEST(runCommand({"request", "s", "b", "--entry", "127.0.0.1:1"}) == 5);
  BOOST_TEST(runCommand({"preset", "switch", "p", "--log", "127.0.0.1:1"}) ==
             5);
}

// Guards against exit codes that make scripts confuse a rejection with an
// unknown outcome.
BOOST_AUTO_TEST_CASE(OutcomesHaveTheirExitCodes) {
  const auto CodeOf = [](unsigned Status, const std::string &Outcome) {
    return classifyResponse(responseWith(Status, Outcome, "{}"), "id").m_Code;
  };
  BOOST_CHECK(CodeOf(200, "completed") == ExitCode::Done);
  BOOST_CHECK(CodeOf(502, "failed") == ExitCode::Failed);
  BOOST_CHECK(CodeOf(504, "unknown") == ExitCode::Failed);
  BOOST_CHECK(CodeOf(409, "cancelled") == ExitCode::Failed);
  BOOST_CHECK(CodeOf(503, "not-run") == ExitCode::Refused);
  BOOST_CHECK(CodeOf(404, "not-run") == ExitCode::Refused);
  BOOST_CHECK(CodeOf(413, "") == ExitCode::Invalid);
  BOOST_CHECK(CodeOf(500, "") == ExitCode::Failed);
}

// Guards against a size, deadline or list of tasks that is dropped or not
// validated in one of the two formats.
BOOST_AUTO_TEST_CASE(JobFilesAreValidatedInBothFormats) {
  DiagnosticList Diagnostics("job");
  const auto Toml =
      parseJobFile("service = \"s\"\ndeadline_ms = 9\ntasks = [\"a\", \"a\"]\n"
                   "[size]\ncores = 2\n",
                   Diagnostics);
  const auto Json = parseJobFile("{\"service\": \"s\", \"deadline_ms\": 9, "
                                 "\"tasks\": [\"a\", \"a\"], "
                                 "\"size\": {\"cores\": 2}}",
                                 Diagnostics);
  BOOST_REQUIRE((Toml && Json));
  for (const JobFile &Job : {*Toml, *Json}) {
    BOOST_TEST(Job.m_Service == "s");
    BOOST_TEST(Job.m_DeadlineMs == 9);
    BOOST_TEST(Job.m_Cores == 2);
    BOOST_TEST(Job.m_Tasks.size() == 2);
  }
  BOOST_TEST(!parseJobFile("{\"service\": \"s\", \"tasks\": [], \"cores\": 1, "
                           "\"deadline_ms\": 18446744073709551615}",
                           Diagnostics));
  BOOST_TEST(Diagnostics.faults().size() == 3);
  BOOST_TEST(!parseJobFile("{\"service\"", Diagnostics));
}

// Guards against accepting a malformed size after parsing only part of it.
BOOST_AUTO_TEST_CASE(NeedIsParsedCompletely) {
  const auto Need = parseNeed("memory-mib=512,cores=2");
  BOOST_REQUIRE(Need);
  BOOST_TEST(Need->m_MilliCores == 2000);
  BOOST_TEST(Need->m_MemoryMiB == 512);
  for (const char *Text : {"cores", "cores=", "cores=2x", "cores=-1", "disk=1"})
    BOOST_TEST(!parseNeed(Text), Text);
}

BOOST_AUTO_TEST_SUITE_END()
