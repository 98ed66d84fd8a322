//! What a process uses, as its operating system states it. Not for: other systems than Linux.

use std::{fs, process};

/// A process whose use of resources is read.
#[derive(Clone, Copy, Debug)]
pub struct ProcessCost {
    pid: u32,
}

impl ProcessCost {
    /// Reads the costs of a child process.
    pub fn of(child: &process::Child) -> Self {
        Self { pid: child.id() }
    }

    /// Returns the most memory that the process has had resident, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// Returns the memory that the process has resident now, in bytes.
    pub fn resident_memory(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, field: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or_else(|| panic!("process {} has ended", self.pid)) * 1_024
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.pid);
        fs::read_dir(folder).map_or(0, Iterator::count)
    }

    /// Returns the processor time that the process has used, in ticks.
    pub(crate) fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        // The name of the program is in parentheses and may hold spaces.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|field| field.parse::<u64>().ok()).sum()
    }
}
