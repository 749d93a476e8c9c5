//! Writes that are done after their sender has given up on them.

use super::operation::Operation;

/// A row of the table: a write and the requests that must come in before it is done.
#[derive(Debug)]
struct LateWrite {
    operation: Operation,
    requests_left: u32,
}

/// The writes still to be done, in the order in which they came in.
#[derive(Debug, Default)]
pub struct LateWrites {
    rows: Vec<LateWrite>,
}

impl LateWrites {
    /// Keeps a write until this many requests have come in.
    pub fn keep(&mut self, operation: Operation, requests: u32) {
        self.rows.push(LateWrite {
            operation,
            requests_left: requests,
        });
    }

    /// Counts a request and gives the writes that are due.
    pub fn arrive(&mut self) -> Vec<Operation> {
        for row in &mut self.rows {
            row.requests_left = row.requests_left.saturating_sub(1);
        }
        let due = self.rows.extract_if(.., |row| row.requests_left == 0);
        due.map(|row| row.operation).collect()
    }

    /// Gives all writes.
    pub fn take_all(&mut self) -> Vec<Operation> {
        std::mem::take(&mut self.rows)
            .into_iter()
            .map(|row| row.operation)
            .collect()
    }
}
