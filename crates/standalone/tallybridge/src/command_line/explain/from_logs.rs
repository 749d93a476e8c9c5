//! The path of one request, from the log files of the nodes alone.

use std::{collections::BTreeSet, path::PathBuf};

use serde_json::json;
use tallybridge_core::ErrorKind;

use super::log_file::{LogFile, LogLine};
use crate::command_line::{Failure, table::Table, utc::unix_ms_of};

/// What stands between the name of an attempt and that of a call that it made.
const NESTED: char = '.';
/// Hexadecimal digits of the digest by which nodes know a request.
const DIGEST_DIGITS: usize = 32;
/// Lines about no request are shown from this long before the request's first line to as long
/// after its last: a link that falls silent is told of up to a second after the calls on it began.
const AROUND_MS: u64 = 1500;

/// What the logs say of a request.
#[derive(Debug)]
pub struct LoggedPath {
    /// Lines about the request and the calls that were made for it, lines about no request of the nodes
    /// that wrote those, and those of the crashes for which it is held back, in the order of their
    /// clocks.
    pub lines: Vec<LogLine>,
    /// Lines that could not be read, in all files.
    unreadable: usize,
}

impl LoggedPath {
    /// Looks for a request in log files.
    ///
    /// # Errors
    ///
    /// [`Failure`] when a file can't be read, or none speaks of the request.
    pub fn find(attempt: &str, files: &[PathBuf]) -> Result<Self, Failure> {
        let mut lines = Vec::new();
        let mut unreadable = 0;
        for file in files {
            let mut file = LogFile::read(file)?;
            lines.append(&mut file.lines);
            unreadable += file.unreadable;
        }
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| speaks_of(line, attempt))
            .collect();
        let Some(span) = Span::of(&own) else {
            return Err(unknown(attempt, files.len(), lines.len(), unreadable));
        };
        let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
        let digests = digests_held_back(&own);
        let is_shown = |line: &&LogLine| {
            let is_around = line.attempt.is_none() && nodes.contains(line.node.as_str());
            let is_of_crash =
                line.attempt.is_none() && digests.iter().any(|digest| line.facts.contains(digest));
            speaks_of(line, attempt) || is_of_crash || (is_around && span.has(line))
        };
        let mut shown: Vec<LogLine> = lines.iter().filter(is_shown).cloned().collect();
        shown.sort_by(|left, right| left.time.cmp(&right.time));
        Ok(Self {
            lines: shown,
            unreadable,
        })
    }

    /// The line that tells where the request ended: of the hop that is deepest in its chain, the
    /// last at an executor, or else at its entry.
    #[must_use]
    pub fn origin(&self) -> Option<&LogLine> {
        let refused = self.lines.iter().filter(|line| line.reason.is_some());
        refused.max_by_key(|line| {
            let attempt = line.attempt.as_deref().unwrap_or_default();
            let depth = attempt.matches(NESTED).count();
            let at_executor = line.message.contains("executor");
            (depth, at_executor, line.time.clone())
        })
    }

    /// The path as a table, with what it comes to below.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = Table::new(["TIME", "NODE", "ATTEMPT", "LINE", "REASON", "FACTS"]);
        for line in &self.lines {
            table.push([
                line.time.clone(),
                line.node.clone(),
                line.attempt.clone().unwrap_or_else(|| "-".to_owned()),
                line.message.clone(),
                line.reason.clone().unwrap_or_default(),
                line.facts.clone(),
            ]);
        }
        format!("{table}\n{}", self.summary())
    }

    fn summary(&self) -> String {
        let mut summary = String::new();
        if let Some(origin) = self.origin() {
            let attempt = origin.attempt.as_deref().unwrap_or_default();
            let reason = origin.reason.as_deref().unwrap_or_default();
            summary += &format!("ended by {reason} of {attempt} at {}", origin.node);
            summary += &hint(reason);
            summary.push('\n');
        }
        let left_out: u64 = self.lines.iter().map(|line| line.left_out).sum();
        if left_out > 0 {
            summary += &format!("{left_out} lines of these kinds were left out before these\n");
        }
        if self.unreadable > 0 {
            summary += &format!("{} lines of the files are no log lines\n", self.unreadable);
        }
        summary
    }

    /// The path as JSON lines.
    #[must_use]
    pub fn json_lines(&self) -> String {
        let lines = self.lines.iter().map(|line| {
            let line = json!({
                "time": line.time,
                "node": line.node,
                "message": line.message,
                "attempt": line.attempt,
                "reason": line.reason,
                "left_out": line.left_out,
                "facts": line.facts,
            });
            format!("{line}\n")
        });
        lines.collect()
    }
}

/// What the table of error kinds says to do about one.
fn hint(reason: &str) -> String {
    let kinds = ErrorKind::ALL.iter();
    let mut known = kinds.filter(|kind| kind.name() == reason);
    known
        .next()
        .map_or_else(String::new, |kind| format!(": {}", kind.answer().hint))
}

/// Digests of the request and its calls where they were held back for crashes: the crashes are told of by
/// other nodes and at other times, with the digest alone.
fn digests_held_back<'a>(lines: &[&'a LogLine]) -> BTreeSet<&'a str> {
    let quarantined = ErrorKind::Quarantined.name();
    let held = lines
        .iter()
        .filter(|line| line.reason.as_deref() == Some(quarantined));
    let words = held.flat_map(|line| line.facts.split(|sign: char| !sign.is_ascii_hexdigit()));
    words.filter(|word| word.len() == DIGEST_DIGITS).collect()
}

fn speaks_of(line: &LogLine, attempt: &str) -> bool {
    let Some(of) = &line.attempt else {
        return false;
    };
    let rest = of.strip_prefix(attempt);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(NESTED))
}

/// The time in which lines about no request are shown, in milliseconds since the Unix epoch.
struct Span {
    first: u64,
    last: u64,
}

impl Span {
    fn of(lines: &[&LogLine]) -> Option<Self> {
        let times = lines.iter().filter_map(|line| unix_ms_of(&line.time));
        let first = times.clone().min()?;
        let last = times.max()?;
        Some(Self {
            first: first.saturating_sub(AROUND_MS),
            last: last + AROUND_MS,
        })
    }

    fn has(&self, line: &LogLine) -> bool {
        unix_ms_of(&line.time).is_some_and(|at| (self.first..=self.last).contains(&at))
    }
}

fn unknown(attempt: &str, files: usize, lines: usize, unreadable: usize) -> Failure {
    let detail = format!(
        "none of {lines} lines in {files} files speaks of {attempt} ({unreadable} could not be \
         read); of floods of one kind only a few lines a second are written, and each node has a \
         file of its own"
    );
    Failure::new(ErrorKind::InvalidRequest, detail)
}
