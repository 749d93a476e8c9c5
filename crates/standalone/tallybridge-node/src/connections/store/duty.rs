//! Which node of a zone watches the store.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng;
use tallybridge_store::{
    Acquired, DutyOptions, LeaseHolder, LogError, StoreError,
    duty::{CurrentHolder, duty_key},
};
use tokio::time::Instant;

use super::{Follower, Stopped};
use crate::actor::fleet::{GetZone, Zone};

/// Nodes of a zone that watch the store, so that the loss of one goes unnoticed.
const WATCHERS_PER_ZONE: usize = 2;
/// Time between two looks at the members table.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Parts of a lease's life by which its holder stops before the store ends it.
const MARGINS_PER_TTL: u32 = 10;

/// What a look at the duties came to.
pub(super) enum Look {
    /// This node watches.
    Held(LeaseHolder),
    /// This node knows of no other and watches, whoever holds the duties.
    Alone,
    /// Others watch.
    Standby(BTreeSet<String>),
    /// The store failed.
    Failed(LogError),
}

impl Follower {
    /// Reads what is newer than this node's revision, sees who holds the duties and takes a free
    /// one.
    pub(super) async fn look(&mut self) -> Result<Look, Stopped> {
        let records = self.log.read_since(self.revision().await?);
        match self.until_stop(records).await? {
            Ok(records) => self.take_in(records).await?,
            Err(error) => return Ok(Look::Failed(error)),
        };
        let looked = match self.until_stop(self.holders()).await? {
            Ok(holders) => self.take_free(holders).await?,
            Err(error) => Err(error),
        };
        Ok(match looked {
            Ok(look) => {
                self.failures = 0;
                look
            }
            Err(error) => Look::Failed(LogError::Store(error)),
        })
    }

    /// The holders of this zone's duties, in the order of the duties.
    async fn holders(&self) -> Result<[Option<String>; WATCHERS_PER_ZONE], StoreError> {
        let prefix = duty_key(&self.duty_name(""));
        // Duties of a zone whose name starts with this one's may be listed too.
        const LISTED: usize = 8 * WATCHERS_PER_ZONE;
        let page = self.store.list(&prefix, "", LISTED).await?;
        Ok(std::array::from_fn(|number| {
            let key = duty_key(&self.duty_name(&number.to_string()));
            let entry = page.entries.iter().find(|entry| entry.key == key)?;
            Some(CurrentHolder::of_entry(entry).map_or_else(|_| String::new(), |held| held.holder))
        }))
    }

    async fn take_free(
        &self,
        holders: [Option<String>; WATCHERS_PER_ZONE],
    ) -> Result<Result<Look, StoreError>, Stopped> {
        let zone = self.context.ask(GetZone).await?;
        let free = holders.iter().position(Option::is_none);
        if let Some(number) = free.filter(|_| !zone.leaving) {
            let options = self.duty_options(number);
            let acquired = LeaseHolder::acquire(&self.store, &options);
            match self.until_stop(acquired).await? {
                Ok(Acquired::Held(holder)) => return Ok(Ok(Look::Held(holder))),
                // Another node was faster.
                Ok(Acquired::Standby(_)) | Err(StoreError::Conflict { .. }) => {}
                Err(error) => return Ok(Err(error)),
            }
        }
        if zone.fleet_members <= 1 {
            return Ok(Ok(Look::Alone));
        }
        let holders = holders.into_iter().flatten().collect();
        Ok(Ok(Look::Standby(holders)))
    }

    fn duty_name(&self, number: &str) -> String {
        let settings = &self.context.settings;
        format!("watch-{}-{}-{number}", settings.region, settings.zone)
    }

    fn duty_options(&self, number: usize) -> DutyOptions {
        DutyOptions {
            name: self.duty_name(&number.to_string()),
            holder: self.context.identity.to_string(),
            ttl: self.times.duty_ttl,
            margin: self.times.duty_ttl / MARGINS_PER_TTL,
        }
    }

    /// Waits until the next look is due: rarely, or soon after a holder was lost from the members.
    pub(super) async fn wait_for_look(
        &mut self,
        holders: &BTreeSet<String>,
    ) -> Result<(), Stopped> {
        let zone = self.context.ask(GetZone).await?;
        let mean = (self.times.look_spacing * zone.count()).max(self.times.shortest_look);
        let mut due = Instant::now() + mean.mul_f64(self.random.random_range(0.5..1.5));
        let mut watched: BTreeSet<&String> = holders.iter().collect();
        // One that is not known is no news when it stays so.
        watched.retain(|holder| zone.live.contains(*holder));
        loop {
            let now = Instant::now();
            if now >= due {
                return Ok(());
            }
            self.pause(MEMBERS_INTERVAL.min(due - now)).await?;
            let zone = self.context.ask(GetZone).await?;
            if watched.iter().any(|holder| !zone.live.contains(*holder)) {
                watched.clear();
                let soon = self.window(&zone).mul_f64(self.random.random());
                due = due.min(Instant::now() + soon);
            }
        }
    }

    /// Time over which the nodes of the zone look when a watcher may be missing. Its lease may
    /// have to lapse first.
    pub(super) async fn succession_window(&self) -> Result<Duration, Stopped> {
        let zone = self.context.ask(GetZone).await?;
        Ok(self.times.succession_spacing * zone.count())
    }

    fn window(&self, zone: &Zone) -> Duration {
        (self.times.succession_spacing * zone.count()).max(self.times.duty_ttl)
    }
}
