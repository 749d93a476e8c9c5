//! A fresh node's first configuration.

use std::time::Duration;

use tallybridge_config::Revision;
use tokio::time::Instant;

use super::{Follower, Stopped};
use crate::actor::{
    configuration::{ApplySnapshot, StoreConfirmed},
    status::CountMembers,
};

/// Time between two looks at whether a member's configuration has come.
const POLL: Duration = Duration::from_millis(50);
/// Share of the first request's spread for each member, so that a fleet that starts as one does
/// not ask the store as one.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(10);
/// The same for the longest wait between two requests while the store does not answer.
const RETRY_PER_MEMBER: Duration = Duration::from_millis(100);

impl Follower {
    /// Waits for the greatest revision that the members hold. When none comes in time, asks the
    /// store until either has answered.
    pub(super) async fn first_configuration(&mut self) -> Result<(), Stopped> {
        if self.may_have_peers() {
            self.wait_for_members().await?;
        }
        loop {
            if self.is_loaded().await? {
                return Ok(());
            }
            let members = self.context.ask(CountMembers).await?;
            let others = u32::try_from(members.saturating_sub(1)).unwrap_or(u32::MAX);
            self.pause_up_to(SPREAD_PER_MEMBER.saturating_mul(others))
                .await?;
            if self.is_loaded().await? {
                return Ok(());
            }
            match self.until_stop(self.log.read_document()).await? {
                Ok(document) => {
                    let revision = document.revision;
                    self.context.ask(ApplySnapshot(document)).await?;
                    self.context.ask(StoreConfirmed(revision)).await?;
                    self.failures = 0;
                    return Ok(());
                }
                Err(error) => {
                    let longest = RETRY_PER_MEMBER.saturating_mul(others);
                    self.pause_within(&error, longest.max(self.times.longest_retry))
                        .await?;
                }
            }
        }
    }

    fn may_have_peers(&self) -> bool {
        let settings = &self.context.settings;
        let own = settings.peer_address;
        settings.machine_list.is_some() || settings.seeds.iter().any(|seed| *seed != own)
    }

    async fn wait_for_members(&self) -> Result<(), Stopped> {
        let deadline = Instant::now() + self.times.first_wait;
        while Instant::now() < deadline && !self.is_loaded().await? {
            self.pause(POLL).await?;
        }
        Ok(())
    }

    async fn is_loaded(&self) -> Result<bool, Stopped> {
        Ok(self.revision().await? > Revision::default())
    }
}
