// An entry process: the decision core and a stand-in for its daemon.
#pragma once

#include "SessionNode.h"
#include "entry/EntryCore.h"

#include <set>

namespace cyclamencroft::session {

class EntryNode : public SessionNode {
public:
  EntryNode(SessionContext &Context, const EntryOptions &Options,
            Duration ClockOffset);

  void submitRequest(const RequestArrived &Request,
                     const Submission &Submitted);
  void submitJob(const JobSubmitted &Job, const Submission &Submitted);
  void cancel(const RequestId &Request);
  void callerDisconnected(CallerId Caller);
  void receiveConfig(const ConfigStatePtr &State);
  void shutDown();

  EntryStatus status() const { return m_Core.status(); }

protected:
  TimePoint nextWakeup() const override { return m_Core.nextWakeup(); }
  void onTick() override { handleEvent(Tick{}); }
  void onOpened(LinkId Link, const std::string &Peer, bool IsDialer) override;
  void onClosed(LinkId Link) override;
  void onMessage(LinkId Link, const LinkMessage &Message) override;

private:
  void handleEvent(const EntryEvent &Event);
  void handleFirstMessage(LinkId Link, const LinkMessage &Message);
  void execute(const SendMessage &Command) { send(Command); }
  void execute(const CloseLink &Command) { close(Command); }
  void execute(const AnswerRequest &Command);
  void execute(const AnswerJob &Command);
  void execute(const LogDecision &Command);
  void execute(const SpanEnded &) {}
  void execute(const Drained &Command);
  void noteAnswer(const RequestId &Request, Outcome Result,
                  RefusalReason Reason, const std::string &Details);

  EntryOptions m_Options;
  EntryCore m_Core;
  /// Links whose first message has arrived.
  std::set<LinkId> m_LinksWithHello;
};

} // namespace cyclamencroft::session
