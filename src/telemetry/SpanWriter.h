// Writes spans in the OTLP JSON file encoding, one request of spans a line.
#pragma once

#include "entry/EntryEvents.h"

#include <memory>
#include <string>

namespace cyclamencroft {

class SpanWriter {
public:
  /// An empty \p File writes nothing. \p Service is the OTLP service name.
  SpanWriter(const std::string &File, const std::string &Service);
  ~SpanWriter();
  SpanWriter(const SpanWriter &) = delete;
  SpanWriter &operator=(const SpanWriter &) = delete;

  /// Safe from any thread.
  void write(const SpanEnded &Span);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
