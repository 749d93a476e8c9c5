//! Processor time and memory of this process.

use std::{fs, time::Duration};

use nix::sys::resource::{UsageWho, getrusage};

/// Processor time of this process so far, in user and system mode.
#[must_use]
pub fn process_time() -> Duration {
    time_of(UsageWho::RUSAGE_SELF)
}

/// Processor time of the calling thread so far, in user and system mode.
#[must_use]
pub fn thread_time() -> Duration {
    time_of(UsageWho::RUSAGE_THREAD)
}

fn time_of(who: UsageWho) -> Duration {
    // Fails only for an unknown `who`.
    getrusage(who).map_or(Duration::ZERO, |usage| {
        duration(usage.user_time()) + duration(usage.system_time())
    })
}

fn duration(time: nix::sys::time::TimeVal) -> Duration {
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let micros = u64::try_from(time.tv_usec()).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_micros(micros)
}

/// Resident memory of this process, in bytes; 0 when the system does not say.
#[must_use]
pub fn resident_bytes() -> u64 {
    const KIB: u64 = 1 << 10;
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}

/// File descriptors that this process may still open.
#[must_use]
pub fn free_descriptors() -> usize {
    use nix::sys::resource::{Resource, getrlimit};
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or(0, |(soft, _)| soft);
    let open = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    usize::try_from(limit)
        .unwrap_or(usize::MAX)
        .saturating_sub(open)
}
