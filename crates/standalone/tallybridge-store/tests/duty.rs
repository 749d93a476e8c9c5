//! Checks that a duty has one holder at a time, even if a holder is paused or the store fails.

use std::time::Duration;

use tallybridge_lab::standin::store::{FaultOrder, LossManner, StoreOptions, StoreStandin};
use tallybridge_store::{
    Acquired, DutyOptions, GuardedKey, LeaseHolder, StoreClient, StoreClientOptions, StoreError,
    duty::{CurrentHolder, GuardedError, Lapsed, duty_key},
};
use tokio::time::Instant;

/// Long enough that a lease expires only when a test advances the clock.
const LEASE_TTL: Duration = Duration::from_secs(3_600);

const DUTY: &str = "sweep";
const KEY: &str = "tallybridge/sweep/position";

async fn start_store() -> (StoreStandin, StoreClient) {
    let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
    let options = StoreClientOptions {
        request_timeout: 10 * LEASE_TTL,
        connect_timeout: 10 * LEASE_TTL,
        ..StoreClientOptions::new(vec![standin.address()])
    };
    (standin, StoreClient::new(options).unwrap())
}

fn duty_options(holder: &str) -> DutyOptions {
    DutyOptions {
        name: DUTY.to_owned(),
        holder: holder.to_owned(),
        ttl: LEASE_TTL,
        margin: LEASE_TTL / 10,
    }
}

async fn acquire(store: &StoreClient, holder: &str) -> LeaseHolder {
    match LeaseHolder::acquire(store, &duty_options(holder))
        .await
        .unwrap()
    {
        Acquired::Held(held) => held,
        Acquired::Standby(current) => panic!("the duty is held by {current:?}"),
    }
}

async fn expect_standby(store: &StoreClient, holder: &str) -> CurrentHolder {
    match LeaseHolder::acquire(store, &duty_options(holder))
        .await
        .unwrap()
    {
        Acquired::Held(_) => panic!("acquired a duty that another node holds"),
        Acquired::Standby(current) => current,
    }
}

fn guarded_key(store: &StoreClient, holder: &LeaseHolder) -> GuardedKey {
    GuardedKey::new(store.clone(), holder.fence(), KEY.to_owned())
}

/// Advances the clock in one jump, as seen by a process that was paused.
async fn advance_clock(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[tokio::test]
async fn duty_has_one_holder_at_a_time() {
    let (_standin, store) = start_store().await;
    let first = acquire(&store, "first").await;
    let current = expect_standby(&store, "second").await;
    assert_eq!(current.holder, "first");
    assert_eq!(current.token, first.fence().token());
    let fence = first.fence();
    assert_eq!(fence.check(Instant::now()), Ok(()));
    first.release().await.unwrap();
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    let second = acquire(&store, "second").await;
    assert!(second.fence().token() > fence.token());
}

#[tokio::test]
async fn paused_holder_rejects_update() {
    let (standin, store) = start_store().await;
    let holder = acquire(&store, "paused").await;
    let key = guarded_key(&store, &holder);
    key.update(|_| "1".to_owned()).await.unwrap();
    let before = standin.requests();
    advance_clock(LEASE_TTL - LEASE_TTL / 20).await;
    // The lease has not expired in the store yet, but the margin has begun.
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
    let rejected = key.update(|_| "2".to_owned()).await;
    assert_eq!(rejected, Err(GuardedError::Lapsed(Lapsed)));
    assert_eq!(
        standin.requests().get,
        before.get,
        "the update read the key"
    );
    assert_eq!(
        standin.requests().put,
        before.put,
        "the update wrote the key"
    );
    holder.fence().lapsed().await;
}

#[tokio::test]
async fn late_renewal_leaves_fence_lapsed() {
    let (standin, store) = start_store().await;
    let holder = acquire(&store, "slow").await;
    delay_responses(&standin, LEASE_TTL.mul_f64(0.6));
    advance_clock(LEASE_TTL.mul_f64(0.35)).await;
    wait_until(|| standin.requests().renew == 1).await;
    delay_responses(&standin, Duration::ZERO);
    advance_clock(LEASE_TTL.mul_f64(0.6)).await;
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
    // Gives the successful response to the renewal time to arrive.
    for _ in 0..20 {
        store.get(KEY).await.unwrap();
    }
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn renewals_extend_the_fence() {
    let (_standin, store) = start_store().await;
    let holder = acquire(&store, "steady").await;
    for _ in 0..5 {
        advance_clock(LEASE_TTL / 2).await;
        wait_until(|| holder.fence().remaining(Instant::now()) > LEASE_TTL / 2).await;
    }
}

#[tokio::test]
async fn validity_starts_when_lease_is_requested() {
    let (standin, store) = start_store().await;
    delay_responses(&standin, LEASE_TTL.mul_f64(0.95));
    let acquire_task = tokio::spawn(async move { acquire(&store, "slow").await });
    wait_until(|| standin.requests().grant == 1).await;
    delay_responses(&standin, Duration::ZERO);
    advance_clock(LEASE_TTL.mul_f64(0.95)).await;
    let holder = acquire_task.await.unwrap();
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn validity_restarts_when_renewal_is_sent() {
    let (standin, store) = start_store().await;
    let holder = acquire(&store, "slow").await;
    delay_responses(&standin, LEASE_TTL / 2);
    advance_clock(LEASE_TTL.mul_f64(0.35)).await;
    wait_until(|| standin.requests().renew == 1).await;
    standin.fault(&FaultOrder {
        slow_answer_ms: Some(0),
        unavailable_requests: Some(u32::MAX),
        ..FaultOrder::default()
    });
    advance_clock(LEASE_TTL / 2).await;
    // The second renewal, which fails, is sent after the first response was processed.
    wait_until(|| standin.requests().renew == 2).await;
    let remaining = holder.fence().remaining(Instant::now());
    assert!(
        remaining > Duration::ZERO,
        "the first renewal did not extend the lease"
    );
    assert!(remaining < LEASE_TTL / 2, "{remaining:?}");
}

fn delay_responses(standin: &StoreStandin, delay: Duration) {
    standin.fault(&FaultOrder {
        slow_answer_ms: Some(u64::try_from(delay.as_millis()).unwrap()),
        ..FaultOrder::default()
    });
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn superseded_holder_cannot_write() {
    let (_standin, store) = start_store().await;
    let stale = acquire(&store, "stale").await;
    let stale_key = guarded_key(&store, &stale);
    stale_key.update(|_| "1".to_owned()).await.unwrap();
    revoke_lease_of_duty(&store).await;
    let next = acquire(&store, "next").await;
    let next_key = guarded_key(&store, &next);
    next_key
        .update(|current| format!("{}, 2", current.unwrap()))
        .await
        .unwrap();
    assert_eq!(stale.fence().check(Instant::now()), Ok(()));
    let token = next.fence().token();
    let rejected = stale_key.update(|_| "3".to_owned()).await;
    assert_eq!(rejected, Err(GuardedError::Superseded { token }));
    let value = store.get(KEY).await.unwrap().unwrap().value;
    assert!(value.contains("1, 2"), "{value}");
}

#[tokio::test]
async fn rejects_delayed_write_of_previous_holder() {
    let (standin, store) = start_store().await;
    let stale = acquire(&store, "stale").await;
    let stale_key = guarded_key(&store, &stale);
    stale_key.update(|_| "1".to_owned()).await.unwrap();
    standin.fault(&FaultOrder {
        key_prefix: KEY.to_owned(),
        late_writes: Some(1),
        late_after_requests: u32::MAX,
        ..FaultOrder::default()
    });
    let result = stale_key.update(|_| "late".to_owned()).await;
    let is_outcome_unknown = matches!(
        result,
        Err(GuardedError::Store(StoreError::OutcomeUnknown { .. }))
    );
    assert!(is_outcome_unknown, "{result:?}");
    stale.release().await.unwrap();
    let next = acquire(&store, "next").await;
    guarded_key(&store, &next)
        .update(|current| format!("{}, 2", current.unwrap()))
        .await
        .unwrap();
    standin.release_late_writes();
    let value = store.get(KEY).await.unwrap().unwrap().value;
    assert!(value.contains("1, 2"), "{value}");
}

#[tokio::test]
async fn fence_lapses_after_revocation() {
    let (_standin, store) = start_store().await;
    let holder = acquire(&store, "stale").await;
    revoke_lease_of_duty(&store).await;
    advance_clock(LEASE_TTL.mul_f64(0.35)).await;
    holder.fence().lapsed().await;
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn fence_lapses_before_release_completes() {
    let (standin, store) = start_store().await;
    let holder = acquire(&store, "leaving").await;
    let fence = holder.fence();
    delay_responses(&standin, LEASE_TTL);
    let release_task = tokio::spawn(holder.release());
    wait_until(|| standin.requests().revoke == 1).await;
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    advance_clock(2 * LEASE_TTL).await;
    release_task.await.unwrap().unwrap();
}

#[tokio::test]
async fn dropped_holder_lapses_and_lease_expires() {
    let (_standin, store) = start_store().await;
    let holder = acquire(&store, "dropped").await;
    let fence = holder.fence();
    drop(holder);
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    expect_standby(&store, "next").await;
    advance_clock(LEASE_TTL).await;
    acquire(&store, "next").await;
}

async fn revoke_lease_of_duty(store: &StoreClient) {
    let entry = store.get(&duty_key(DUTY)).await.unwrap().unwrap();
    let record: serde_json::Value = serde_json::from_str(&entry.value).unwrap();
    let lease = serde_json::from_value(record["lease"].clone()).unwrap();
    store.revoke_lease(lease).await.unwrap();
}

#[tokio::test]
async fn acquires_duty_despite_lost_response() {
    let (standin, store) = start_store().await;
    for loss_manner in [LossManner::Close, LossManner::Unavailable] {
        standin.fault(&FaultOrder {
            key_prefix: duty_key(DUTY),
            lose_answers: Some(1),
            loss_manner,
            ..FaultOrder::default()
        });
        let holder = acquire(&store, "holder").await;
        let token = holder.fence().token();
        assert_eq!(expect_standby(&store, "other").await.token, token);
        holder.release().await.unwrap();
    }
}

#[tokio::test]
async fn late_write_does_not_acquire_duty() {
    let (standin, store) = start_store().await;
    standin.fault(&FaultOrder {
        key_prefix: duty_key(DUTY),
        late_writes: Some(1),
        late_after_requests: 1_000,
        ..FaultOrder::default()
    });
    let result = LeaseHolder::acquire(&store, &duty_options("late")).await;
    assert!(matches!(result, Err(StoreError::OutcomeUnknown { .. })));
    standin.release_late_writes();
    acquire(&store, "next").await;
}
