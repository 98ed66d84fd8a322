//! Claims of non-idempotent calls. Not for: sending the calls.

mod snapshot_part;

use std::collections;

use usher_wire::message;

use crate::{claim_holder, claim_key, mechanism, violation_log};

/// The longest recorded answer, in bytes; a longer one is recorded as truncated.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// How many bytes of answers are kept in all; beyond, the oldest ones become truncated.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// How many keys one command forgets at most, so that a command never takes long.
const MAX_EXPIRED_PER_COMMAND: usize = 4_096;

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
type EntryIncarnation = (String, u64);

/// About 100 bytes a claim, because all claims of a day are kept.
#[derive(Clone, Debug, PartialEq)]
struct ClaimRecord {
    time_ms: Option<u64>,
    fingerprint: [u8; 16],
    holder: [u8; 16],
    status: ClaimStatus,
    /// When the record may be forgotten.
    expires_ms: u64,
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
    running: collections::BTreeMap<EntryIncarnation, collections::BTreeSet<KeyDigest>>,
    expiry_queue: collections::BTreeSet<(u64, KeyDigest)>,
    answer_order: collections::VecDeque<KeyDigest>,
    answer_bytes: usize,
    pub(crate) violations: violation_log::ViolationLog,
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
        self.expiry_queue
            .first()
            .is_some_and(|(expires_ms, _)| *expires_ms < now_ms)
    }

    /// Decides about a claim.
    pub(crate) fn claim(
        &mut self,
        call: &message::ClaimCall,
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<message::ClaimReply, String> {
        let is_enabled = |mechanism| mechanism::is_enabled(disabled, mechanism);
        let holder = claim_holder::ClaimHolder::of(call.entry.as_ref(), &call.request_id)
            .ok_or("a claim needs an entry and a request id")?;
        if call.key.is_empty() {
            return Err("a claim needs a key".to_owned());
        }
        let key = claim_key::ClaimKey::parse(&call.key);
        if key.is_too_far_ahead(now_ms) {
            return Err("the time of the key is more than 5 minutes in the future".to_owned());
        }
        let expired = key.is_expired(now_ms) && is_enabled(mechanism::StateMechanism::ClaimKeyAge);
        if expired || self.closed.contains(&key.digest) {
            return Ok(claim_reply(message::ClaimState::Expired, None));
        }
        let fingerprint = fingerprint_digest(&call.fingerprint);
        let known = self
            .claims
            .get(&key.digest)
            .filter(|_| is_enabled(mechanism::StateMechanism::ClaimLookup));
        let Some(record) = known else {
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(claim_reply(message::ClaimState::Claimed, None));
        };
        let by_holder = record.holder == holder.digest();
        if record.status == ClaimStatus::Released {
            // A delayed copy of the request would take the key for an attempt that has ended.
            if by_holder {
                return Err("this request released its claim already".to_owned());
            }
            self.grant(key, fingerprint, &holder, now_ms);
            return Ok(claim_reply(message::ClaimState::Claimed, None));
        }
        let same = record.fingerprint == fingerprint;
        if !same && is_enabled(mechanism::StateMechanism::ClaimFingerprint) {
            return Ok(claim_reply(message::ClaimState::Mismatch, None));
        }
        let answer = record.answer.as_deref().cloned();
        violation_log::check!(
            self.violations,
            "claim.answer_of_same_call",
            same || record.status != ClaimStatus::Finished,
            "a call got the answer of another call under its key"
        );
        Ok(match record.status {
            // The answer to the same attempt was lost on its way.
            ClaimStatus::Running if by_holder => claim_reply(message::ClaimState::Claimed, None),
            ClaimStatus::Running => claim_reply(message::ClaimState::Running, None),
            ClaimStatus::Finished => claim_reply(message::ClaimState::Finished, answer),
            ClaimStatus::Unknown | ClaimStatus::Released => {
                claim_reply(message::ClaimState::Unknown, None)
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
        violation_log::check!(
            self.violations,
            "claim.single_holder",
            matches!(before, None | Some(ClaimStatus::Released)),
            "a key that is {before:?} was granted to {holder}"
        );
        violation_log::check!(
            self.violations,
            "claim.forgotten_key_stays_closed",
            key.time_ms
                .is_none_or(|time_ms| time_ms > self.forgotten_ms),
            "a key no newer than a forgotten one was granted to {holder}"
        );
        self.remove_record(&key.digest);
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint,
            holder: holder.digest(),
            status: ClaimStatus::Running,
            expires_ms: key.time_ms.unwrap_or(now_ms).saturating_add(retention_ms()),
            answer: None,
        };
        self.running
            .entry(holder.entry_incarnation())
            .or_default()
            .insert(key.digest);
        self.claims.insert(key.digest, record);
    }

    /// Ends a claim; a repeated end is accepted and changes nothing.
    pub(crate) fn finish(
        &mut self,
        finish: message::FinishClaim,
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<(), String> {
        let holder = claim_holder::ClaimHolder::of(finish.entry.as_ref(), &finish.request_id)
            .ok_or("an end of a claim needs an entry and a request id")?;
        let parsed = claim_key::ClaimKey::parse(&finish.key);
        let key = parsed.digest;
        let Some(record) = self.claims.get(&key) else {
            return self.finish_unclaimed(parsed, &holder, finish.kind(), now_ms);
        };
        let held = record.holder == holder.digest();
        if !held && mechanism::is_enabled(disabled, mechanism::StateMechanism::ClaimHolderCheck) {
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
        violation_log::check!(
            self.violations,
            "claim.ended_by_holder",
            held,
            "{holder} ended the claim of another attempt"
        );
        self.remove_running(&holder.entry_incarnation(), &key);
        self.set_status(key, status, now_ms);
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
        let closed = self.closed.contains(&key.digest) || key.is_expired(now_ms);
        if kind != message::FinishKind::Released || closed || key.is_too_far_ahead(now_ms) {
            return Err("the key is not claimed".to_owned());
        }
        let record = ClaimRecord {
            time_ms: key.time_ms,
            fingerprint: [0; 16],
            holder: holder.digest(),
            status: ClaimStatus::Released,
            expires_ms: key.time_ms.unwrap_or(now_ms).saturating_add(retention_ms()),
            answer: None,
        };
        self.expiry_queue.insert((record.expires_ms, key.digest));
        self.claims.insert(key.digest, record);
        Ok(())
    }

    fn remove_running(&mut self, entry: &EntryIncarnation, key: &KeyDigest) {
        if let Some(keys) = self.running.get_mut(entry) {
            keys.remove(key);
            if keys.is_empty() {
                self.running.remove(entry);
            }
        }
    }

    fn set_status(&mut self, key: KeyDigest, status: ClaimStatus, now_ms: u64) {
        let Some(record) = self.claims.get_mut(&key) else {
            return;
        };
        self.expiry_queue.remove(&(record.expires_ms, key));
        record.status = status;
        record.expires_ms = record
            .time_ms
            .unwrap_or(now_ms)
            .saturating_add(retention_ms());
        self.expiry_queue.insert((record.expires_ms, key));
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
            if let Some(answer) = self.claims.get_mut(&oldest).and_then(recorded_answer) {
                self.answer_bytes -= answer.body.len();
                answer.body = Vec::new();
                answer.truncated = true;
            }
        }
    }

    /// Turns the running claims of entries that are gone into unknown, and forgets expired keys.
    ///
    /// Returns how many claims became unknown.
    pub(crate) fn expire(
        &mut self,
        gone: &[message::NodeIdentity],
        now_ms: u64,
        disabled: Option<mechanism::StateMechanism>,
    ) -> usize {
        let mut count = 0;
        for entry in gone {
            let identity = (entry.name.clone(), entry.incarnation);
            let keys = self.running.remove(&identity).unwrap_or_default();
            count += keys.len();
            for key in keys {
                self.set_status(key, ClaimStatus::Unknown, now_ms);
            }
        }
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            match self.expiry_queue.first().copied() {
                Some((expires_ms, key)) if expires_ms < now_ms => {
                    self.expiry_queue.remove(&(expires_ms, key));
                    self.expire_record(key, disabled);
                }
                _ => break,
            }
        }
        violation_log::check!(
            self.violations,
            "claim.closed_keys_kept",
            self.closed.len() as u64 == self.closed_total,
            "{} closed keys are kept, {} were closed",
            self.closed.len(),
            self.closed_total
        );
        count
    }

    fn expire_record(&mut self, key: KeyDigest, disabled: Option<mechanism::StateMechanism>) {
        let Some(record) = self.remove_record(&key) else {
            return;
        };
        match record.time_ms {
            Some(time_ms) => self.forgotten_ms = self.forgotten_ms.max(time_ms),
            None if record.status == ClaimStatus::Released => {}
            None => {
                self.closed_total += 1;
                if mechanism::is_enabled(disabled, mechanism::StateMechanism::ClaimClosedKept) {
                    self.closed.insert(key);
                }
            }
        }
    }

    /// Removes a record with everything that points to it.
    fn remove_record(&mut self, key: &KeyDigest) -> Option<ClaimRecord> {
        let record = self.claims.remove(key)?;
        self.expiry_queue.remove(&(record.expires_ms, *key));
        let body = record.answer.as_ref().map_or(0, |answer| answer.body.len());
        if body > 0 {
            self.answer_bytes -= body;
            // Answers are forgotten roughly in the order in which they came.
            if let Some(position) = self.answer_order.iter().position(|other| other == key) {
                self.answer_order.remove(position);
            }
        }
        Some(record)
    }
}

fn retention_ms() -> u64 {
    claim_key::KEY_RETENTION.as_millis() as u64
}

fn recorded_answer(record: &mut ClaimRecord) -> Option<&mut message::RecordedAnswer> {
    record.answer.as_deref_mut()
}

fn claim_reply(
    state: message::ClaimState,
    answer: Option<message::RecordedAnswer>,
) -> message::ClaimReply {
    message::ClaimReply {
        state: state.into(),
        answer,
    }
}

fn fingerprint_digest(bytes: &[u8]) -> [u8; 16] {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(bytes);
    claim_holder::truncated_digest(hasher)
}
