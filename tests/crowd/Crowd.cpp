// Sends on all connections as fast as the server reads.
#include "crowd/Crowd.h"

#include "core/SocketAddress.h"

#include <boost/asio/write.hpp>

namespace cyclamencroft::crowd {

Crowd::Crowd(boost::asio::io_context &Io, const CrowdOptions &Options)
    : m_Options(Options) {
  const auto Address = *parseSocketAddress(Options.m_Address);
  for (std::size_t Number = 0; Number < Options.m_Callers; ++Number) {
    const auto Added = std::make_shared<Caller>(Io);
    Added->m_PiecesLeft = Options.m_Pieces;
    m_Callers.push_back(Added);
    Added->m_Socket.async_connect(
        Address, [this, Added](const boost::system::error_code &Fault) {
          if (Fault)
            ++m_Finished;
          else
            send(Added, m_Options.m_Opening);
        });
  }
}

void Crowd::send(const CallerPtr &Sender, const std::string &Bytes) {
  boost::asio::async_write(
      Sender->m_Socket, boost::asio::buffer(Bytes),
      [this, Sender](const boost::system::error_code &Fault, std::size_t) {
        if (Fault || Sender->m_PiecesLeft == 0) {
          ++m_Finished;
          return;
        }
        --Sender->m_PiecesLeft;
        send(Sender, m_Options.m_Piece);
      });
}

} // namespace cyclamencroft::crowd
