// Shared parts of the main functions of the platform's daemons: command line,
// settings validation and log.
#pragma once

#include "core/StartupSignals.h"
#include "settings/SettingsReader.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <malloc.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace cyclamencroft {

/// Memory blocks of this size and larger are returned to the system when they
/// are freed. Otherwise the C library raises the limit after the first large
/// request, and later ones fragment the heap.
constexpr int ReturnedBlockBytes = 32 * 1024;

/// Returns the settings that \p Read reads from \p File, or nothing after
/// printing all errors in them.
template <class Settings>
std::optional<Settings>
readCheckedSettings(boost::leaf::result<Settings> (*Read)(const std::string &),
                    const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(Values, Read(File));
        return std::optional<Settings>(std::move(Values));
      },
      [](const SettingsFaults &Faults) -> std::optional<Settings> {
        for (const std::string &Fault : Faults.m_Faults)
          std::cerr << Fault << '\n';
        return std::nullopt;
      },
      []() -> std::optional<Settings> {
        std::cerr << "the settings could not be read\n";
        return std::nullopt;
      });
}

/// Parses the command line, reads the settings and calls \p Serve with them,
/// which releases the startup signals. Returns the exit status of the process.
template <class Settings, class F>
int runDaemon(int Count, char **Arguments, const std::string &Description,
              boost::leaf::result<Settings> (*Read)(const std::string &),
              F Serve) {
  holdStartupSignals();
  mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes);
  CLI::App App(Description);
  std::string File;
  bool CheckOnly = false;
  App.add_option("--settings", File, "settings file (TOML)")->required();
  App.add_flag("--check", CheckOnly, "check the settings and exit");
  CLI11_PARSE(App, Count, Arguments);
  const auto Values = readCheckedSettings(Read, File);
  if (!Values)
    return EXIT_FAILURE;
  if (CheckOnly)
    return EXIT_SUCCESS;
  try {
    EventLog::openStdout(Values->m_Id);
    const int Status = Serve(*Values);
    EventLog::close();
    return Status;
  } catch (const std::exception &Fault) {
    std::cerr << Description << ": " << Fault.what() << '\n';
    return EXIT_FAILURE;
  }
}

} // namespace cyclamencroft
