// Tests of the formats that operators' tools read: log lines, trace headers,
// spans and metrics.
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanWriter.h"
#include "telemetry/Traceparent.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(Telemetry)

// Guards against values that break the one-line key=value format.
BOOST_AUTO_TEST_CASE(LogValuesWithSpacesAndNewlinesStayOnOneLine) {
  const LogField Fields[] = {{"peer", "127.0.0.1:9"}, {"detail", "a \"b\"\nc"}};
  const std::string Line = formatEvent("entry-1", "link-closed", Fields);
  BOOST_TEST(Line == "process=entry-1 event=link-closed peer=127.0.0.1:9 "
                     "detail=\"a \\\"b\\\"\\nc\"");
}

// Guards against traces that are split between processes because a header is
// parsed or formatted wrongly.
BOOST_AUTO_TEST_CASE(TraceparentRoundTrips) {
  const std::string Header =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto Trace = parseTraceparent(Header);
  BOOST_TEST_REQUIRE(Trace.has_value());
  BOOST_TEST(formatTraceparent(*Trace) == Header);
}

// Guards against a malformed header that would join unrelated traces.
BOOST_AUTO_TEST_CASE(MalformedTraceparentIsIgnored) {
  for (const char *Header :
       {"", "00-", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01"})
    BOOST_TEST(!parseTraceparent(Header).has_value());
}

// Guards against span files that OTLP readers reject.
BOOST_AUTO_TEST_CASE(SpansAreWrittenAsOtlpJson) {
  char File[] = "/tmp/cyclamencroft-spans-XXXXXX";
  close(mkstemp(File));
  {
    SpanWriter Writer(File, "entry-1");
    SpanEnded Span;
    Span.m_Trace = {{1, 2}, 3};
    Span.m_SpanId = 4;
    Span.m_Step = "dispatch";
    Span.m_Peer = "agent-1";
    Writer.write(Span);
  }
  std::ifstream In(File);
  const auto Json = nlohmann::json::parse(In);
  std::remove(File);
  const auto &Span = Json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  BOOST_TEST(Span["traceId"] == "00000000000000010000000000000002");
  BOOST_TEST(Span["parentSpanId"] == "0000000000000003");
  BOOST_TEST(Span["name"] == "dispatch");
}

// Guards against quantiles or counts that miss samples.
BOOST_AUTO_TEST_CASE(DistributionsExportCountAndQuantiles) {
  Metrics Numbers;
  for (int I = 1; I <= 1000; ++I)
    Numbers.observe("response_time", Duration(I * 1000));
  Numbers.set("retries_total", 7);
  const std::string Text = Numbers.toPrometheus();
  BOOST_TEST(Text.find("response_time_seconds_count 1000") !=
             std::string::npos);
  BOOST_TEST(Text.find("quantile=\"0.99\"} 0.99") != std::string::npos);
  BOOST_TEST(Text.find("cyclamencroft_retries_total 7") != std::string::npos);
}

// Guards against latencies of several processes that can't be summed, and
// against samples that are in no bucket.
BOOST_AUTO_TEST_CASE(DistributionsExportCumulativeBuckets) {
  Metrics Numbers;
  Numbers.observe("response_time", Duration(500));
  Numbers.observe("response_time", Duration(150 * 1000));
  Numbers.observe("response_time", Duration(60 * 1000 * 1000));
  const std::string Text = Numbers.toPrometheus();
  const std::string Bucket = "cyclamencroft_response_time_seconds_bucket";
  BOOST_TEST(Text.find("seconds histogram") != std::string::npos);
  BOOST_TEST(Text.find(Bucket + "{le=\"0.001\"} 1\n") != std::string::npos);
  BOOST_TEST(Text.find(Bucket + "{le=\"0.1\"} 1\n") != std::string::npos);
  BOOST_TEST(Text.find(Bucket + "{le=\"0.2\"} 2\n") != std::string::npos);
  BOOST_TEST(Text.find(Bucket + "{le=\"10\"} 2\n") != std::string::npos);
  BOOST_TEST(Text.find(Bucket + "{le=\"+Inf\"} 3\n") != std::string::npos);
}

// Guards against wrong quantiles from too few samples: four samples of 35 us to
// 100 ms were reported as 35 us at every quantile.
BOOST_AUTO_TEST_CASE(QuantilesAreLeftOutBelowFiveSamples) {
  Metrics Numbers;
  for (int I = 1; I <= 4; ++I)
    Numbers.observe("response_time", Duration(I * 1000));
  const std::string Text = Numbers.toPrometheus();
  BOOST_TEST(Text.find("quantile") == std::string::npos);
  BOOST_TEST(Text.find("seconds_count 4") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
