// log4cxx formats the time and level; this file formats the key=value pairs.
#include "telemetry/EventLog.h"

#include "telemetry/LogBudget.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <string>

namespace cyclamencroft {
namespace {

constexpr char LinePattern[] = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p "
                               "%m%n";

/// Capacity of the queue to the writing thread in lines; about 200 KB.
constexpr int MaxQueuedLines = 1000;

/// Sustained rate of the rate limit; a line takes about 20 us of CPU time.
constexpr std::uint32_t LinesPerSecond = 250;

LogBudget &budget() {
  static LogBudget Budget;
  return Budget;
}

const log4cxx::LoggerPtr &logger() {
  static const log4cxx::LoggerPtr Root = log4cxx::Logger::getRootLogger();
  return Root;
}

/// Value of the `process` key; set once by open() before other threads start.
std::string &processName() {
  static std::string Name;
  return Name;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Line += '\\';
    if (C == '\n')
      Line += "\\n";
    else if (C == '\r')
      Line += "\\r";
    else
      Line += C;
  }
  Line += '"';
}

void appendField(std::string &Line, std::string_view Key,
                 std::string_view Value) {
  if (!Line.empty())
    Line += ' ';
  Line.append(Key);
  Line += '=';
  if (needsQuotes(Value))
    appendQuoted(Line, Value);
  else
    Line.append(Value);
}

log4cxx::LevelPtr levelOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr makeAppender(const std::string &File) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
  if (!File.empty())
    return std::make_shared<log4cxx::FileAppender>(Layout, File, true);
  return std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
}

} // namespace

void EventLog::open(const std::string &File, const std::string &Process) {
  processName() = Process;
  log4cxx::LogManager::resetConfiguration();
  log4cxx::BasicConfigurator::configure(makeAppender(File));
  logger()->setLevel(log4cxx::Level::getInfo());
}

void EventLog::openStdout(const std::string &Process) {
  processName() = Process;
  log4cxx::LogManager::resetConfiguration();
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
  const auto Queue = std::make_shared<log4cxx::AsyncAppender>();
  Queue->setBufferSize(MaxQueuedLines);
  Queue->setBlocking(false);
  Queue->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemOut()));
  log4cxx::BasicConfigurator::configure(Queue);
  logger()->setLevel(log4cxx::Level::getInfo());
  budget().setRate(LinesPerSecond);
}

void EventLog::close() { log4cxx::LogManager::shutdown(); }

void EventLog::write(LogLevel Level, std::string_view Event,
                     boost::span<const LogField> Fields) {
  const log4cxx::LevelPtr Target = levelOf(Level);
  if (!logger()->isEnabledFor(Target))
    return;
  const std::optional<std::uint64_t> Dropped =
      budget().take(RuntimeClock::now());
  if (!Dropped)
    return;
  if (*Dropped > 0) {
    const LogField Count{"lines", std::to_string(*Dropped)};
    std::string Note = formatEvent(processName(), "log-lines-dropped",
                                   boost::span<const LogField>(&Count, 1));
    logger()->forcedLog(log4cxx::Level::getWarn(), Note);
  }
  std::string Line = formatEvent(processName(), Event, Fields);
  logger()->forcedLog(Target, Line);
}

std::string formatEvent(std::string_view Process, std::string_view Event,
                        boost::span<const LogField> Fields) {
  std::string Line;
  appendField(Line, "process", Process);
  appendField(Line, "event", Event);
  for (const LogField &Field : Fields)
    appendField(Line, Field.m_Key, Field.m_Value);
  return Line;
}

} // namespace cyclamencroft
