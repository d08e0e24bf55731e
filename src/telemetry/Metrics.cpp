// A distribution stores a count, a sum, buckets and three quantiles estimated
// with the P-square algorithm, so that its size does not depend on the number
// of samples. The quantiles are exact enough for one process; buckets can be
// summed over all processes.
#include "telemetry/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace cyclamencroft {
namespace {

namespace acc = boost::accumulators;
namespace hist = boost::histogram;

constexpr double MicrosecondsPerSecond = 1e6;
// P-square needs five samples; with fewer it reports an arbitrary one.
constexpr std::size_t SamplesForQuantiles = 5;
constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

/// Upper bounds of the buckets in seconds, from the start of a run to the
/// longest wait of a caller.
constexpr std::array<double, 13> BucketBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

using Buckets = decltype(hist::make_histogram(hist::axis::variable<>{0, 1}));

Buckets makeBuckets() {
  return hist::make_histogram(
      hist::axis::variable<>(BucketBounds.begin(), BucketBounds.end()));
}

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

  /// The underflow bin counts the samples below the first bound.
  Buckets m_Buckets = makeBuckets();

  void add(double Seconds) {
    m_Totals(Seconds);
    m_Buckets(Seconds);
    for (Quantile &Q : m_Quantiles)
      Q(Seconds);
  }
};

void printBuckets(std::ostream &Out, const std::string &Metric,
                  const Distribution &D) {
  double Cumulative = 0;
  for (std::size_t I = 0; I < BucketBounds.size(); ++I) {
    // Bin -1 is the underflow bin.
    Cumulative += D.m_Buckets.at(static_cast<int>(I) - 1);
    Out << Metric << "_bucket{le=\"" << BucketBounds[I] << "\"} " << Cumulative
        << '\n';
  }
  Out << Metric << "_bucket{le=\"+Inf\"} " << acc::count(D.m_Totals) << '\n';
}

void print(std::ostream &Out, const std::string &Name, const Distribution &D) {
  const std::string Metric = "cyclamencroft_" + Name + "_seconds";
  Out << "# TYPE " << Metric << " histogram\n";
  printBuckets(Out, Metric, D);
  Out << Metric << "_sum " << acc::sum(D.m_Totals) << '\n';
  Out << Metric << "_count " << acc::count(D.m_Totals) << '\n';
  if (acc::count(D.m_Totals) < SamplesForQuantiles)
    return;
  Out << "# TYPE " << Metric << "_quantile gauge\n";
  for (std::size_t I = 0; I < Quantiles.size(); ++I)
    Out << Metric << "_quantile{quantile=\"" << Quantiles[I] << "\"} "
        << acc::p_square_quantile(D.m_Quantiles[I]) << '\n';
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
