//! Claims of non-idempotent calls. Not for: sending the calls.

mod save;

use std::collections;

use usher_wire::message;

use crate::{audit, claim_holder, claim_key, mechanism};

/// The longest recorded answer, in bytes; a longer one is recorded as truncated.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// How many bytes of answers are kept in all; beyond, the oldest ones become truncated.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// How many keys one command forgets at most, so that a command never takes long.
const MAX_FORGOTTEN: usize = 4_096;

usher_types::value_type! {
    /// How far a claim has come.
    pub enum ClaimStatus {
        /// Its holder may send the call, or has sent it.
        Running,
        /// The call was answered.
        Finished,
        /// The call may have run.
        Unknown,
        /// Its holder sent nothing; the key is free.
        Released,
    }
}

/// Digest of a key.
type KeyDigest = [u8; 16];
/// Name and incarnation of an entry.
type EntryLife = (String, u64);

/// About 100 bytes a claim, because all claims of a day are kept.
#[derive(Clone, Debug, PartialEq)]
struct ClaimRecord {
    time_ms: Option<u64>,
    fingerprint: [u8; 16],
    holder: [u8; 16],
    status: ClaimStatus,
    /// When the record may be forgotten.
    due_ms: u64,
    answer: Option<Box<message::RecordedAnswer>>,
}

/// All claims by key: at most one holder each, and ended keys never reopen.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: collections::BTreeMap<KeyDigest, ClaimRecord>,
    /// Ended keys without a time whose record was forgotten, kept for good.
    closed: collections::BTreeSet<KeyDigest>,
    closed_total: u64,
    /// Newest time among the keys with a time that were forgotten.
    forgotten_ms: u64,
    running: collections::BTreeMap<EntryLife, collections::BTreeSet<KeyDigest>>,
    due: collections::BTreeSet<(u64, KeyDigest)>,
    answer_order: collections::VecDeque<KeyDigest>,
    answer_bytes: usize,
    pub(crate) audit: audit::AuditLog,
}

impl ClaimTable {
    /// Returns how many claims are remembered with their record.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns how many ended keys are kept for good.
    pub fn closed_len(&self) -> usize {
        self.closed.len()
    }

    /// Returns the status of a key, or `None` when it has no record.
    pub fn status(&self, key: &str) -> Option<ClaimStatus> {
        let digest = claim_key::ClaimKey::parse(key).digest;
        Some(self.claims.get(&digest)?.status)
    }

    /// Returns the entries that hold running claims, with their number of claims.
    pub fn running_entries(&self) -> impl Iterator<Item = (&str, u64, usize)> {
        self.running
            .iter()
            .map(|((entry, incarnation), keys)| (entry.as_str(), *incarnation, keys.len()))
    }

    /// Returns whether a key is due to be forgotten.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.due.first().is_some_and(|(due_ms, _)| *due_ms < now_ms)
    }

    /// Decides about a claim.
    pub(crate) fn claim(
        &mut self,
        call: &message::ClaimCall,
        now_ms: u64,
        removed: Option<mechanism::StateMechanism>,
    ) -> Result<message::ClaimReply, String> {
        let in_place = |mechanism| mechanism::in_place(removed, mechanism);
        let holder = claim_holder::ClaimHolder::of(call.entry.as_ref(), &call.request_id)
            .ok_or("a claim needs an entry and a request id")?;
        if call.key.is_empty() {
            return Err("a claim needs a key".to_owned());
        }
        let key = claim_key::ClaimKey::parse(&call.key);
        if key.is_ahead(now_ms) {
            return Err("the time of the key is more than 5 minutes in the future".to_owned());
        }
        let old = key.is_old(now_ms) && in_place(mechanism::StateMechanism::ClaimKeyAge);
        if old || self.closed.contains(&key.digest) {
            return Ok(reply(message::ClaimState::Expired, None));
        }
        let fingerprint = short_fingerprint(&call.fingerprint);
        let known = self
            .claims
            .get(&key.digest)
            .filter(|_| in_place(mechanism::StateMechanism::ClaimLookup));
        let Some(record) = known else {
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(reply(message::ClaimState::Claimed, None));
        };
        let by_holder = record.holder == holder.digest();
        if record.status == ClaimStatus::Released {
            // A delayed copy of the request would take the key for an attempt that has ended.
            if by_holder {
                return Err("this request released its claim already".to_owned());
            }
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(reply(message::ClaimState::Claimed, None));
        }
        let same = record.fingerprint == fingerprint;
        if !same && in_place(mechanism::StateMechanism::ClaimFingerprint) {
            return Ok(reply(message::ClaimState::Mismatch, None));
        }
        let answer = record.answer.as_deref().cloned();
        audit::check!(
            self.audit,
            "claim.answer_of_same_call",
            same || record.status != ClaimStatus::Finished,
            "a call got the answer of another call under its key"
        );
        Ok(match record.status {
            // The answer to the same attempt was lost on its way.
            ClaimStatus::Running if by_holder => reply(message::ClaimState::Claimed, None),
            ClaimStatus::Running => reply(message::ClaimState::Running, None),
            ClaimStatus::Finished => reply(message::ClaimState::Finished, answer),
            ClaimStatus::Unknown | ClaimStatus::Released => {
                reply(message::ClaimState::Unknown, None)
            }
        })
    }

    fn grant(
        &mut self,
        key: claim_key::ClaimKey,
        fingerprint: [u8; 16],
        holder: &claim_holder::ClaimHolder,
        now_ms: u64,
    ) {
        let before = self.claims.get(&key.digest).map(|record| record.status);
        audit::check!(
            self.audit,
            "claim.single_holder",
            matches!(before, None | Some(ClaimStatus::Released)),
            "a key that is {before:?} was granted to {holder}"
        );
        audit::check!(
            self.audit,
            "claim.forgotten_key_stays_closed",
            key.time_ms
                .is_none_or(|time_ms| time_ms > self.forgotten_ms),
            "a key no newer than a forgotten one was granted to {holder}"
        );
        self.drop_record(&key.digest);
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint,
            holder: holder.digest(),
            status: ClaimStatus::Running,
            due_ms: key.time_ms.unwrap_or(now_ms).saturating_add(keep_ms()),
            answer: None,
        };
        self.running
            .entry(holder.life())
            .or_default()
            .insert(key.digest);
        self.claims.insert(key.digest, record);
    }

    /// Ends a claim; a repeated end is accepted and changes nothing.
    pub(crate) fn finish(
        &mut self,
        finish: message::FinishClaim,
        now_ms: u64,
        removed: Option<mechanism::StateMechanism>,
    ) -> Result<(), String> {
        let holder = claim_holder::ClaimHolder::of(finish.entry.as_ref(), &finish.request_id)
            .ok_or("an end of a claim needs an entry and a request id")?;
        let parsed = claim_key::ClaimKey::parse(&finish.key);
        let key = parsed.digest;
        let Some(record) = self.claims.get(&key) else {
            return self.finish_unclaimed(parsed, &holder, finish.kind(), now_ms);
        };
        let held = record.holder == holder.digest();
        if !held && mechanism::in_place(removed, mechanism::StateMechanism::ClaimHolderCheck) {
            return Err("another attempt holds the claim".to_owned());
        }
        let status = match finish.kind() {
            message::FinishKind::Answered => ClaimStatus::Finished,
            message::FinishKind::Unknown => ClaimStatus::Unknown,
            message::FinishKind::Released => ClaimStatus::Released,
            message::FinishKind::Unspecified => return Err("the end has no kind".to_owned()),
        };
        if record.status == status {
            return Ok(());
        }
        // The holder may learn the answer after its claim was given up as unknown.
        let allowed = match record.status {
            ClaimStatus::Running => true,
            ClaimStatus::Unknown => status == ClaimStatus::Finished,
            ClaimStatus::Finished | ClaimStatus::Released => false,
        };
        if !allowed {
            return Err(format!("the claim ended as {:?} already", record.status));
        }
        audit::check!(
            self.audit,
            "claim.ended_by_holder",
            held,
            "{holder} ended the claim of another attempt"
        );
        self.drop_running(&holder.life(), &key);
        self.end(key, status, now_ms);
        if status == ClaimStatus::Finished {
            self.record_answer(key, finish.answer.unwrap_or_default());
        }
        Ok(())
    }

    /// Takes an end that overtook its claim: a release keeps the late claim from being granted to
    /// an attempt that has ended.
    fn finish_unclaimed(
        &mut self,
        key: claim_key::ClaimKey,
        holder: &claim_holder::ClaimHolder,
        kind: message::FinishKind,
        now_ms: u64,
    ) -> Result<(), String> {
        let closed = self.closed.contains(&key.digest) || key.is_old(now_ms);
        if kind != message::FinishKind::Released || closed || key.is_ahead(now_ms) {
            return Err("the key is not claimed".to_owned());
        }
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint: [0; 16],
            holder: holder.digest(),
            status: ClaimStatus::Released,
            due_ms: key.time_ms.unwrap_or(now_ms).saturating_add(keep_ms()),
            answer: None,
        };
        self.due.insert((record.due_ms, key.digest));
        self.claims.insert(key.digest, record);
        Ok(())
    }

    fn drop_running(&mut self, life: &EntryLife, key: &KeyDigest) {
        if let Some(keys) = self.running.get_mut(life) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(life);
            }
        }
    }

    fn end(&mut self, key: KeyDigest, status: ClaimStatus, now_ms: u64) {
        let Some(record) = self.claims.get_mut(&key) else {
            return;
        };
        self.due.remove(&(record.due_ms, key));
        record.status = status;
        record.due_ms = record.time_ms.unwrap_or(now_ms).saturating_add(keep_ms());
        self.due.insert((record.due_ms, key));
    }

    fn record_answer(&mut self, key: KeyDigest, mut answer: message::RecordedAnswer) {
        if answer.body.len() > MAX_ANSWER_BYTES {
            answer.body = Vec::new();
            answer.truncated = true;
        }
        let Some(record) = self.claims.get_mut(&key) else {
            return;
        };
        self.answer_bytes += answer.body.len();
        if !answer.body.is_empty() {
            self.answer_order.push_back(key);
        }
        record.answer = Some(Box::new(answer));
        while self.answer_bytes > MAX_KEPT_ANSWER_BYTES {
            let Some(oldest) = self.answer_order.pop_front() else {
                break;
            };
            if let Some(answer) = self.claims.get_mut(&oldest).and_then(answer_of) {
                self.answer_bytes -= answer.body.len();
                answer.body = Vec::new();
                answer.truncated = true;
            }
        }
    }

    /// Turns the running claims of entries that are gone into unknown, and forgets old keys.
    ///
    /// Returns how many claims became unknown.
    pub(crate) fn expire(
        &mut self,
        gone: &[message::NodeIdentity],
        now_ms: u64,
        removed: Option<mechanism::StateMechanism>,
    ) -> usize {
        let mut count = 0;
        for entry in gone {
            let life = (entry.name.clone(), entry.incarnation);
            let keys = self.running.remove(&life).unwrap_or_default();
            count += keys.len();
            for key in keys {
                self.end(key, ClaimStatus::Unknown, now_ms);
            }
        }
        for _ in 0..MAX_FORGOTTEN {
            match self.due.first().copied() {
                Some((due_ms, key)) if due_ms < now_ms => {
                    self.due.remove(&(due_ms, key));
                    self.forget(key, removed);
                }
                _ => break,
            }
        }
        audit::check!(
            self.audit,
            "claim.closed_keys_kept",
            self.closed.len() as u64 == self.closed_total,
            "{} closed keys are kept, {} were closed",
            self.closed.len(),
            self.closed_total
        );
        count
    }

    fn forget(&mut self, key: KeyDigest, removed: Option<mechanism::StateMechanism>) {
        let Some(record) = self.drop_record(&key) else {
            return;
        };
        match record.time_ms {
            Some(time_ms) => self.forgotten_ms = self.forgotten_ms.max(time_ms),
            None if record.status == ClaimStatus::Released => {}
            None => {
                self.closed_total += 1;
                if mechanism::in_place(removed, mechanism::StateMechanism::ClaimClosedKept) {
                    self.closed.insert(key);
                }
            }
        }
    }

    /// Removes a record with everything that points to it.
    fn drop_record(&mut self, key: &KeyDigest) -> Option<ClaimRecord> {
        let record = self.claims.remove(key)?;
        self.due.remove(&(record.due_ms, *key));
        let body = record.answer.as_ref().map_or(0, |answer| answer.body.len());
        if body > 0 {
            self.answer_bytes -= body;
            // Answers are forgotten roughly in the order in which they came.
            if let Some(place) = self.answer_order.iter().position(|other| other == key) {
                self.answer_order.remove(place);
            }
        }
        Some(record)
    }
}

fn keep_ms() -> u64 {
    claim_key::KEY_KEEP.as_millis() as u64
}

fn answer_of(record: &mut ClaimRecord) -> Option<&mut message::RecordedAnswer> {
    record.answer.as_deref_mut()
}

fn reply(
    state: message::ClaimState,
    answer: Option<message::RecordedAnswer>,
) -> message::ClaimReply {
    message::ClaimReply {
        state: state.into(),
        answer,
    }
}

fn short_fingerprint(bytes: &[u8]) -> [u8; 16] {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(bytes);
    claim_holder::first_half(hasher)
}
