//! The file in which a back end writes down its executions.
//!
//! Each event is one `write` in append mode, so what was written outlives a kill of the process.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
};

use tallybridge_core::InstanceId;

use super::{CallPlace, Execution, ExecutionEnd, ExecutionEvent, nested::CallContext};
use crate::clock::unix_us;

/// Most calls that one run of a back end writes down.
const MAX_CALLS: u64 = 2_000_000;

/// Appends to the log of one back end.
#[derive(Debug)]
pub struct ExecutionLog {
    file: File,
    instance: u64,
    next_sequence: AtomicU64,
}

impl ExecutionLog {
    /// Opens the log for a new run of the back end.
    ///
    /// # Errors
    ///
    /// The file can't be opened.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: OpenOptions::new().create(true).append(true).open(path)?,
            instance: InstanceId::random().0,
            next_sequence: AtomicU64::new(0),
        })
    }

    /// Writes down an arrival and gives the call its number.
    pub fn arrived(&self, place: &CallPlace, context: &CallContext, draining: bool) -> u64 {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        self.write(
            sequence,
            &ExecutionEvent::Arrived {
                instance: self.instance,
                sequence,
                at_us: unix_us(),
                place: place.clone(),
                token: context.token.clone(),
                timeout_ms: u64::try_from(context.timeout.as_millis()).unwrap_or(u64::MAX),
                draining,
            },
        );
        sequence
    }

    /// Writes down that work began.
    pub fn started(&self, sequence: u64) {
        self.write(
            sequence,
            &ExecutionEvent::Started {
                instance: self.instance,
                sequence,
                at_us: unix_us(),
            },
        );
    }

    /// Writes down the end.
    pub fn ended(&self, sequence: u64, end: ExecutionEnd) {
        self.write(
            sequence,
            &ExecutionEvent::Ended {
                instance: self.instance,
                sequence,
                at_us: unix_us(),
                end,
            },
        );
    }

    fn write(&self, sequence: u64, event: &ExecutionEvent) {
        if sequence >= MAX_CALLS {
            return;
        }
        let mut line = serde_json::to_vec(event).expect("an event is valid JSON");
        line.push(b'\n');
        if let Err(error) = (&self.file).write_all(&line) {
            tracing::error!(%error, "can't write the execution log");
        }
    }
}

/// Reads the log of a back end; a last line that a kill cut short is left out.
///
/// # Errors
///
/// The file can't be read.
pub fn read_executions(backend: &str, path: &Path) -> std::io::Result<Vec<Execution>> {
    let mut calls: BTreeMap<(u64, u64), Execution> = BTreeMap::new();
    for line in BufReader::new(File::open(path)?).lines() {
        match serde_json::from_str(&line?) {
            Ok(event) => apply_event(&mut calls, backend, event),
            Err(error) => tracing::warn!(backend, %error, "skipped a line of an execution log"),
        }
    }
    Ok(calls.into_values().collect())
}

fn apply_event(calls: &mut BTreeMap<(u64, u64), Execution>, backend: &str, event: ExecutionEvent) {
    match event {
        ExecutionEvent::Arrived {
            instance,
            sequence,
            at_us,
            place,
            token,
            timeout_ms,
            draining,
        } => {
            let execution = Execution {
                backend: backend.to_owned(),
                instance,
                place,
                token,
                timeout_ms,
                draining,
                arrived_us: at_us,
                started_us: None,
                ended_us: None,
                end: None,
            };
            calls.insert((instance, sequence), execution);
        }
        ExecutionEvent::Started {
            instance,
            sequence,
            at_us,
        } => {
            if let Some(execution) = calls.get_mut(&(instance, sequence)) {
                execution.started_us = Some(at_us);
            }
        }
        ExecutionEvent::Ended {
            instance,
            sequence,
            at_us,
            end,
        } => {
            if let Some(execution) = calls.get_mut(&(instance, sequence)) {
                execution.ended_us = Some(at_us);
                execution.end = Some(end);
            }
        }
    }
}
