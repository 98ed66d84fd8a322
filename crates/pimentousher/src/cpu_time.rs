//! Processor time of this process's threads by name. Not for: other processes.

use std::{fs, io, time};

/// Returns the processor time of the threads whose names begin with `name`.
///
/// # Errors
///
/// Fails where the system doesn't tell.
pub fn of_threads(name: &str) -> io::Result<time::Duration> {
    let mut total = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let folder = thread?.path();
        // A thread may end between the listing and the reading.
        let Ok(thread_name) = fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        if !thread_name.starts_with(name) {
            continue;
        }
        let Ok(text) = fs::read_to_string(folder.join("schedstat")) else {
            continue;
        };
        // The first number is the time on a processor, in nanoseconds.
        let nanos = text.split_whitespace().next();
        total += nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0);
    }
    Ok(time::Duration::from_nanos(total))
}
