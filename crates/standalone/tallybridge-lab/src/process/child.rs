//! One process of a run.

use std::{
    ffi::OsString,
    fs::{File, OpenOptions},
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

use super::ProcessError;
use crate::standin::machine_list::Listening;

/// Longest time until a stand-in says that it listens.
const LISTENING_TIMEOUT: Duration = Duration::from_secs(10);

/// A process that is killed when this is dropped, and that ends by itself when this process is
/// lost, because its standard input is then closed.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    arguments: Vec<OsString>,
    log: PathBuf,
    child: Child,
}

impl ChildProcess {
    /// Starts this program with other arguments.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub fn start(name: &str, arguments: Vec<OsString>, log: &Path) -> Result<Self, ProcessError> {
        let child = spawn(&arguments, log).map_err(ProcessError::io(format!("start {name}")))?;
        Ok(Self {
            name: name.to_owned(),
            arguments,
            log: log.to_owned(),
            child,
        })
    }

    /// Waits until the process prints where it listens.
    ///
    /// # Errors
    ///
    /// [`ProcessError::NotReady`] when it doesn't in time.
    pub async fn listening(&mut self) -> Result<Listening, ProcessError> {
        let output = self.child.stdout.take();
        let read = async {
            let mut lines = BufReader::new(output?).lines();
            let line = lines.next_line().await.ok()??;
            serde_json::from_str(&line).ok()
        };
        tokio::time::timeout(LISTENING_TIMEOUT, read)
            .await
            .ok()
            .flatten()
            .ok_or_else(|| self.not_ready())
    }

    /// The error that this process was not ready in time.
    #[must_use]
    pub fn not_ready(&self) -> ProcessError {
        ProcessError::NotReady {
            name: self.name.clone(),
            log: self.log.clone(),
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal; nothing happens when the process has ended.
    pub fn signal(&self, signal: Signal) {
        let Some(id) = self.child.id() else { return };
        let Ok(id) = i32::try_from(id) else { return };
        if let Err(error) = kill(Pid::from_raw(id), signal) {
            tracing::warn!(name = self.name, %error, "can't send a signal");
        }
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) {
        if let Err(error) = self.child.kill().await {
            tracing::warn!(name = self.name, %error, "can't kill a process");
        }
    }

    /// Waits for the process to end by itself, then kills it if it has not.
    pub async fn wait_or_kill(&mut self, patience: Duration) {
        if tokio::time::timeout(patience, self.child.wait())
            .await
            .is_err()
        {
            self.kill().await;
        }
    }

    /// Starts the process again with the same arguments, once the old one is gone.
    ///
    /// # Errors
    ///
    /// The process can't be started.
    pub async fn restart(&mut self) -> Result<(), ProcessError> {
        self.kill().await;
        self.child = spawn(&self.arguments, &self.log)
            .map_err(ProcessError::io(format!("restart {}", self.name)))?;
        Ok(())
    }
}

fn spawn(arguments: &[OsString], log: &Path) -> std::io::Result<Child> {
    let errors: File = OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(std::env::current_exe()?)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(errors)
        // An interrupt at the terminal reaches the lab alone, which then ends its processes.
        .process_group(0)
        .kill_on_drop(true)
        .spawn()
}
