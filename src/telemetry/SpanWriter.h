// Writes trace spans in the OTLP JSON file encoding, one span per line.
#pragma once

#include "entry/EntryEvents.h"

#include <memory>
#include <string>

namespace cyclamencroft {

class SpanWriter {
public:
  /// Appends to \p File; when it is empty, nothing is written. \p Service is
  /// the OTLP service name.
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
