// Faults, operations and final checks of a session.
#include "Session.h"

namespace cyclamencroft::session {

void Session::publish(const std::string &Preset, const std::string &Entry) {
  const ConfigStatePtr State = m_Context->m_Config.publish(Preset);
  m_Entries.at(Entry)->receiveConfig(State);
}

void Session::offerVersion(ConfigVersion Version, const std::string &Entry) {
  m_Entries.at(Entry)->receiveConfig(m_Context->m_Config.find(Version));
}

void Session::kill(const std::string &Name) {
  note("kill " + Name);
  node(Name).kill();
  const auto Found = m_Workers.find(Name);
  if (Found != m_Workers.end())
    Found->second.m_Endpoint->dropRuns();
  else
    checker().expectNoAnswersFrom(Name);
}

void Session::restart(const std::string &Name) {
  if (node(Name).alive())
    kill(Name);
  note("restart " + Name);
  if (m_Entries.count(Name))
    startEntry(Name);
  else
    startAgent(Name);
}

void Session::freeze(const std::string &Name) {
  note("freeze " + Name);
  node(Name).freeze();
}

void Session::thaw(const std::string &Name) {
  note("thaw " + Name);
  node(Name).thaw();
}

void Session::shutDown(const std::string &Name) {
  const auto Entry = m_Entries.find(Name);
  if (Entry != m_Entries.end())
    Entry->second->shutDown();
  else
    m_Workers.at(Name).m_Agent->shutDown();
}

void Session::endpointLeaves(const std::string &Agent) {
  note("the endpoint of " + Agent + " leaves");
  m_Workers.at(Agent).m_Announces = false;
  m_Workers.at(Agent).m_Agent->endpointDraining();
}

void Session::endpointReturns(const std::string &Agent) {
  note("the endpoint of " + Agent + " returns");
  WorkerRecord &Record = m_Workers.at(Agent);
  Record.m_Endpoint->restart();
  Record.m_Announces = true;
  Record.m_Agent->endpointAnnounced();
}

void Session::killEndpoint(const std::string &Agent) {
  note("kill the endpoint of " + Agent);
  m_Workers.at(Agent).m_Endpoint->kill();
}

void Session::stopAnnouncing(const std::string &Agent) {
  note("the endpoint of " + Agent + " stops renewing its announcement");
  m_Workers.at(Agent).m_Announces = false;
}

void Session::setRunTimeFactor(const std::string &Agent, std::uint32_t Factor) {
  note("the endpoint of " + Agent + " is " + std::to_string(Factor) +
       " times slower");
  m_Workers.at(Agent).m_Endpoint->setRunTimeFactor(Factor);
}

void Session::setFailEveryTask(const std::string &Agent, bool FailEveryTask) {
  note("the endpoint of " + Agent +
       (FailEveryTask ? " fails every task" : " works again"));
  m_Workers.at(Agent).m_Endpoint->setFailEveryTask(FailEveryTask);
}

void Session::endFaults() {
  network().restoreAll();
  network().releaseAll();
  for (const std::string &Name : m_EntryNames) {
    node(Name).thaw();
    if (!node(Name).alive())
      restart(Name);
  }
  for (auto &[Name, Record] : m_Workers) {
    Record.m_Agent->thaw();
    if (!Record.m_Agent->alive())
      restart(Name);
    Record.m_Endpoint->setFailEveryTask(false);
    Record.m_Endpoint->restart();
    Record.m_Announces = true;
  }
}

void Session::checkFinalState() {
  checker().checkAllAnswered();
  const ConfigVersion Newest = m_Context->m_Config.newest();
  const auto CheckVersion = [this, Newest](const std::string &Name,
                                           ConfigVersion Version) {
    if (Version != Newest)
      checker().addViolation("invariant 8: " + Name + " has configuration " +
                             std::to_string(Version) + " at the end, not " +
                             std::to_string(Newest));
  };
  for (const auto &[Name, Entry] : m_Entries)
    if (Entry->alive())
      CheckVersion(Name, Entry->status().m_ConfigVersion);
  for (const auto &[Name, Record] : m_Workers)
    if (Record.m_Agent->alive())
      CheckVersion(Name, Record.m_Agent->status().m_ConfigVersion);
}

} // namespace cyclamencroft::session
