// Faults and operations of a session, and its end.
#include "Session.h"

namespace cyclamencroft::session {

void Session::publish(const std::string &Preset, const std::string &Entry) {
  const ConfigStatePtr State = m_Context->m_Config.publish(Preset);
  m_Entries.at(Entry)->adopt(State);
}

void Session::tellVersion(ConfigVersion Version, const std::string &Entry) {
  m_Entries.at(Entry)->adopt(m_Context->m_Config.find(Version));
}

void Session::kill(const std::string &Name) {
  note("kill " + Name);
  node(Name).kill();
  const auto Worker = m_Workers.find(Name);
  if (Worker != m_Workers.end())
    Worker->second.m_Endpoint->forgetRuns();
  else
    checker().releasedAt(Name);
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
  m_Workers.at(Agent).m_Agent->leaving();
}

void Session::endpointReturns(const std::string &Agent) {
  note("the endpoint of " + Agent + " returns");
  Worker &Row = m_Workers.at(Agent);
  Row.m_Endpoint->revive();
  Row.m_Announces = true;
  Row.m_Agent->announced();
}

void Session::killEndpoint(const std::string &Agent) {
  note("kill the endpoint of " + Agent);
  m_Workers.at(Agent).m_Endpoint->kill();
}

void Session::stopAnnouncing(const std::string &Agent) {
  note("the endpoint of " + Agent + " stops renewing");
  m_Workers.at(Agent).m_Announces = false;
}

void Session::setSlowness(const std::string &Agent, std::uint32_t Factor) {
  note("the endpoint of " + Agent + " is " + std::to_string(Factor) +
       " times slower");
  m_Workers.at(Agent).m_Endpoint->setSlowness(Factor);
}

void Session::setBroken(const std::string &Agent, bool Broken) {
  note("the endpoint of " + Agent +
       (Broken ? " fails every task" : " works again"));
  m_Workers.at(Agent).m_Endpoint->setBroken(Broken);
}

void Session::heal() {
  network().joinAll();
  network().releaseAll();
  for (const std::string &Name : m_EntryNames) {
    node(Name).thaw();
    if (!node(Name).alive())
      restart(Name);
  }
  for (auto &[Name, Row] : m_Workers) {
    Row.m_Agent->thaw();
    if (!Row.m_Agent->alive())
      restart(Name);
    Row.m_Endpoint->setBroken(false);
    Row.m_Endpoint->revive();
    Row.m_Announces = true;
  }
}

void Session::finish() {
  checker().finish();
  const ConfigVersion Newest = m_Context->m_Config.newest();
  const auto Check = [this, Newest](const std::string &Name,
                                    ConfigVersion Version) {
    if (Version != Newest)
      checker().fail("invariant 8: " + Name + " has configuration " +
                     std::to_string(Version) + " at the end, not " +
                     std::to_string(Newest));
  };
  for (const auto &[Name, Entry] : m_Entries)
    if (Entry->alive())
      Check(Name, Entry->status().m_ConfigVersion);
  for (const auto &[Name, Row] : m_Workers)
    if (Row.m_Agent->alive())
      Check(Name, Row.m_Agent->status().m_ConfigVersion);
}

} // namespace cyclamencroft::session
