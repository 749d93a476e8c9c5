//! Counts the bytes that are allocated.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a counter.
pub struct CountingAllocator;

// An allocator can't be written without unsafe code; this one passes everything on.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Bytes allocated now.
pub fn allocated() -> usize {
    ALLOCATED.load(Ordering::Relaxed)
}
