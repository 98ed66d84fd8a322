//! Reads the CPU time of this process's threads, selected by name.

use std::{fs, io, time};

/// Returns the total CPU time of the running threads whose names begin with `name`.
///
/// # Errors
///
/// Fails if `/proc` can't be read.
pub fn of_threads(name: &str) -> io::Result<time::Duration> {
    let mut total = 0;
    for thread in fs::read_dir("/proc/self/task")? {
        let folder = thread?.path();
        // A thread may exit between the directory listing and the read.
        let Ok(thread_name) = fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        if !thread_name.starts_with(name) {
            continue;
        }
        let Ok(text) = fs::read_to_string(folder.join("schedstat")) else {
            continue;
        };
        // The first number of `schedstat` is the CPU time in nanoseconds.
        let nanos = text.split_whitespace().next();
        total += nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0);
    }
    Ok(time::Duration::from_nanos(total))
}
