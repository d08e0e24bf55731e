// The load generator runs on the calling thread, and timers on the same thread
// inject the faults.
#include "bench/BenchRunner.h"

#include "bench/BenchCluster.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <utility>

namespace cyclamencroft {
namespace {

using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

/// Time until the platform's load balancer removes a failed entry from its
/// rotation.
constexpr Duration BalancerDelay = std::chrono::milliseconds(500);

/// Applies a fault to a running cluster.
class FaultInjector {
public:
  FaultInjector(boost::asio::io_context &Io, BenchCluster &Cluster,
                LoadGenerator &Load, const RowOptions &Options)
      : m_Cluster(Cluster), m_Load(Load), m_Options(Options),
        m_BalancerTimer(Io) {}

  void operator()(const NoFault &) {}

  void operator()(const OneStraggler &) {
    m_Cluster.setMode(0, StandinMode::Straggle);
  }

  void operator()(const OneFailingWorker &) {
    m_Cluster.setMode(0, StandinMode::Fail);
  }

  void operator()(const RackKilled &) {
    for (std::uint32_t I = 0; I < m_Options.m_Sizes.m_WorkersPerRack; ++I)
      m_Cluster.killWorker(I);
  }

  void operator()(const EntryKilled &) {
    const std::uint32_t Last = m_Options.m_Entries - 1;
    const std::string Address = m_Cluster.entryAddresses().at(Last);
    m_Cluster.killEntry(Last);
    m_BalancerTimer.expires_after(BalancerDelay);
    m_BalancerTimer.async_wait(
        [this, Address](const boost::system::error_code &Error) {
          if (!Error)
            m_Load.removeEntry(Address);
        });
  }

  void operator()(const LogDownFault &) { m_Cluster.stopLog(); }

private:
  BenchCluster &m_Cluster;
  LoadGenerator &m_Load;
  const RowOptions &m_Options;
  Timer m_BalancerTimer;
};

MessageCounts difference(const MessageCounts &After,
                         const MessageCounts &Before) {
  return {After.m_Dispatches - Before.m_Dispatches,
          After.m_Results - Before.m_Results,
          After.m_Refusals - Before.m_Refusals,
          After.m_Control - Before.m_Control};
}

} // namespace

BenchRow runRow(const RowOptions &Options) {
  const std::uint32_t Slots = Options.m_Sizes.totalSlots();
  BenchCluster Cluster(Options.m_Sizes, Options.m_Policy, Options.m_Entries);
  boost::asio::io_context Io(1);
  LoadGenerator Load(Io, Cluster.entryAddresses(), Options.m_Sizes.m_Service,
                     Slots);
  FaultInjector Inject(Io, Cluster, Load, Options);
  Timer FaultTimer(Io, Options.m_Length / 3);
  FaultTimer.async_wait([&](const boost::system::error_code &Error) {
    if (!Error)
      std::visit(Inject, Options.m_Scenario.m_Fault);
  });

  const MessageCounts Before = Cluster.messages();
  Load.start(planWorkload(
      workloadOf(Options.m_Scenario, Slots, Options.m_Length, Options.m_Seed)));
  Io.run();

  BenchRow Row;
  Row.m_Deployment = Options.m_Sizes.m_Name;
  Row.m_Scenario = Options.m_Scenario.m_Name;
  Row.m_Policy = Options.m_Policy;
  Row.m_Messages = difference(Cluster.messages(), Before);
  summarize(Load.samples(), Row);
  return Row;
}

} // namespace cyclamencroft
