// Writes the settings of the daemons and starts them with their stand-ins.
#include "soak/SoakDeployment.h"

#include "http/HttpClient.h"
#include "platform/StoreWire.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace cyclamencroft::soak {
namespace {

constexpr std::uint32_t EndpointCores = 16;

std::string writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
  return Path;
}

} // namespace

SoakDeployment::SoakDeployment(boost::asio::io_context &Io,
                               const SoakSettings &Settings,
                               LoopbackAddresses Addresses)
    : m_Io(Io), m_Settings(Settings), m_Addresses(Addresses),
      m_Store(Io, Settings.m_Seed + 3,
              [this](std::uint32_t Client, const std::string &Topic,
                     const std::string &Value) {
                return rewriteLinkAddress(Client, Topic, Value);
              }) {
  std::filesystem::create_directories(Settings.m_Folder);
  for (std::uint32_t Client = 0;
       Client < Settings.m_Entries + Settings.m_Endpoints; ++Client)
    m_Store.listen(Client, m_Addresses.store(Client));
  makeEntries();
  makeAgents();
  makeRelays();
}

void SoakDeployment::makeEntries() {
  for (std::uint32_t I = 0; I < m_Settings.m_Entries; ++I) {
    const std::string Name = "entry-" + std::to_string(I);
    const std::string Text =
        "id = \"" + Name + "\"\nfailure_domain = \"soak\"\n" +
        "endpoint_lease_ms = 1000\n\n[listen]\njobs = \"" +
        m_Addresses.jobs(I) + "\"\nready = \"" + m_Addresses.ready(I) +
        "\"\nlinks = \"" + m_Addresses.links(I) + "\"\nmetrics = \"" +
        m_Addresses.entryMetrics(I) + "\"\n\n[store]\naddress = \"" +
        m_Addresses.store(I) + "\"\n";
    m_Entries.push_back(makeDaemon(Name, "cyclamencroft-job-entry", Text));
  }
}

void SoakDeployment::makeAgents() {
  for (std::uint32_t I = 0; I < m_Settings.m_Endpoints; ++I) {
    const std::string Name = "agent-" + std::to_string(I);
    std::string Seeds;
    for (std::uint32_t E = 0; E < m_Settings.m_Entries; ++E)
      Seeds.append(E == 0 ? "\"" : ", \"")
          .append(m_Addresses.relay(I, E))
          .append("\"");
    std::ostringstream Text;
    Text << "id = \"" << Name << "\"\nfailure_domain = \"soak\"\n"
         << "endpoint_lease_ms = 1000\nheartbeat_interval_ms = 500\n\n"
         << "[listen]\nendpoint = \"" << m_Addresses.agent(I)
         << "\"\nmetrics = \"" << m_Addresses.agentMetrics(I)
         << "\"\n\n[entries]\nseeds = [" << Seeds
         << "]\nlink_port = " << LoopbackAddresses::LinkPort
         << "\n\n[store]\naddress = \""
         << m_Addresses.store(m_Settings.m_Entries + I) << "\"\n";
    m_Agents.push_back(makeDaemon(Name, "cyclamencroft-run-agent", Text.str()));
  }
}

std::unique_ptr<DaemonProcess>
SoakDeployment::makeDaemon(const std::string &Name, const std::string &Program,
                           const std::string &Text) const {
  const std::string Base = m_Settings.m_Folder + '/' + Name;
  return std::make_unique<DaemonProcess>(
      Name, Program, writeFile(Base + ".toml", Text), Base + ".log");
}

void SoakDeployment::makeRelays() {
  for (std::uint32_t A = 0; A < m_Settings.m_Endpoints; ++A)
    for (std::uint32_t E = 0; E < m_Settings.m_Entries; ++E) {
      RelayOptions Options;
      Options.m_Listen = m_Addresses.relay(A, E);
      Options.m_Target = m_Addresses.links(E);
      m_Relays.emplace(std::pair(A, E), std::make_unique<Relay>(Options));
    }
}

void SoakDeployment::makeEndpoints(RandomSource &Random,
                                   const ObserverFactory &Observer) {
  for (std::uint32_t I = 0; I < m_Settings.m_Endpoints; ++I) {
    LeasedEndpointOptions Options;
    Options.m_Name = "endpoint-" + std::to_string(I);
    Options.m_Service = "desk";
    Options.m_FailureDomain = domainName(I % m_Settings.m_Domains);
    Options.m_Listen = m_Addresses.endpoint(I);
    Options.m_AgentAddress = m_Addresses.agent(I);
    Options.m_Capacity.m_MilliCores = wholeCores(EndpointCores);
    Options.m_Capacity.m_MemoryMiB = 8192;
    // Clocks of endpoints may be up to 2% slow.
    Options.m_ClockRate = 1 - 0.005 * Random.below(5);
    Options.m_Seed = Random.next();
    m_Endpoints.push_back(std::make_unique<LeasedEndpoint>(
        m_Io, Options, Observer(I, Options.m_Capacity)));
  }
}

void SoakDeployment::start() {
  for (const auto &Each : m_Entries)
    Each->start();
  for (const auto &Each : m_Agents)
    Each->start();
  for (const auto &Each : m_Endpoints)
    Each->start();
}

std::string SoakDeployment::rewriteLinkAddress(std::uint32_t Client,
                                               const std::string &Topic,
                                               const std::string &Value) const {
  if (Topic != platform::EntriesTopic || Client < m_Settings.m_Entries)
    return Value;
  for (std::uint32_t E = 0; E < m_Settings.m_Entries; ++E)
    if (Value == m_Addresses.links(E))
      return m_Addresses.relay(Client - m_Settings.m_Entries, E);
  return Value;
}

std::string SoakDeployment::domainName(std::uint32_t Domain) {
  return Domain == 0 ? "soak" : "soak-" + std::to_string(Domain);
}

void SoakDeployment::setLink(const LinkFault &Link, const std::string &Mode) {
  HttpCall Call;
  Call.m_Address = m_Relays.at({Link.m_Agent, Link.m_Entry})->controlAddress();
  Call.m_Method = "POST";
  Call.m_Target = "/mode";
  Call.m_Body = Mode;
  httpCallAsync(m_Io, std::move(Call), [](const HttpOutcome &) {});
}

} // namespace cyclamencroft::soak
