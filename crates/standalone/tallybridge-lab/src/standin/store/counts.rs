//! How many requests of each kind came in.

use serde::{Deserialize, Serialize};

use super::operation::Operation;

/// Answer of `GET /requests`. A request counts by its kind whether or not it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Reads of one key.
    pub get: u64,
    /// Pages of a list.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Removals.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
    /// New leases.
    pub grant: u64,
    /// Renewed leases.
    pub renew: u64,
    /// Ended leases.
    pub revoke: u64,
    /// Requests of all kinds that were answered 429.
    pub limited: u64,
    /// Requests of all kinds that met an outage.
    pub unavailable: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
}

impl RequestCounts {
    /// Counts one request by its kind.
    pub fn count(&mut self, operation: &Operation) {
        let counter = match operation {
            Operation::Get { .. } => &mut self.get,
            Operation::List(_) => &mut self.list,
            Operation::Put { .. } => &mut self.put,
            Operation::Delete { .. } => &mut self.delete,
            Operation::Watch(_) => &mut self.watch,
            Operation::Grant(_) => &mut self.grant,
            Operation::Renew { .. } => &mut self.renew,
            Operation::Revoke { .. } => &mut self.revoke,
        };
        *counter += 1;
    }
}
