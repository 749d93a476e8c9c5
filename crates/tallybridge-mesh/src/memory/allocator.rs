//! Settings of the allocator of the C library.

use nix::libc;

/// Smallest block that the allocator takes from the system by itself and returns when it is freed, in bytes.
const MMAP_THRESHOLD_BYTES: libc::c_int = 256 * 1024;

/// Makes the allocator return large blocks to the system when they are freed. By default it keeps blocks of up
/// to 32 MiB, so that the memory of the process grows beyond what it holds.
pub fn return_freed_memory() {
    #[cfg(target_env = "gnu")]
    for parameter in [libc::M_MMAP_THRESHOLD, libc::M_TRIM_THRESHOLD] {
        #[allow(
            unsafe_code,
            reason = "no library offers a safe wrapper of this function"
        )]
        // SAFETY: the function only sets a number, and fails for values that are out of range.
        let is_set = unsafe { libc::mallopt(parameter, MMAP_THRESHOLD_BYTES) } == 1;
        if !is_set {
            tracing::warn!(
                parameter,
                "cannot set a parameter of the allocator; freed memory stays with the process"
            );
        }
    }
}
