// An entry process: the decision core and what the daemon does around it.
#pragma once

#include "SessionNode.h"
#include "entry/EntryCore.h"

#include <set>

namespace cyclamencroft::session {

class EntryNode : public SessionNode {
public:
  EntryNode(SessionContext &Context, const EntryOptions &Options,
            Duration ClockOffset);

  void request(const RequestArrived &Request, const Submission &What);
  void job(const JobSubmitted &Job, const Submission &What);
  void cancel(const RequestId &Request);
  void callerGone(CallerId Caller);
  void adopt(const ConfigStatePtr &State);
  void shutDown();

  EntryStatus status() const { return m_Core.status(); }

protected:
  TimePoint wakeup() const override { return m_Core.nextWakeup(); }
  void onTick() override { feed(Tick{}); }
  void onOpened(LinkId Link, const std::string &Peer, bool IsDialer) override;
  void onClosed(LinkId Link) override;
  void onMessage(LinkId Link, const LinkMessage &Message) override;

private:
  void feed(const EntryEvent &Event);
  void firstMessage(LinkId Link, const LinkMessage &Message);
  void perform(const SendMessage &Command) { send(Command); }
  void perform(const CloseLink &Command) { close(Command); }
  void perform(const AnswerRequest &Command);
  void perform(const AnswerJob &Command);
  void perform(const LogDecision &Command);
  void perform(const SpanEnded &) {}
  void perform(const Drained &Command);
  void noteAnswer(const RequestId &Request, Outcome End, RefusalReason Reason,
                  const std::string &Rest);

  EntryOptions m_Options;
  EntryCore m_Core;
  /// Links whose hello has arrived.
  std::set<LinkId> m_HelloReceived;
};

} // namespace cyclamencroft::session
