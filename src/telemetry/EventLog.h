// Structured log: writes one line of key=value pairs per event with log4cxx.
#pragma once

#include "entry/EntryEvents.h"

#include <boost/core/span.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamencroft {

enum class LogLevel { Debug, Info, Warning, Error };

class EventLog {
public:
  /// Opens the process-wide log. An empty \p File writes to standard error.
  /// \p Process is the value of the `process` key on every line.
  static void open(const std::string &File, const std::string &Process);

  /// Opens the log on standard output, written by a separate thread. Lines that
  /// arrive faster than they can be written, or exceed the process's rate
  /// limit, are counted and dropped, so that logging never blocks its caller.
  static void openStdout(const std::string &Process);

  /// Writes the queued lines. Later lines are lost.
  static void close();

  /// Writes `time=... level=... process=... event=... key=value ...`. Values
  /// with spaces or quotes are quoted. Safe from any thread.
  static void write(LogLevel Level, std::string_view Event,
                    boost::span<const LogField> Fields);
};

/// `process=... event=... key=value ...`, as EventLog::write() logs it.
std::string formatEvent(std::string_view Process, std::string_view Event,
                        boost::span<const LogField> Fields);

/// Shorthand for EventLog::write() with a braced list of fields.
inline void logEvent(LogLevel Level, std::string_view Event,
                     std::initializer_list<LogField> Fields) {
  EventLog::write(Level, Event,
                  boost::span<const LogField>(Fields.begin(), Fields.size()));
}

} // namespace cyclamencroft
