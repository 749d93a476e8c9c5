//! Operators that write revisions, also two at the same time.
//!
//! Every revision gives the probe's template a deadline of its own, so the revision by which an
//! entry treats a call can be told from the time that the back end is given.

use tallybridge_config::{Edit, Revision, RevisionRecord, Template, revision::RECORD_PREFIX};
use tallybridge_store::StoreError;
use uuid::Uuid;

use super::AcceptedRevision;
use crate::{clock::unix_us, process::Platform, scenario::Scenario};

/// By how much the deadline of the probe's template grows with each revision, in milliseconds.
pub const DEADLINE_STEP_MS: u32 = 1_000;

/// Most tries of one operator.
const ATTEMPTS: usize = 10;

/// Records read at once.
const PAGE: usize = 1_000;

/// One operator with a change to make.
struct Operator<'a> {
    platform: &'a Platform,
    template: &'a Template,
    change_id: Uuid,
}

/// Lets two operators make a change each, starting from the same revision.
///
/// # Errors
///
/// [`StoreError`] when an operator can't make its change.
pub async fn race(
    platform: &Platform,
    scenario: &Scenario,
) -> Result<Vec<AcceptedRevision>, StoreError> {
    let Some(template) = probe_template(scenario) else {
        return Ok(Vec::new());
    };
    let operator = || Operator {
        platform,
        template,
        change_id: Uuid::now_v7(),
    };
    let (first, second) = (operator(), operator());
    let (first, second) = tokio::join!(first.change(), second.change());
    Ok(vec![first?, second?])
}

/// The template that covers the probe.
#[must_use]
pub fn probe_template(scenario: &Scenario) -> Option<&Template> {
    let kind = scenario.kind(scenario.probe.as_deref()?)?;
    let path = format!("/{}", kind.path);
    scenario
        .configuration
        .templates
        .iter()
        .find(|template| template.covers(&kind.service, "GET", &path))
}

impl Operator<'_> {
    /// Makes the change at the greatest revision, again and again until the store accepts it.
    async fn change(&self) -> Result<AcceptedRevision, StoreError> {
        let mut last_error = StoreError::Unavailable {
            detail: "not tried".to_owned(),
        };
        for _ in 0..ATTEMPTS {
            match self.try_change().await {
                Ok(accepted) => return Ok(accepted),
                Err(error) if error.is_transient() => {
                    tokio::time::sleep(error.retry_after()).await;
                    last_error = error;
                }
                Err(error @ StoreError::Conflict { .. }) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    async fn try_change(&self) -> Result<AcceptedRevision, StoreError> {
        let page = self
            .platform
            .store_client()?
            .list(RECORD_PREFIX, "", PAGE)
            .await?;
        let mine = page
            .entries
            .iter()
            .filter_map(|entry| serde_json::from_str::<RevisionRecord>(&entry.value).ok())
            .find(|record| record.change_id == self.change_id);
        let revision = match mine {
            // The answer to an earlier try was lost, but the change is there.
            Some(record) => record.revision,
            None => {
                let record = self.record(Revision(page.entries.len() as u64).next());
                self.platform.write_record(&record).await?;
                record.revision
            }
        };
        Ok(AcceptedRevision {
            revision,
            accepted_us: unix_us(),
        })
    }

    fn record(&self, revision: Revision) -> RevisionRecord {
        let steps = u32::try_from(revision.0.saturating_sub(1)).unwrap_or(u32::MAX);
        let mut template = self.template.clone();
        template.deadline_ms = template
            .deadline_ms
            .saturating_add(steps.saturating_mul(DEADLINE_STEP_MS));
        RevisionRecord {
            revision,
            change_id: self.change_id,
            author: "operator".to_owned(),
            made_unix_ms: unix_us() / 1_000,
            comment: "race".to_owned(),
            edits: vec![Edit::PutTemplate(template)],
        }
    }
}
