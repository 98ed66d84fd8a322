//! The memory and descriptors that a process may use. Not for: how they are shared out.

use std::fs;

use nix::sys::resource;

/// Memory of a VM whose operating system states none, in bytes.
const DEFAULT_MEMORY: u64 = 256_000_000;

/// Descriptors of a process whose operating system states no limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Files in which a control group states its limit of memory, in bytes.
const GROUP_FILES: [&str; 2] = [
    "/sys/fs/cgroup/memory.max",
    "/sys/fs/cgroup/memory/memory.limit_in_bytes",
];

/// Returns what the connections of callers may take, by the settings or by what the operating system
/// states.
pub(crate) fn caller_budget(settings: &usher_config::VmSettings) -> usher_memory::MemoryBudget {
    let megabytes = |number: u32| u64::from(number) * 1_000_000;
    let memory = settings.memory_mb.map_or_else(system_memory, megabytes);
    let descriptors = settings
        .descriptors
        .map_or_else(descriptor_limit, |number| {
            usize::try_from(number).unwrap_or(DEFAULT_DESCRIPTORS)
        });
    let budget = usher_memory::MemoryBudget::of_process(memory, descriptors);
    match settings.caller_memory_mb {
        Some(number) => budget.with_bytes(usize::try_from(megabytes(number)).unwrap_or(usize::MAX)),
        None => budget,
    }
}

/// Returns the smaller of the memory of the machine and of the control group.
fn system_memory() -> u64 {
    let groups = GROUP_FILES.into_iter().filter_map(|file| {
        let text = fs::read_to_string(file).ok()?;
        text.trim().parse().ok()
    });
    let machine = fs::read_to_string("/proc/meminfo").ok();
    let machine = machine.as_deref().and_then(read_total);
    groups.chain(machine).min().unwrap_or(DEFAULT_MEMORY)
}

fn read_total(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    kib.checked_mul(1_024)
}

fn descriptor_limit() -> usize {
    let limit = resource::getrlimit(resource::Resource::RLIMIT_NOFILE);
    let limit = limit.ok().and_then(|(soft, _)| usize::try_from(soft).ok());
    limit.unwrap_or(DEFAULT_DESCRIPTORS)
}
