// Key tables of the daemons' settings files.
#include "settings/SettingsReader.h"

#include "settings/KeyTable.h"

namespace cyclamencroft {
namespace {

const NumberRange<std::uint32_t> EntryCount{1, 256, "entries"};
const NumberRange<std::uint32_t> ThreadCount{1, 64, "threads"};
const NumberRange<std::uint32_t> ConnectionCount{1, 65535, "connections"};

std::vector<KeyRule<EntrySettings>> entryKeys() {
  using S = EntrySettings;
  return {
      required(textKey("id", &S::m_Id, NameFormat,
                       "name of this entry in logs, traces and hellos")),
      required(textKey("failure_domain", &S::m_FailureDomain, NameFormat,
                       "failure domain that the entry's host is in")),
      textListKey("peers", &S::m_Peers, AddressFormat, 0,
                  "link addresses of peer entries to connect to; of two "
                  "entries only one needs the other's address"),
      integerKey("entries", &S::m_Entries, EntryCount,
                 "entries of the deployment, this one included; quotas are "
                 "split over them"),
      textKey("listen.http", &S::m_HttpListen, ListenFormat,
              "listener for callers and operators; port 0 takes a free one"),
      textKey("listen.link", &S::m_LinkListen, ListenFormat,
              "listener for agents and peer entries; port 0 takes a free one"),
      required(textKey("log.address", &S::m_LogAddress, AddressFormat,
                       "address of the platform's log")),
      integerKey("limits.http_threads", &S::m_HttpThreads, ThreadCount,
                 "threads that read and answer HTTP"),
      integerKey("limits.max_connections", &S::m_MaxConnections,
                 ConnectionCount, "open connections on the HTTP listener"),
      textKey("telemetry.log_file", &S::m_LogFile, AnyFormat,
              "file of log lines; empty writes to standard error"),
      textKey("telemetry.span_file", &S::m_SpanFile, AnyFormat,
              "file of spans (OTLP JSON); empty writes none"),
  };
}

std::vector<KeyRule<AgentSettings>> agentKeys() {
  using S = AgentSettings;
  return {
      required(textKey("id", &S::m_Id, NameFormat,
                       "name of this agent in logs, traces and hellos")),
      required(textKey("failure_domain", &S::m_FailureDomain, NameFormat,
                       "failure domain that the agent's worker is in")),
      textKey("rack", &S::m_Rack, OptionalNameFormat,
              "rack of the worker; empty when it is not known"),
      required(textListKey("entries", &S::m_Entries, AddressFormat, 1,
                           "link addresses of every entry")),
      textKey("listen.http", &S::m_HttpListen, ListenFormat,
              "listener for the endpoint's announcements; port 0 takes a free "
              "one"),
      textKey("telemetry.log_file", &S::m_LogFile, AnyFormat,
              "file of log lines; empty writes to standard error"),
      textKey("telemetry.span_file", &S::m_SpanFile, AnyFormat,
              "file of spans (OTLP JSON); empty writes none"),
  };
}

const NumberRange<std::uint32_t> LeaseTime{100, 60000, "ms"};
const NumberRange<std::uint32_t> ReceiveMemory{1, 65536, "MiB"};
const NumberRange<std::uint32_t> ShutdownDelay{0, 60000, "ms"};
const NumberRange<std::uint32_t> HeartbeatTime{50, 60000, "ms"};
const NumberRange<std::uint32_t> PortNumber{1, 65535, "port"};

std::vector<KeyRule<JobEntrySettings>> jobEntryKeys() {
  using S = JobEntrySettings;
  return {
      required(textKey("id", &S::m_Id, NameFormat,
                       "name of this entry in logs and hellos")),
      required(textKey("failure_domain", &S::m_FailureDomain, NameFormat,
                       "failure domain that the entry's host is in")),
      required(textKey("listen.jobs", &S::m_JobsListen, ListenFormat,
                       "listener for callers")),
      required(textKey("listen.ready", &S::m_ReadyListen, ListenFormat,
                       "listener for the load balancer's readiness "
                       "check")),
      required(textKey("listen.links", &S::m_LinkListen, ListenFormat,
                       "listener for agents")),
      textKey("listen.metrics", &S::m_MetricsListen, ListenFormat,
              "listener for metrics; port 0 takes a free one"),
      required(textKey("store.address", &S::m_StoreAddress, AddressFormat,
                       "address of the platform's store")),
      integerKey("limits.receive_mib", &S::m_ReceiveMiB, ReceiveMemory,
                 "memory for callers' requests that are being received or "
                 "handled; when it runs short, those that hold the most for "
                 "the longest are refused"),
      millisecondsKey("endpoint_lease_ms", &S::m_EndpointLease, LeaseTime,
                      "longest lease of a run that endpoints grant"),
      millisecondsKey("linger_ms", &S::m_ShutdownDelay, ShutdownDelay,
                      "time for which work is accepted after a termination "
                      "signal, so that the load balancer can detect it"),
  };
}

std::vector<KeyRule<RunAgentSettings>> runAgentKeys() {
  using S = RunAgentSettings;
  return {
      required(textKey("id", &S::m_Id, NameFormat,
                       "name of this agent in logs and hellos")),
      required(textKey("failure_domain", &S::m_FailureDomain, NameFormat,
                       "failure domain that the agent's worker is in")),
      required(textKey("listen.endpoint", &S::m_EndpointListen, ListenFormat,
                       "listener for the endpoint's heartbeats")),
      textKey("listen.metrics", &S::m_MetricsListen, ListenFormat,
              "listener for metrics; port 0 takes a free one"),
      textListKey("entries.seeds", &S::m_SeedHosts, AddressFormat, 0,
                  "addresses on hosts that ran entries a short time ago; "
                  "their ports are not used"),
      required(integerKey("entries.link_port", &S::m_EntryLinkPort, PortNumber,
                          "port of the entries' listeners for agents")),
      required(textKey("store.address", &S::m_StoreAddress, AddressFormat,
                       "address of the platform's store")),
      millisecondsKey("endpoint_lease_ms", &S::m_EndpointLease, LeaseTime,
                      "longest lease of a run that the endpoint grants"),
      millisecondsKey("heartbeat_interval_ms", &S::m_HeartbeatInterval,
                      HeartbeatTime, "interval of the endpoint's heartbeats"),
  };
}

template <class Settings>
boost::leaf::result<Settings>
readSettings(const std::string &File,
             const std::vector<KeyRule<Settings>> &Rules) {
  DiagnosticList Diagnostics(File);
  const std::string Text = readTextFile(File, Diagnostics);
  if (!Diagnostics.empty())
    return boost::leaf::new_error(SettingsFaults{Diagnostics.faults()});
  const auto Values = parseToml(Text, Diagnostics);
  if (!Diagnostics.empty())
    return boost::leaf::new_error(SettingsFaults{Diagnostics.faults()});
  Settings Target;
  applyKeys<Settings>(Rules, Values, 0, "", Target, Diagnostics);
  if (!Diagnostics.empty())
    return boost::leaf::new_error(SettingsFaults{Diagnostics.faults()});
  return Target;
}

} // namespace

boost::leaf::result<EntrySettings> readEntrySettings(const std::string &File) {
  return readSettings(File, entryKeys());
}

boost::leaf::result<AgentSettings> readAgentSettings(const std::string &File) {
  return readSettings(File, agentKeys());
}

boost::leaf::result<JobEntrySettings>
readJobEntrySettings(const std::string &File) {
  return readSettings(File, jobEntryKeys());
}

boost::leaf::result<RunAgentSettings>
readRunAgentSettings(const std::string &File) {
  return readSettings(File, runAgentKeys());
}

std::string settingsReference() {
  return "## Settings of an entry\n\n" +
         markdownTable(describeKeys(entryKeys())) +
         "\n## Settings of an agent\n\n" +
         markdownTable(describeKeys(agentKeys())) +
         "\n## Settings of a job entry\n\n" +
         markdownTable(describeKeys(jobEntryKeys())) +
         "\n## Settings of a run agent\n\n" +
         markdownTable(describeKeys(runAgentKeys()));
}

} // namespace cyclamencroft
