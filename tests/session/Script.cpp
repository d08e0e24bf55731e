// Parses a script and schedules its commands in a session.
#include "Script.h"

#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace cyclamencroft::session {
namespace {

/// A line split at white space. Options are words of the form "key=value" or
/// "key".
struct ScriptLine {
  std::vector<std::string> m_Words;

  const std::string &word(std::size_t Index) const {
    if (Index >= m_Words.size())
      throw std::runtime_error("word " + std::to_string(Index + 1) +
                               " is missing");
    return m_Words[Index];
  }
  std::string option(const std::string &Key,
                     const std::string &Default = {}) const {
    for (const std::string &Word : m_Words)
      if (Word.compare(0, Key.size() + 1, Key + "=") == 0)
        return Word.substr(Key.size() + 1);
    return Default;
  }
  bool flag(const std::string &Key) const {
    for (const std::string &Word : m_Words)
      if (Word == Key)
        return true;
    return false;
  }
  std::uint32_t number(const std::string &Key, std::uint32_t Default) const {
    const std::string Text = option(Key);
    return Text.empty() ? Default
                        : static_cast<std::uint32_t>(std::stoul(Text));
  }
};

/// Parses a time such as "1500us", "20ms" or "3s".
Duration parseTime(const std::string &Text) {
  std::size_t UnitOffset = 0;
  const long long Count = std::stoll(Text, &UnitOffset);
  const std::string Unit = Text.substr(UnitOffset);
  if (Unit == "us")
    return std::chrono::microseconds(Count);
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  throw std::runtime_error("\"" + Text + "\" is not a time in us, ms or s");
}

SessionLayout parseLayout(const ScriptLine &Line) {
  SessionLayout Layout;
  if (Line.word(1) == "eaux")
    Layout = SessionLayout::eaux();
  else if (Line.word(1) == "salgema")
    Layout = SessionLayout::salgema();
  else
    throw std::runtime_error("unknown deployment " + Line.word(1));
  Layout.m_Entries = Line.number("entries", Layout.m_Entries);
  Layout.m_Workers = Line.number("workers", Layout.m_Workers);
  Layout.m_Slots = Line.number("slots", Layout.m_Slots);
  Layout.m_Connections = Line.number("connections", Layout.m_Connections);
  return Layout;
}

/// Options of a "request" or "job" command: at TIME COMMAND NAME ENTRY OPTIONS.
SubmissionOptions parseSubmission(const ScriptLine &Line, bool IsJob) {
  SubmissionOptions Options;
  Options.m_Name = Line.word(3);
  Options.m_Entry = Line.word(4);
  Options.m_Task.m_RunTime = parseTime(Line.option("run", "100ms"));
  Options.m_Task.m_Mode = Line.option("mode", "ok");
  Options.m_JobTasks = IsJob ? Line.number("tasks", 10) : 0;
  Options.m_NonIdempotent = Line.flag("non-idempotent");
  Options.m_Key = Line.option("key");
  Options.m_Team = Line.option("team");
  Options.m_Deadline = parseTime(Line.option("deadline", "0s"));
  Options.m_Need.m_MilliCores =
      wholeCores(static_cast<std::uint32_t>(Line.number("cores", 0)));
  Options.m_Need.m_MemoryMiB = Line.number("memory-mib", 0);
  Options.m_Need.m_Accelerators = Line.number("accelerators", 0);
  Options.m_ReuseIdOf = Line.option("id-of");
  return Options;
}

using CommandHandler = std::function<void(Session &, const ScriptLine &)>;

/// Network faults: at TIME COMMAND NODE NODE; "duplicate" also takes a type.
std::map<std::string, CommandHandler> networkCommands() {
  return {
      {"cut",
       [](Session &S, const ScriptLine &Line) {
         S.note("cut " + Line.word(3) + " " + Line.word(4));
         S.network().cut(Line.word(3), Line.word(4));
       }},
      {"restore",
       [](Session &S, const ScriptLine &Line) {
         S.note("restore " + Line.word(3) + " " + Line.word(4));
         S.network().restore(Line.word(3), Line.word(4));
       }},
      {"break",
       [](Session &S, const ScriptLine &Line) {
         S.note("break the link " + Line.word(3) + " " + Line.word(4));
         S.network().cut(Line.word(3), Line.word(4));
         S.network().restore(Line.word(3), Line.word(4));
       }},
      {"hold",
       [](Session &S, const ScriptLine &Line) {
         S.note("hold messages from " + Line.word(3) + " to " + Line.word(4));
         S.network().hold(Line.word(3), Line.word(4));
       }},
      {"release",
       [](Session &S, const ScriptLine &Line) {
         S.note("release messages from " + Line.word(3) + " to " +
                Line.word(4));
         S.network().release(Line.word(3), Line.word(4));
       }},
      {"duplicate",
       [](Session &S, const ScriptLine &Line) {
         S.note("duplicate the last " + Line.word(5) + " from " + Line.word(3) +
                " to " + Line.word(4));
         S.network().duplicate(Line.word(3), Line.word(4), Line.word(5),
                               Line.number("skip", 0));
       }},
  };
}

/// Operations on one process, endpoint or submission: at TIME COMMAND NAME.
std::map<std::string, CommandHandler> processCommands() {
  using SessionMethod = void (Session::*)(const std::string &);
  const std::map<std::string, SessionMethod> Methods = {
      {"kill", &Session::kill},
      {"restart", &Session::restart},
      {"freeze", &Session::freeze},
      {"thaw", &Session::thaw},
      {"shut-down", &Session::shutDown},
      {"cancel", &Session::cancel},
      {"caller-leaves", &Session::disconnectCaller},
      {"endpoint-leaves", &Session::endpointLeaves},
      {"endpoint-returns", &Session::endpointReturns},
      {"kill-endpoint", &Session::killEndpoint},
      {"stop-announcing", &Session::stopAnnouncing},
  };
  std::map<std::string, CommandHandler> Commands;
  for (const auto &[Name, Method] : Methods)
    Commands[Name] = [Call = Method](Session &S, const ScriptLine &Line) {
      (S.*Call)(Line.word(3));
    };
  return Commands;
}

std::map<std::string, CommandHandler> allCommands() {
  std::map<std::string, CommandHandler> Commands = {
      {"request",
       [](Session &S, const ScriptLine &Line) {
         S.submit(parseSubmission(Line, false));
       }},
      {"job",
       [](Session &S, const ScriptLine &Line) {
         S.submit(parseSubmission(Line, true));
       }},
      {"publish",
       [](Session &S, const ScriptLine &Line) {
         S.publish(Line.word(3), Line.word(4));
       }},
      {"offer-version",
       [](Session &S, const ScriptLine &Line) {
         S.offerVersion(std::stoul(Line.word(3)), Line.word(4));
       }},
      {"slow",
       [](Session &S, const ScriptLine &Line) {
         S.setRunTimeFactor(Line.word(3), Line.number("factor", 10));
       }},
      {"fail-tasks",
       [](Session &S, const ScriptLine &Line) {
         S.setFailEveryTask(Line.word(3), true);
       }},
      {"stop-failing-tasks",
       [](Session &S, const ScriptLine &Line) {
         S.setFailEveryTask(Line.word(3), false);
       }},
  };
  Commands.merge(networkCommands());
  Commands.merge(processCommands());
  return Commands;
}

/// Executes the lines in order. The deployment line creates the session.
class ScriptRunner {
public:
  void run(const ScriptLine &Line) {
    const std::string &Keyword = Line.word(0);
    if (Keyword == "deployment")
      m_Session = std::make_unique<Session>(parseLayout(Line));
    else if (!m_Session)
      throw std::runtime_error("the first line must name the deployment");
    else if (Keyword == "at")
      schedule(Line);
    else if (Keyword == "end")
      m_Session->run(parseTime(Line.word(1)));
    else
      throw std::runtime_error("unknown command " + Keyword);
  }

  /// Checks that every caller was answered.
  ScriptResult checkedResult() {
    m_Session->checker().checkAllAnswered();
    return {m_Session->transcript().text(), m_Session->checker().violations()};
  }

private:
  /// Schedules the command of an "at" line.
  void schedule(const ScriptLine &Line) {
    const auto Found = m_Commands.find(Line.word(2));
    if (Found == m_Commands.end())
      throw std::runtime_error("unknown command " + Line.word(2));
    m_Session->at(
        parseTime(Line.word(1)),
        [this, Line, Handler = Found->second] { Handler(*m_Session, Line); });
  }

  std::map<std::string, CommandHandler> m_Commands = allCommands();
  std::unique_ptr<Session> m_Session;
};

} // namespace

ScriptResult runScript(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    throw std::runtime_error(File + ": can't be read");
  ScriptRunner Runner;
  std::string Text;
  for (int LineNumber = 1; std::getline(Input, Text); ++LineNumber) {
    std::istringstream Words(Text);
    ScriptLine Line;
    for (std::string Word; Words >> Word;)
      Line.m_Words.push_back(Word);
    if (Line.m_Words.empty() || Line.m_Words.front()[0] == '#')
      continue;
    try {
      Runner.run(Line);
    } catch (const std::exception &E) {
      throw std::runtime_error(File + ":" + std::to_string(LineNumber) + ": " +
                               E.what());
    }
  }
  return Runner.checkedResult();
}

} // namespace cyclamencroft::session
