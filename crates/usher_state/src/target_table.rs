//! The registry of targets. Not for: their load, which only the daemons hold, in memory.

use std::collections;

use usher_wire::message;

use crate::{mechanism, snapshot, violation_log};

/// The maximum number of targets in the registry, including those that are gone. When it is full,
/// a new target replaces one that is gone, and is refused if there is none.
pub const MAX_TARGETS: usize = 10_000;

/// The maximum number of replaced incarnations that are kept per target.
const MAX_RETIRED: usize = 64;

/// A registered target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRegistration {
    /// The newest record; its `leaving` flag is never cleared for the same incarnation.
    pub record: message::TargetRecord,
    /// Whether the target has been marked as gone, because no process has reported it for
    /// some time.
    pub gone: bool,
    /// The operator who marked this incarnation as leaving; empty if the target announced it.
    pub leaving_by: String,
    /// The version of the registry at the newest change of this target.
    pub changed_at: u64,
    /// The incarnations that were replaced, oldest first.
    pub retired: Vec<u64>,
}

/// All registered targets, with a version that increases with each change.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    version: u64,
    /// The oldest version from which [`Self::changed_since`] can return all changes: the newest
    /// `changed_at` among the targets that were removed.
    oldest_delta: u64,
    targets: collections::BTreeMap<String, TargetRegistration>,
    pub(crate) violations: violation_log::ViolationLog,
}

impl TargetTable {
    /// Returns the version of the registry.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a target by name, even if it is gone.
    pub fn find(&self, name: &str) -> Option<&TargetRegistration> {
        self.targets.get(name)
    }

    /// Returns the targets that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &message::TargetRecord> {
        self.targets
            .values()
            .filter(|target| !target.gone)
            .map(|target| &target.record)
    }

    /// Returns all targets, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &TargetRegistration> {
        self.targets.values()
    }

    /// Returns the targets that changed after a version of the registry, including those that are
    /// gone.
    ///
    /// Returns `None` if the full registry must be sent instead of the changes, because the
    /// changes after that version include a target that has since been removed, or the version
    /// is 0.
    pub fn changed_since(&self, version: u64) -> Option<impl Iterator<Item = &TargetRegistration>> {
        let targets = self.targets.values();
        (version > 0 && version >= self.oldest_delta)
            .then(|| targets.filter(move |target| target.changed_at > version))
    }

    /// Registers or updates an announced target and returns whether the registry changed.
    pub(crate) fn announce(
        &mut self,
        mut record: message::TargetRecord,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<bool, String> {
        record
            .kind
            .parse::<usher_types::TargetKind>()
            .map_err(|error| error.to_string())?;
        record
            .name
            .parse::<usher_types::TargetName>()
            .map_err(|error| error.to_string())?;
        if record.incarnation == 0 {
            return Err("announcement has no incarnation".to_owned());
        }
        let Some(target) = self.targets.get_mut(&record.name) else {
            return self.insert(record);
        };
        if target.record.incarnation == record.incarnation {
            let keep_mark =
                mechanism::is_enabled(disabled, mechanism::StateMechanism::TargetLeaving);
            let was_leaving = target.record.leaving;
            record.leaving |= keep_mark && was_leaving;
            violation_log::check!(
                self.violations,
                "target.leaving_kept",
                record.leaving || !was_leaving,
                "leaving mark of target {} was cleared without a new incarnation",
                record.name
            );
            let changed = target.gone || target.record != record;
            target.record = record;
            target.gone = false;
            if changed {
                self.version += 1;
                target.changed_at = self.version;
            }
            return Ok(changed);
        }
        let retired = target.retired.contains(&record.incarnation);
        if retired && mechanism::is_enabled(disabled, mechanism::StateMechanism::TargetIncarnation)
        {
            return Err(format!(
                "target {} has already replaced incarnation {}",
                record.name, record.incarnation
            ));
        }
        violation_log::check!(
            self.violations,
            "target.incarnation_not_taken_back",
            !retired,
            "target {} went back to the replaced incarnation {}",
            record.name,
            record.incarnation
        );
        if target.retired.len() == MAX_RETIRED {
            target.retired.remove(0);
        }
        target.retired.push(target.record.incarnation);
        target.record = record;
        target.gone = false;
        target.leaving_by.clear();
        self.version += 1;
        target.changed_at = self.version;
        Ok(true)
    }

    fn insert(&mut self, record: message::TargetRecord) -> Result<bool, String> {
        if self.targets.len() >= MAX_TARGETS && !self.remove_oldest_gone() {
            return Err(format!(
                "registry is full: it holds {MAX_TARGETS} targets and none of them is gone"
            ));
        }
        let target = TargetRegistration {
            record,
            gone: false,
            leaving_by: String::new(),
            changed_at: self.version + 1,
            retired: Vec::new(),
        };
        self.targets.insert(target.record.name.clone(), target);
        self.version += 1;
        Ok(true)
    }

    /// Removes the gone target with the oldest change and returns whether there was one.
    ///
    /// The versions of changes are unique, so all replicas remove the same target. Its leaving
    /// mark and its replaced incarnations are removed with it.
    fn remove_oldest_gone(&mut self) -> bool {
        let gone = self.targets.iter().filter(|(_, target)| target.gone);
        let oldest = gone.min_by_key(|(_, target)| target.changed_at);
        let Some((name, changed_at)) =
            oldest.map(|(name, target)| (name.clone(), target.changed_at))
        else {
            return false;
        };
        self.targets.remove(&name);
        // A reader that has this version or a later one already knows that the target is gone.
        self.oldest_delta = self.oldest_delta.max(changed_at);
        true
    }

    /// Marks a target as leaving or gone and returns whether the registry changed.
    pub(crate) fn mark(&mut self, mark: &message::TargetMark) -> Result<bool, String> {
        let target = self
            .targets
            .get_mut(&mark.name)
            .ok_or_else(|| format!("target {:?} is not registered", mark.name))?;
        if mark.incarnation != 0 && mark.incarnation != target.record.incarnation {
            return Err(format!(
                "target {} has incarnation {}, but the mark is for incarnation {}",
                mark.name, target.record.incarnation, mark.incarnation
            ));
        }
        let leaving = target.record.leaving || mark.leaving;
        let gone = target.gone || mark.gone;
        let changed = leaving != target.record.leaving || gone != target.gone;
        if mark.leaving && target.leaving_by.is_empty() {
            target.leaving_by = mark.operator.clone();
        }
        target.record.leaving = leaving;
        target.gone = gone;
        if changed {
            self.version += 1;
            target.changed_at = self.version;
        }
        Ok(changed)
    }

    /// Returns the part of a snapshot that holds the table.
    pub(crate) fn save(&self) -> snapshot::TargetPart {
        let targets = self.targets.values().map(|target| snapshot::SlotPart {
            record: Some(target.record.clone()),
            gone: target.gone,
            leaving_by: target.leaving_by.clone(),
            changed_at: target.changed_at,
            retired: target.retired.clone(),
        });
        snapshot::TargetPart {
            version: self.version,
            slots: targets.collect(),
            oldest_delta: self.oldest_delta,
        }
    }

    /// Restores the table from its part of a snapshot.
    pub(crate) fn load(part: snapshot::TargetPart) -> Result<Self, String> {
        let mut table = Self {
            version: part.version,
            oldest_delta: part.oldest_delta,
            ..Self::default()
        };
        for target in part.slots {
            let record = target.record.ok_or("target has no record")?;
            let name = record.name.clone();
            let target = TargetRegistration {
                record,
                gone: target.gone,
                leaving_by: target.leaving_by,
                changed_at: target.changed_at,
                retired: target.retired,
            };
            table.targets.insert(name, target);
        }
        Ok(table)
    }
}
