//! Bounds the memory that answers of the back end take while they are being read.
//!
//! A back end in trouble may send bytes without end on many connections at once. The limit of one answer
//! does not bound their sum, which would end the process and every other request with it. An answer fails
//! once it holds more than [`MAX_RATIO_TO_FREE`] times what is left of the budget. So the largest answers
//! fail first, and the others still find room.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Size in bytes up to which an answer does not count against the budget.
const UNCOUNTED_BYTES: usize = 64 * 1024;
/// Largest ratio of an answer to what is left of the budget.
const MAX_RATIO_TO_FREE: usize = 3;

/// Memory for all answers that are being read. Clones share it.
#[derive(Debug, Clone)]
pub struct AnswerBudget {
    limit_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl AnswerBudget {
    /// Creates an unused budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: Arc::default(),
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns the empty share of an answer that begins.
    #[must_use]
    pub(super) fn begin_answer(&self) -> AnswerShare {
        AnswerShare {
            budget: self.clone(),
            held_bytes: 0,
        }
    }
}

/// What one answer holds of the budget, until the share is dropped.
#[derive(Debug)]
pub(super) struct AnswerShare {
    budget: AnswerBudget,
    held_bytes: usize,
}

impl AnswerShare {
    /// Takes what an answer needs that has grown to `answer_bytes`. Returns `false` if the answer holds
    /// too much of the budget and must fail.
    #[must_use]
    pub(super) fn grow_to(&mut self, answer_bytes: usize) -> bool {
        let needed = answer_bytes.saturating_sub(UNCOUNTED_BYTES);
        let added = needed.saturating_sub(self.held_bytes);
        if added == 0 {
            return true;
        }
        self.held_bytes += added;
        let used = self.budget.used_bytes.fetch_add(added, Ordering::Relaxed) + added;
        let free = self.budget.limit_bytes.saturating_sub(used);
        self.held_bytes <= free.saturating_mul(MAX_RATIO_TO_FREE)
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
