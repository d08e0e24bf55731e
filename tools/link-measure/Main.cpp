// Measures links over loopback: processor time per message, and resident memory
// of idle links. Server and clients run as two processes, so that each is
// measured separately:
//   cyclamencroft-link-measure serve             prints its port, then reports
//   cyclamencroft-link-measure idle PORT LINKS   opens idle links
//   cyclamencroft-link-measure call PORT FRAMES MESSAGES
//                                                sends FRAMES frames of
//                                                MESSAGES dispatches each
#include "../common/SampleMessages.h"
#include "link/LinkClient.h"
#include "link/LinkServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>

using namespace cyclamencroft;

namespace {

double processorMicroseconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

long residentBytes() {
  std::ifstream Status("/proc/self/statm");
  long Total = 0;
  long Resident = 0;
  Status >> Total >> Resident;
  constexpr long PageBytes = 4096;
  return Resident * PageBytes;
}

/// Answers dispatches and prints its counters once per second.
class Server {
public:
  Server()
      : m_Server(
            m_Io, "127.0.0.1:0",
            {[this](LinkId) { ++m_Links; },
             [this](LinkId Link, const std::vector<LinkMessage> &Messages) {
               answer(Link, Messages.size());
             },
             [this](LinkId, const std::string &) { --m_Links; }}),
        m_Timer(m_Io) {}

  int run() {
    std::printf("port %d\n", m_Server.port());
    report();
    m_Io.run();
    return 0;
  }

private:
  /// Answers a frame of dispatches with one frame of the same number of
  /// results.
  void answer(LinkId Link, std::size_t Messages) {
    m_Messages += static_cast<long>(Messages);
    TaskResult Result;
    Result.m_HttpStatus = 200;
    Result.m_Body = m_Body;
    m_Server.send(Link, std::vector<LinkMessage>(Messages, Result));
  }

  void report() {
    const double Used = processorMicroseconds();
    std::printf("links %ld messages %ld processor-us %.0f resident %ld\n",
                m_Links, m_Messages, Used - m_Used, residentBytes());
    std::fflush(stdout);
    m_Used = Used;
    m_Messages = 0;
    m_Timer.expires_after(std::chrono::seconds(1));
    m_Timer.async_wait([this](boost::system::error_code) { report(); });
  }

  boost::asio::io_context m_Io;
  LinkServer m_Server;
  boost::asio::steady_timer m_Timer;
  Payload m_Body = makePayload(std::string(100, 'r'));
  long m_Links = 0;
  long m_Messages = 0;
  double m_Used = 0;
};

int holdIdle(const std::string &Address, int Links) {
  boost::asio::io_context Io;
  const long Before = residentBytes();
  int Open = 0;
  std::vector<std::unique_ptr<LinkClient>> Clients;
  for (int I = 0; I < Links; ++I) {
    Clients.push_back(std::make_unique<LinkClient>(
        Io, Address,
        LinkHandlers{[&](LinkId) { ++Open; },
                     [](LinkId, const std::vector<LinkMessage> &) {},
                     [&](LinkId, const std::string &) { --Open; }}));
    Clients.back()->start();
  }
  Io.run_for(std::chrono::seconds(4));
  std::printf("open %d resident bytes for each client link %ld\n", Open,
              (residentBytes() - Before) / Links);
  return 0;
}

/// Sends the next frame on a link after the answer to the previous one has
/// arrived, so that frames don't coalesce in the send queue.
int callFrames(const std::string &Address, int Frames, int Messages) {
  constexpr int Links = 32;
  boost::asio::io_context Io;
  const std::vector<LinkMessage> FrameMessages(
      static_cast<std::size_t>(Messages), sampleDispatch());
  std::vector<std::unique_ptr<LinkClient>> Clients(Links);
  int Open = 0;
  int Answered = 0;
  double Before = 0;
  std::vector<LinkId> Ids(Links);
  for (int I = 0; I < Links; ++I) {
    auto &Client = Clients[static_cast<std::size_t>(I)];
    const auto Index = static_cast<std::size_t>(I);
    Client = std::make_unique<LinkClient>(
        Io, Address,
        LinkHandlers{[&, Index](LinkId Id) {
                       Ids[Index] = Id;
                       ++Open;
                     },
                     [&, Index](LinkId Id, const std::vector<LinkMessage> &) {
                       if (++Answered < Frames)
                         Clients[Index]->send(Id, FrameMessages);
                     },
                     [](LinkId, const std::string &) {}});
    Client->start();
  }
  while (Open < Links)
    Io.run_one();
  Before = processorMicroseconds();
  for (std::size_t I = 0; I < Clients.size(); ++I)
    Clients[I]->send(Ids[I], FrameMessages);
  while (Answered < Frames)
    Io.run_one();
  const double Used = processorMicroseconds() - Before;
  std::printf("caller: %d messages a frame, %.2f us a dispatch and result\n",
              Messages, Used / Frames / Messages);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  const std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  if (Words.size() == 1 && Words[0] == "serve")
    return Server().run();
  if (Words.size() == 3 && Words[0] == "idle")
    return holdIdle("127.0.0.1:" + Words[1], std::stoi(Words[2]));
  if (Words.size() == 4 && Words[0] == "call")
    return callFrames("127.0.0.1:" + Words[1], std::stoi(Words[2]),
                      std::stoi(Words[3]));
  std::fprintf(stderr, "usage: serve | idle PORT LINKS | call PORT FRAMES "
                       "MESSAGES\n");
  return 2;
}
