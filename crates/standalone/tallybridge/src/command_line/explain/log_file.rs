//! Reads the log files of nodes: JSON lines, as they were written or with something before them.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;
use serde_json::Value;

use crate::command_line::{Failure, files::read_bytes};

/// Message of the line that a node writes at its start, which tells its name.
const STARTED: &str = "node started";

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, by the clock of its node; RFC 3339 with microseconds, so that the order
    /// of the texts is that of the times.
    pub time: String,
    /// The node that wrote it.
    pub node: String,
    /// What it says.
    pub message: String,
    /// The attempt that it speaks of.
    pub attempt: Option<String>,
    /// The error kind that it names.
    pub reason: Option<String>,
    /// Lines of the same kind that were left out before it.
    pub left_out: u64,
    /// Everything else that it says, as `name=value` with blanks between.
    pub facts: String,
}

/// The lines of a log file, and how many could not be read.
#[derive(Debug, Default)]
pub struct LogFile {
    /// The lines that were read.
    pub lines: Vec<LogLine>,
    /// Lines that are no log lines.
    pub unreadable: usize,
}

#[derive(Deserialize)]
struct WireLine {
    timestamp: String,
    fields: Fields,
}

#[derive(Deserialize)]
struct Fields {
    message: String,
    attempt: Option<String>,
    reason: Option<String>,
    node: Option<String>,
    #[serde(default)]
    left_out: u64,
    #[serde(flatten)]
    others: BTreeMap<String, Value>,
}

impl LogFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the file can't be read; lines that can't are counted.
    pub fn read(path: &Path) -> Result<Self, Failure> {
        let bytes = read_bytes(path)?;
        let stem = path.file_stem().unwrap_or_default().to_string_lossy();
        Ok(Self::parse(&String::from_utf8_lossy(&bytes), &stem))
    }

    /// Reads lines. Their node is named by the line of its start, by the last word before the line
    /// proper where a collector wrote one, or else by the name of the file.
    fn parse(text: &str, file_name: &str) -> Self {
        let mut file = Self::default();
        let mut node = file_name.to_owned();
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some((prefix, parsed)) = parse_line(line) else {
                file.unreadable += 1;
                continue;
            };
            if let Some(started) = parsed.started() {
                node = started.to_owned();
            }
            let named = prefix.split_whitespace().next_back();
            let writer = named.unwrap_or(&node).to_owned();
            file.lines.push(parsed.into_line(writer));
        }
        file
    }
}

fn parse_line(line: &str) -> Option<(&str, WireLine)> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let parsed = serde_json::from_str(json).ok()?;
    Some((prefix, parsed))
}

impl WireLine {
    fn started(&self) -> Option<&str> {
        let node = self.fields.node.as_deref();
        node.filter(|_| self.fields.message == STARTED)
    }

    fn into_line(self, node: String) -> LogLine {
        let facts = self.fields.others.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            other => format!("{name}={other}"),
        });
        LogLine {
            time: self.timestamp,
            node,
            message: self.fields.message,
            attempt: self.fields.attempt,
            reason: self.fields.reason,
            left_out: self.fields.left_out,
            facts: facts.collect::<Vec<_>>().join(" "),
        }
    }
}
