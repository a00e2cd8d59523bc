#ifndef RADISHROUTE_IO_WIRE_RECORDS_H_
#define RADISHROUTE_IO_WIRE_RECORDS_H_

#include "io/wire_traffic.h"
#include "radishroute/config_message.h"
#include "radishroute/record_message.h"

namespace radishroute {

inline wire::ClaimRequest ToWire(const claim_request& m) {
  wire::ClaimRequest w;
  w.proposal = Signed(m.proposal);
  w.member = m.claim.member;
  w.key = m.claim.key;
  w.contentHash = Signed(m.claim.content_hash);
  w.dispatch = ToWire(m.claim.dispatch);
  w.backend = m.claim.backend;
  w.backendIncarnation = Signed(m.claim.backend_incarnation);
  return w;
}

inline claim_request FromWire(const wire::ClaimRequest& w, bool& ok) {
  claim_request m;
  m.proposal = Unsigned(w.proposal);
  m.claim.member = w.member;
  m.claim.key = w.key;
  m.claim.content_hash = Unsigned(w.contentHash);
  m.claim.dispatch = FromWire(w.dispatch, ok);
  m.claim.backend = w.backend;
  m.claim.backend_incarnation = Unsigned(w.backendIncarnation);
  return m;
}

inline wire::OutcomeRequest ToWire(const outcome_request& m) {
  wire::OutcomeRequest w;
  w.proposal = Signed(m.proposal);
  w.member = m.outcome.member;
  w.key = m.outcome.key;
  w.dispatch = ToWire(m.outcome.dispatch);
  w.status = EnumToWire(m.outcome.status);
  w.answerStatus = Signed(m.outcome.answer_status);
  w.answerType = m.outcome.answer_type;
  w.answer = m.outcome.answer;
  return w;
}

inline outcome_request FromWire(const wire::OutcomeRequest& w, bool& ok) {
  outcome_request m;
  m.proposal = Unsigned(w.proposal);
  m.outcome.member = w.member;
  m.outcome.key = w.key;
  m.outcome.dispatch = FromWire(w.dispatch, ok);
  m.outcome.status = EnumFromWire(w.status, record_status::kUnknown, ok);
  m.outcome.answer_status = Unsigned(w.answerStatus);
  m.outcome.answer_type = w.answerType;
  m.outcome.answer = w.answer;
  return m;
}

inline wire::RecordReply ToWire(const record_reply& m) {
  wire::RecordReply w;
  w.proposal = Signed(m.proposal);
  w.verdict = EnumToWire(m.verdict);
  w.holder = ToWire(m.holder);
  w.backend = m.backend;
  w.backendIncarnation = Signed(m.backend_incarnation);
  w.answerStored = m.answer_stored;
  w.answerStatus = Signed(m.answer_status);
  w.answerType = m.answer_type;
  w.answer = m.answer;
  return w;
}

inline record_reply FromWire(const wire::RecordReply& w, bool& ok) {
  record_reply m;
  m.proposal = Unsigned(w.proposal);
  m.verdict = EnumFromWire(w.verdict, claim_verdict::kQueueFull, ok);
  m.holder = FromWire(w.holder, ok);
  m.backend = w.backend;
  m.backend_incarnation = Unsigned(w.backendIncarnation);
  m.answer_stored = w.answerStored;
  m.answer_status = Unsigned(w.answerStatus);
  m.answer_type = w.answerType;
  m.answer = w.answer;
  return m;
}

inline wire::OutcomeReply ToWire(const outcome_reply& m) {
  wire::OutcomeReply w;
  w.proposal = Signed(m.proposal);
  w.verdict = EnumToWire(m.verdict);
  return w;
}

inline outcome_reply FromWire(const wire::OutcomeReply& w, bool& ok) {
  return {Unsigned(w.proposal), EnumFromWire(w.verdict, outcome_verdict::kContradiction, ok)};
}

inline wire::EvacuationNotice ToWire(const evacuation_notice& m) {
  wire::EvacuationNotice w;
  w.version = Signed(m.version);
  w.zones = m.zones;
  return w;
}

inline evacuation_notice FromWire(const wire::EvacuationNotice& w, bool&) {
  return {Unsigned(w.version), w.zones};
}

inline wire::LeaseRenew ToWire(const lease_renew& m) {
  wire::LeaseRenew w;
  w.sequence = Signed(m.sequence);
  w.node = m.node;
  w.zone = m.zone;
  w.appliedVersion = Signed(m.applied_version);
  w.heardVersion = Signed(m.highest_known_version);
  w.__set_evacuationVersion(Signed(m.evacuation_version));
  w.__set_acceptsPatch(m.accepts_patch);
  return w;
}

inline lease_renew FromWire(const wire::LeaseRenew& w, bool&) {
  return {Unsigned(w.sequence),
          w.node,
          w.zone,
          Unsigned(w.appliedVersion),
          Unsigned(w.heardVersion),
          Unsigned(w.evacuationVersion),
          w.acceptsPatch};
}

inline wire::LeaseGrant ToWire(const lease_grant& m) {
  wire::LeaseGrant w;
  w.sequence = Signed(m.sequence);
  w.granted = m.granted;
  w.leaderHint = ToWire(m.leader_hint);
  w.durationMicros = MicrosToWire(m.duration);
  w.version = Signed(m.version);
  std::vector<wire::Endpoint> controllers;
  ListToWire(m.controllers, controllers);
  w.__set_controllers(std::move(controllers));
  w.__set_evacuations(ToWire(m.evacuations));
  return w;
}

inline lease_grant FromWire(const wire::LeaseGrant& w, bool& ok) {
  lease_grant m;
  m.sequence = Unsigned(w.sequence);
  m.granted = w.granted;
  m.leader_hint = FromWire(w.leaderHint, ok);
  m.duration = std::chrono::microseconds(w.durationMicros);
  m.version = Unsigned(w.version);
  ConvertList(w.controllers, m.controllers,
              [&](const wire::Endpoint& e) { return FromWire(e, ok); });
  m.evacuations = FromWire(w.evacuations, ok);
  return m;
}

inline wire::ConfigPatch ToWire(const config_patch& m) {
  wire::ConfigPatch w;
  w.baseVersion = Signed(m.base_version);
  w.textHash = Signed(m.changes.text_hash);
  for (const text_edit& edit : m.changes.edits) {
    wire::TextEdit& e = w.edits.emplace_back();
    e.offset = Signed(edit.offset);
    e.length = Signed(edit.length);
    e.inserted = Signed(edit.inserted);
  }
  w.inserted = m.changes.inserted;
  return w;
}

inline config_patch FromWire(const wire::ConfigPatch& w, bool&) {
  config_patch m;
  m.base_version = Unsigned(w.baseVersion);
  m.changes.text_hash = Unsigned(w.textHash);
  for (const wire::TextEdit& e : w.edits) {
    m.changes.edits.push_back({Unsigned(e.offset), Unsigned(e.length), Unsigned(e.inserted)});
  }
  m.changes.inserted = w.inserted;
  return m;
}

inline wire::ConfigPush ToWire(const config_push& m) {
  wire::ConfigPush w;
  w.version = Signed(m.version);
  w.author = m.author;
  w.sheet = m.sheet;
  if (m.patch) w.__set_patch(ToWire(*m.patch));
  return w;
}

inline config_push FromWire(const wire::ConfigPush& w, bool& ok) {
  config_push m{Unsigned(w.version), w.author, w.sheet};
  if (w.__isset.patch) m.patch = FromWire(w.patch, ok);
  return m;
}

inline wire::VersionQuery ToWire(const version_query& m) {
  wire::VersionQuery w;
  w.sequence = Signed(m.sequence);
  return w;
}

inline version_query FromWire(const wire::VersionQuery& w, bool&) { return {Unsigned(w.sequence)}; }

inline wire::VersionReply ToWire(const version_reply& m) {
  wire::VersionReply w;
  w.sequence = Signed(m.sequence);
  w.version = Signed(m.version);
  w.sheet = m.sheet;
  w.zone = m.zone;
  w.__set_evacuations(ToWire(m.evacuations));
  return w;
}

inline version_reply FromWire(const wire::VersionReply& w, bool& ok) {
  return {Unsigned(w.sequence), Unsigned(w.version), w.sheet, w.zone, FromWire(w.evacuations, ok)};
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_RECORDS_H_
