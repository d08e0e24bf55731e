// Reads the lines of a script and schedules them in a session.
#include "Script.h"

#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace cyclamencroft::session {
namespace {

/// Words of a line; options are words of the form "key=value" or "key".
struct Line {
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

/// "1500us", "20ms" or "3s".
Duration parseTime(const std::string &Text) {
  std::size_t UnitPos = 0;
  const long long Count = std::stoll(Text, &UnitPos);
  const std::string Unit = Text.substr(UnitPos);
  if (Unit == "us")
    return std::chrono::microseconds(Count);
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  throw std::runtime_error("\"" + Text + "\" is not a time in us, ms or s");
}

SessionLayout parseLayout(const Line &L) {
  SessionLayout Layout;
  if (L.word(1) == "eaux")
    Layout = SessionLayout::eaux();
  else if (L.word(1) == "salgema")
    Layout = SessionLayout::salgema();
  else
    throw std::runtime_error("unknown deployment " + L.word(1));
  Layout.m_Entries = L.number("entries", Layout.m_Entries);
  Layout.m_Workers = L.number("workers", Layout.m_Workers);
  Layout.m_Slots = L.number("slots", Layout.m_Slots);
  Layout.m_Connections = L.number("connections", Layout.m_Connections);
  return Layout;
}

/// The line of a request or job, from its name on: NAME ENTRY options.
SubmissionOptions parseCaller(const Line &L, bool IsJob) {
  SubmissionOptions Action;
  Action.m_Name = L.word(3);
  Action.m_Entry = L.word(4);
  Action.m_Task.m_RunTime = parseTime(L.option("run", "100ms"));
  Action.m_Task.m_Mode = L.option("mode", "ok");
  Action.m_JobTasks = IsJob ? L.number("tasks", 10) : 0;
  Action.m_NonIdempotent = L.flag("non-idempotent");
  Action.m_Key = L.option("key");
  Action.m_Team = L.option("team");
  Action.m_Deadline = parseTime(L.option("deadline", "0s"));
  Action.m_Need.m_MilliCores =
      wholeCores(static_cast<std::uint32_t>(L.number("cores", 0)));
  Action.m_Need.m_MemoryMiB = L.number("memory-mib", 0);
  Action.m_Need.m_Accelerators = L.number("accelerators", 0);
  Action.m_ReuseIdOf = L.option("id-of");
  return Action;
}

using Command = std::function<void(Session &, const Line &)>;

/// Faults of the network: COMMAND A B.
std::map<std::string, Command> networkCommands() {
  return {
      {"cut",
       [](Session &S, const Line &L) {
         S.note("cut " + L.word(3) + " " + L.word(4));
         S.network().cut(L.word(3), L.word(4));
       }},
      {"restore",
       [](Session &S, const Line &L) {
         S.note("restore " + L.word(3) + " " + L.word(4));
         S.network().restore(L.word(3), L.word(4));
       }},
      {"break",
       [](Session &S, const Line &L) {
         S.note("break the link " + L.word(3) + " " + L.word(4));
         S.network().cut(L.word(3), L.word(4));
         S.network().restore(L.word(3), L.word(4));
       }},
      {"hold",
       [](Session &S, const Line &L) {
         S.note("hold messages from " + L.word(3) + " to " + L.word(4));
         S.network().hold(L.word(3), L.word(4));
       }},
      {"release",
       [](Session &S, const Line &L) {
         S.note("release messages from " + L.word(3) + " to " + L.word(4));
         S.network().release(L.word(3), L.word(4));
       }},
      {"duplicate",
       [](Session &S, const Line &L) {
         S.note("duplicate the last " + L.word(5) + " from " + L.word(3) +
                " to " + L.word(4));
         S.network().duplicate(L.word(3), L.word(4), L.word(5),
                               L.number("skip", 0));
       }},
  };
}

/// Faults of processes and endpoints: COMMAND NAME.
std::map<std::string, Command> processCommands() {
  using Method = void (Session::*)(const std::string &);
  const std::map<std::string, Method> Methods = {
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
  std::map<std::string, Command> Commands;
  for (const auto &[Name, Method] : Methods)
    Commands[Name] = [Call = Method](Session &S, const Line &L) {
      (S.*Call)(L.word(3));
    };
  return Commands;
}

std::map<std::string, Command> allCommands() {
  std::map<std::string, Command> Commands = {
      {"request",
       [](Session &S, const Line &L) { S.submit(parseCaller(L, false)); }},
      {"job",
       [](Session &S, const Line &L) { S.submit(parseCaller(L, true)); }},
      {"publish",
       [](Session &S, const Line &L) { S.publish(L.word(3), L.word(4)); }},
      {"offer-version",
       [](Session &S, const Line &L) {
         S.offerVersion(std::stoul(L.word(3)), L.word(4));
       }},
      {"slow",
       [](Session &S, const Line &L) {
         S.setRunTimeFactor(L.word(3), L.number("factor", 10));
       }},
      {"fail-tasks",
       [](Session &S, const Line &L) { S.setFailEveryTask(L.word(3), true); }},
      {"stop-failing-tasks",
       [](Session &S, const Line &L) { S.setFailEveryTask(L.word(3), false); }},
  };
  Commands.merge(networkCommands());
  Commands.merge(processCommands());
  return Commands;
}

/// Runs lines in order; the session exists from the deployment line on.
class ScriptRunner {
public:
  void run(const Line &L) {
    const std::string &First = L.word(0);
    if (First == "deployment")
      m_Session = std::make_unique<Session>(parseLayout(L));
    else if (!m_Session)
      throw std::runtime_error("the first line must name the deployment");
    else if (First == "at")
      schedule(L);
    else if (First == "end")
      m_Session->run(parseTime(L.word(1)));
    else
      throw std::runtime_error("unknown command " + First);
  }

  ScriptResult finish() {
    m_Session->checker().finish();
    return {m_Session->transcript().text(), m_Session->checker().violations()};
  }

private:
  void schedule(const Line &L) {
    const auto Found = m_Commands.find(L.word(2));
    if (Found == m_Commands.end())
      throw std::runtime_error("unknown command " + L.word(2));
    m_Session->at(parseTime(L.word(1)),
                  [this, L, Run = Found->second] { Run(*m_Session, L); });
  }

  std::map<std::string, Command> m_Commands = allCommands();
  std::unique_ptr<Session> m_Session;
};

} // namespace

ScriptResult runScript(const std::string &File) {
  std::ifstream Input(File);
  if (!Input)
    throw std::runtime_error(File + ": can't be read");
  ScriptRunner R;
  std::string Text;
  for (int Number = 1; std::getline(Input, Text); ++Number) {
    std::istringstream Words(Text);
    Line L;
    for (std::string Word; Words >> Word;)
      L.m_Words.push_back(Word);
    if (L.m_Words.empty() || L.m_Words.front()[0] == '#')
      continue;
    try {
      R.run(L);
    } catch (const std::exception &E) {
      throw std::runtime_error(File + ":" + std::to_string(Number) + ": " +
                               E.what());
    }
  }
  return R.finish();
}

} // namespace cyclamencroft::session
