// Fields of every link message in wire order. One list serves encoding,
// decoding and counting, so that they stay consistent.
#pragma once

#include "core/Messages.h"

#include <type_traits>

namespace cyclamencroft {

/// Calls `m_Visit(Name, Field)` for every field of a message or a part of one.
template <class V> struct FieldVisitor {
  V &m_Visit;

  template <class M> void operator()(M &Message) const {
    visit(Message, static_cast<std::remove_const_t<M> *>(nullptr));
  }

private:
  // The second parameter selects the overload for const and mutable messages.
  template <class M> void visit(M &Message, AgentHello *) const {
    m_Visit("protocol", Message.m_Protocol);
    m_Visit("agent id", Message.m_AgentId);
    m_Visit("incarnation", Message.m_Incarnation);
    m_Visit("link", Message.m_Link);
    m_Visit("window id", Message.m_WindowId);
    m_Visit("service", Message.m_Service);
    m_Visit("failure domain", Message.m_FailureDomain);
    m_Visit("rack", Message.m_Rack);
    m_Visit("endpoint address", Message.m_EndpointAddress);
    m_Visit("slots", Message.m_Slots);
    m_Visit("connections", Message.m_Connections);
    m_Visit("size", Message.m_Size);
    m_Visit("running", Message.m_Running);
    m_Visit("state", Message.m_State);
    m_Visit("config version", Message.m_ConfigVersion);
  }
  template <class M> void visit(M &Message, EntryHello *) const {
    m_Visit("protocol", Message.m_Protocol);
    m_Visit("entry id", Message.m_EntryId);
    m_Visit("incarnation", Message.m_Incarnation);
    m_Visit("config version", Message.m_ConfigVersion);
    m_Visit("entries", Message.m_Entries);
    m_Visit("sent at", Message.m_SentAt);
  }
  template <class M> void visit(M &Message, Dispatch *) const {
    m_Visit("sequence", Message.m_Sequence);
    m_Visit("floor", Message.m_Floor);
    m_Visit("request id", Message.m_Request);
    m_Visit("task index", Message.m_TaskIndex);
    m_Visit("non-idempotent", Message.m_NonIdempotent);
    m_Visit("sent at", Message.m_SentAt);
    m_Visit("time left", Message.m_TimeLeft);
    m_Visit("trace", Message.m_Trace);
    m_Visit("body", Message.m_Body);
  }
  template <class M> void visit(M &Message, TaskResult *) const {
    m_Visit("sequence", Message.m_Sequence);
    m_Visit("outcome", Message.m_Outcome);
    m_Visit("http status", Message.m_HttpStatus);
    m_Visit("run time", Message.m_RunTime);
    m_Visit("running", Message.m_Running);
    m_Visit("body", Message.m_Body);
  }
  template <class M> void visit(M &Message, TaskRefused *) const {
    m_Visit("sequence", Message.m_Sequence);
    m_Visit("reason", Message.m_Reason);
    m_Visit("running", Message.m_Running);
  }
  template <class M> void visit(M &Message, CancelTasks *) const {
    m_Visit("request id", Message.m_Request);
  }
  template <class M> void visit(M &Message, Reconcile *) const {
    m_Visit("sequences", Message.m_Sequences);
  }
  template <class M> void visit(M &Message, SequenceReport *) const {
    m_Visit("sequence", Message.m_Sequence);
    m_Visit("state", Message.m_State);
  }
  template <class M> void visit(M &Message, ReconcileReply *) const {
    m_Visit("reports", Message.m_Reports);
  }
  template <class M> void visit(M &Message, AgentStatus *) const {
    m_Visit("state", Message.m_State);
    m_Visit("slots", Message.m_Slots);
    m_Visit("running", Message.m_Running);
  }
  template <class M> void visit(M &Message, ConfigView *) const {
    m_Visit("version", Message.m_Version);
    m_Visit("preset", Message.m_Preset);
    m_Visit("agent queue", Message.m_AgentQueue);
    m_Visit("drained failure domains", Message.m_DrainedFailureDomains);
  }
  template <class M> void visit(M &Message, Heartbeat *) const {
    m_Visit("config version", Message.m_ConfigVersion);
  }
  template <class M> void visit(M &Message, Ping *) const {
    m_Visit("number", Message.m_Number);
  }
  template <class M> void visit(M &Message, Pong *) const {
    m_Visit("number", Message.m_Number);
  }
  template <class M> void visit(M &Message, ConfigTransfer *) const {
    m_Visit("version", Message.m_Version);
    m_Visit("offset", Message.m_Offset);
    m_Visit("preset", Message.m_Preset);
    m_Visit("document", Message.m_Document);
  }
  template <class M> void visit(M &Message, TeamDemand *) const {
    m_Visit("team", Message.m_Team);
    m_Visit("starts per second", Message.m_StartsPerSecond);
  }
  template <class M> void visit(M &Message, QuotaReport *) const {
    m_Visit("demands", Message.m_Demands);
  }
  template <class M> void visit(M &Message, Goodbye *) const {
    m_Visit("reason", Message.m_Reason);
  }
  template <class M> void visit(M &Message, RunnerHello *) const {
    m_Visit("protocol", Message.m_Protocol);
    m_Visit("agent id", Message.m_AgentId);
    m_Visit("incarnation", Message.m_Incarnation);
    m_Visit("link", Message.m_Link);
    m_Visit("entry", Message.m_Entry);
    m_Visit("held", Message.m_Held);
    m_Visit("ended", Message.m_Ended);
    m_Visit("endpoint", Message.m_Endpoint);
    m_Visit("load", Message.m_Load);
  }
  template <class M> void visit(M &Message, EndpointReport *) const {
    m_Visit("endpoint", Message.m_Endpoint);
    m_Visit("load", Message.m_Load);
  }
  template <class M> void visit(M &Message, LoadReport *) const {
    m_Visit("load", Message.m_Load);
  }
  template <class M> void visit(M &Message, StartTask *) const {
    m_Visit("run", Message.m_Run);
    m_Visit("generation", Message.m_Generation);
    m_Visit("need", Message.m_Need);
    m_Visit("sent at", Message.m_SentAt);
    m_Visit("start within", Message.m_StartWithin);
    m_Visit("estimate", Message.m_Estimate);
    m_Visit("specification", Message.m_Specification);
  }
  template <class M> void visit(M &Message, TaskEnded *) const {
    m_Visit("run", Message.m_Run);
    m_Visit("end", Message.m_End);
    m_Visit("refusal", Message.m_Refusal);
    m_Visit("run time", Message.m_RunTime);
    m_Visit("load", Message.m_Load);
  }
  template <class M> void visit(M &Message, StopJob *) const {
    m_Visit("job", Message.m_Job);
  }
  template <class M> void visit(M &Message, StopRun *) const {
    m_Visit("run", Message.m_Run);
  }
  template <class M> void visit(M &Message, EntryLease *) const {
    m_Visit("sent at", Message.m_SentAt);
    m_Visit("report interval", Message.m_ReportInterval);
  }
  template <class M> void visit(M &Message, ConfigHeld *) const {
    m_Visit("config version", Message.m_Version);
  }
  template <class M> void visit(M &, ConfigRequest *) const {}
  template <class M> void visit(M &Message, EvacuationReport *) const {
    m_Visit("view", Message.m_View);
  }
  template <class M> void visit(M &Message, EvacuationView *) const {
    m_Visit("offset", Message.m_Offset);
    m_Visit("domains", Message.m_Domains);
  }
  template <class M> void visit(M &Message, JobId *) const {
    m_Visit("number", Message.m_Number);
    m_Visit("upper case", Message.m_UpperCase);
  }
  template <class M> void visit(M &Message, TaskName *) const {
    m_Visit("job", Message.m_Job);
    m_Visit("step", Message.m_Step);
    m_Visit("index", Message.m_Index);
  }
  template <class M> void visit(M &Message, RunName *) const {
    m_Visit("task", Message.m_Task);
    m_Visit("number", Message.m_Number);
  }
  template <class M> void visit(M &Message, EndpointView *) const {
    m_Visit("generation", Message.m_Generation);
    m_Visit("id", Message.m_Id);
    m_Visit("service", Message.m_Service);
    m_Visit("failure domain", Message.m_FailureDomain);
    m_Visit("labels", Message.m_Labels);
    m_Visit("worker type", Message.m_WorkerType);
    m_Visit("room", Message.m_Capacity);
    m_Visit("state", Message.m_State);
  }
  template <class M> void visit(M &Message, EndpointLoad *) const {
    m_Visit("reserved", Message.m_Reserved);
    m_Visit("waiting", Message.m_Waiting);
    m_Visit("runs", Message.m_Runs);
    m_Visit("starts taken", Message.m_StartsReceived);
    m_Visit("quality", Message.m_Quality);
  }
  template <class M> void visit(M &Message, EndpointQuality *) const {
    m_Visit("run time percent", Message.m_RunTimePercent);
    m_Visit("failed percent", Message.m_FailedPercent);
    m_Visit("sample age", Message.m_SampleAge);
  }
  template <class M> void visit(M &Message, Size *) const {
    m_Visit("milli-cores", Message.m_MilliCores);
    m_Visit("memory", Message.m_MemoryMiB);
    m_Visit("accelerators", Message.m_Accelerators);
  }
  template <class M> void visit(M &Message, RequestId *) const {
    m_Visit("high", Message.m_High);
    m_Visit("low", Message.m_Low);
  }
  template <class M> void visit(M &Message, TraceContext *) const {
    m_Visit("trace id", Message.m_TraceId);
    m_Visit("parent span", Message.m_ParentSpanId);
  }
};

} // namespace cyclamencroft
