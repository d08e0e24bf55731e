// Distributions keep a count, a sum and three running quantiles (P-square), so
// that their size does not depend on the number of samples.
#include "telemetry/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace cyclamencroft {
namespace {

namespace acc = boost::accumulators;

constexpr double MicrosecondsPerSecond = 1e6;
// P-square starts from five samples; before that it reports an arbitrary one.
constexpr std::size_t SamplesForQuantiles = 5;
constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using Totals =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using Quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct Distribution {
  Totals m_Totals;
  std::array<Quantile, Quantiles.size()> m_Quantiles = {
      Quantile(acc::quantile_probability = Quantiles[0]),
      Quantile(acc::quantile_probability = Quantiles[1]),
      Quantile(acc::quantile_probability = Quantiles[2])};

  void add(double Seconds) {
    m_Totals(Seconds);
    for (Quantile &Q : m_Quantiles)
      Q(Seconds);
  }
};

void print(std::ostream &Out, const std::string &Name, const Distribution &D) {
  Out << "# TYPE cyclamencroft_" << Name << "_seconds summary\n";
  const bool HasQuantiles = acc::count(D.m_Totals) >= SamplesForQuantiles;
  for (std::size_t I = 0; HasQuantiles && I < Quantiles.size(); ++I)
    Out << "cyclamencroft_" << Name << "_seconds{quantile=\"" << Quantiles[I]
        << "\"} " << acc::p_square_quantile(D.m_Quantiles[I]) << '\n';
  Out << "cyclamencroft_" << Name << "_seconds_sum " << acc::sum(D.m_Totals)
      << '\n';
  Out << "cyclamencroft_" << Name << "_seconds_count " << acc::count(D.m_Totals)
      << '\n';
}

} // namespace

class Metrics::Impl {
public:
  void observe(std::string_view Name, Duration Value) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Distributions.find(Name);
    if (Found == m_Distributions.end())
      Found = m_Distributions.try_emplace(std::string(Name)).first;
    Found->second.add(static_cast<double>(Value.count()) /
                      MicrosecondsPerSecond);
  }

  void set(std::string_view Name, std::uint64_t Value) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Values[std::string(Name)] = Value;
  }

  std::string toPrometheus() const {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    std::ostringstream Out;
    for (const auto &[Name, Samples] : m_Distributions)
      print(Out, Name, Samples);
    for (const auto &[Name, Value] : m_Values)
      Out << "cyclamencroft_" << Name << ' ' << Value << '\n';
    return Out.str();
  }

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, Distribution, std::less<>> m_Distributions;
  std::map<std::string, std::uint64_t> m_Values;
};

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::observe(std::string_view Name, Duration Value) {
  m_Impl->observe(Name, Value);
}

void Metrics::set(std::string_view Name, std::uint64_t Value) {
  m_Impl->set(Name, Value);
}

std::string Metrics::toPrometheus() const { return m_Impl->toPrometheus(); }

} // namespace cyclamencroft
