//! The configuration log in the store.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use clap::Args;
use rand::{SeedableRng, rngs::SmallRng};
use tallybridge_config::{Document, Revision, RevisionRecord};
use tallybridge_core::ErrorKind;
use tallybridge_store::{
    AppendError, AppendOutcome, Backoff, ChangeRequest, ConfigurationLog, LogError, StoreClient,
    StoreClientOptions, log::LogOptions,
};
use tokio::time::Instant;

use super::Failure;

/// The store to speak to.
#[derive(Debug, Args)]
pub struct StoreArguments {
    /// Address of the configuration store; give it once for each address, or several with commas
    /// between them.
    #[arg(
        long = "store",
        required = true,
        value_name = "ADDRESS",
        value_delimiter = ','
    )]
    addresses: Vec<SocketAddr>,
    /// Longest time to try to reach the store, in seconds; with 0 it is tried once.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    timeout: u64,
}

impl StoreArguments {
    /// The log in that store. The time to reach it starts now.
    pub fn log(&self) -> Result<Log, Failure> {
        let options = StoreClientOptions::new(self.addresses.clone());
        let client = StoreClient::new(options)?;
        Ok(Log {
            log: ConfigurationLog::new(client, LogOptions::default()),
            deadline: Instant::now() + Duration::from_secs(self.timeout),
            random: RefCell::new(SmallRng::from_os_rng()),
        })
    }
}

/// The configuration log, with the time that a command has to reach it.
pub struct Log {
    log: ConfigurationLog,
    deadline: Instant,
    random: RefCell<SmallRng>,
}

impl Log {
    /// The document of a revision; the newest for `None`.
    pub async fn document(&self, revision: Option<Revision>) -> Result<Document, Failure> {
        match revision {
            Some(revision) => document_at(&self.since(Revision::default()).await?, revision),
            None => self.retry(async || self.log.read_document().await).await,
        }
    }

    /// The records after a revision.
    pub async fn since(&self, revision: Revision) -> Result<Vec<RevisionRecord>, Failure> {
        self.retry(async || self.log.read_since(revision).await)
            .await
    }

    /// The last records, the newest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<RevisionRecord>, Failure> {
        self.retry(async || self.log.history(limit).await).await
    }

    /// Makes a change.
    pub async fn append(&self, change: &ChangeRequest) -> Result<AppendOutcome, AppendError> {
        let mut random = self.random.borrow().clone();
        self.log.append(change, self.deadline, &mut random).await
    }

    /// Reads again after failures that waiting may mend, until the time is over.
    async fn retry<T>(&self, read: impl AsyncFn() -> Result<T, LogError>) -> Result<T, Failure> {
        let mut failures = 0;
        loop {
            let error = match read().await {
                Ok(value) => return Ok(value),
                Err(LogError::Store(error)) if error.is_transient() => error,
                Err(error) => return Err(error.into()),
            };
            failures += 1;
            let wait = Backoff::default().wait(failures, &mut self.random.borrow_mut());
            let next = Instant::now() + error.retry_after() + wait;
            if next >= self.deadline {
                return Err(error.into());
            }
            tokio::time::sleep_until(next).await;
        }
    }
}

fn document_at(records: &[RevisionRecord], revision: Revision) -> Result<Document, Failure> {
    let mut document = Document::default();
    for record in records {
        if document.revision == revision {
            break;
        }
        apply(&mut document, record)?;
    }
    if document.revision == revision {
        return Ok(document);
    }
    let detail = format!(
        "revision {revision} does not exist: the newest is {}",
        document.revision
    );
    Err(Failure::new(ErrorKind::InvalidRequest, detail))
}

fn apply(document: &mut Document, record: &RevisionRecord) -> Result<(), Failure> {
    let applied = document.apply(record);
    applied.map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))
}

impl From<LogError> for Failure {
    fn from(error: LogError) -> Self {
        let kind = match error {
            LogError::Store(_) => ErrorKind::StoreUnavailable,
            LogError::Damaged { .. } => ErrorKind::Internal,
        };
        Self::new(kind, error.to_string())
    }
}

impl From<AppendError> for Failure {
    fn from(error: AppendError) -> Self {
        let detail = error.to_string();
        match error {
            AppendError::Log(error) => error.into(),
            AppendError::NotMade { .. } | AppendError::Unsettled { .. } => {
                Self::new(ErrorKind::StoreUnavailable, detail)
            }
            AppendError::BaseAhead { .. } => Self::new(ErrorKind::Conflict, detail),
            AppendError::Invalid { violations, .. } => {
                let broken: Vec<_> = violations.iter().map(ToString::to_string).collect();
                let detail = format!("{detail}: {}", broken.join("; "));
                Self::new(ErrorKind::InvalidConfiguration, detail)
            }
            AppendError::Empty => Self::new(ErrorKind::InvalidRequest, detail),
        }
    }
}
