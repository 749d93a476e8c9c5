//! What nodes tell of the whole fleet, each asked at its admin address.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;
use serde_json::Value;
use tallybridge_core::ErrorKind;

use super::{Failure, admin::NodeAnswer};

/// An answer about the fleet, or one of a node that tells of itself only.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum FleetAnswer {
    Fleet {
        #[serde(alias = "decisions")]
        nodes: Vec<Value>,
        unanswered: Vec<String>,
    },
    Rows(Vec<Value>),
    Node(Value),
}

/// One row of what nodes told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRow {
    /// The node that the row is about: its name, or its admin address when it told of itself only.
    pub node: String,
    /// The admin address that the row came over.
    pub admin: SocketAddr,
    /// The row.
    pub value: Value,
}

/// What all asked nodes told together, each row once.
#[derive(Debug, Default)]
pub struct FleetReport {
    /// The rows, in the order in which they came.
    pub rows: Vec<FleetRow>,
    /// Nodes that are known to live and that gave no row, with the reason.
    pub silent: BTreeMap<String, String>,
}

impl FleetReport {
    /// Puts the answers together. A row that several nodes gave stands once.
    pub fn gather(answers: &[NodeAnswer]) -> Self {
        let mut report = Self::default();
        for answer in answers {
            match answer.read() {
                Ok(FleetAnswer::Fleet { nodes, unanswered }) => {
                    report.add_rows(answer.address, nodes);
                    let silent = unanswered.into_iter();
                    let silent = silent.map(|node| (node, "no answer".to_owned()));
                    report.silent.extend(silent);
                }
                Ok(FleetAnswer::Rows(rows)) => report.add_rows(answer.address, rows),
                Ok(FleetAnswer::Node(value)) => report.rows.push(FleetRow {
                    node: answer.address.to_string(),
                    admin: answer.address,
                    value,
                }),
                Err(error) => {
                    report.silent.insert(answer.address.to_string(), error);
                }
            }
        }
        // One that a node could not reach may have answered another.
        let rows = &report.rows;
        report
            .silent
            .retain(|node, _| rows.iter().all(|row| row.node != *node));
        report
    }

    /// The failure when nodes that are known to live did not answer.
    pub fn incomplete(&self) -> Option<Failure> {
        if self.silent.is_empty() {
            return None;
        }
        let silent = self.silent.iter();
        let silent: Vec<_> = silent
            .map(|(node, reason)| format!("{node}: {reason}"))
            .collect();
        let detail = format!(
            "{} nodes did not answer: {}",
            silent.len(),
            silent.join("; ")
        );
        Some(Failure::new(ErrorKind::NodeUnavailable, detail))
    }

    fn add_rows(&mut self, admin: SocketAddr, values: Vec<Value>) {
        for value in values {
            let Some(node) = value.get("node").and_then(Value::as_str) else {
                let node = admin.to_string();
                self.rows.push(FleetRow { node, admin, value });
                continue;
            };
            let node = node.to_owned();
            if !self.rows.iter().any(|row| is_same(row, &node, &value)) {
                self.rows.push(FleetRow { node, admin, value });
            }
        }
    }
}

/// Whether a row is there already: the same decision, or the status of the same node.
fn is_same(row: &FleetRow, node: &str, value: &Value) -> bool {
    row.node == node && (value.get("decision").is_none() || row.value == *value)
}
