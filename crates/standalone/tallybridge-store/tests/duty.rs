//! Duties: one holder at a time, also when a holder is paused or the store fails.

use std::time::Duration;

use tallybridge_lab::standin::store::{FaultOrder, LossManner, StoreOptions, StoreStandin};
use tallybridge_store::{
    Acquired, DutyOptions, GuardedKey, LeaseHolder, StoreClient, StoreClientOptions, StoreError,
    duty::{CurrentHolder, GuardedError, Lapsed, duty_key},
};
use tokio::time::Instant;

/// Far longer than any step takes, so that no verdict hangs on the machine's speed.
const LONG: Duration = Duration::from_secs(3_600);

const DUTY: &str = "sweep";
const KEY: &str = "tallybridge/sweep/position";

async fn start() -> (StoreStandin, StoreClient) {
    let standin = StoreStandin::serve(StoreOptions::default()).await.unwrap();
    let options = StoreClientOptions {
        request_timeout: 10 * LONG,
        connect_timeout: 10 * LONG,
        ..StoreClientOptions::new(vec![standin.address()])
    };
    (standin, StoreClient::new(options).unwrap())
}

fn duty(holder: &str) -> DutyOptions {
    DutyOptions {
        name: DUTY.to_owned(),
        holder: holder.to_owned(),
        ttl: LONG,
        margin: LONG / 10,
    }
}

async fn hold(store: &StoreClient, holder: &str) -> LeaseHolder {
    match LeaseHolder::acquire(store, &duty(holder)).await.unwrap() {
        Acquired::Held(held) => held,
        Acquired::Standby(current) => panic!("held by {current:?}"),
    }
}

async fn stand_by(store: &StoreClient, holder: &str) -> CurrentHolder {
    match LeaseHolder::acquire(store, &duty(holder)).await.unwrap() {
        Acquired::Held(_) => panic!("a held duty was taken"),
        Acquired::Standby(current) => current,
    }
}

fn guarded(store: &StoreClient, holder: &LeaseHolder) -> GuardedKey {
    GuardedKey::new(store.clone(), holder.fence(), KEY.to_owned())
}

/// Lets the clock jump, as it seems to a process that was paused for that long.
async fn sleep_through(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[tokio::test]
async fn a_duty_has_one_holder_at_a_time() {
    let (_standin, store) = start().await;
    let first = hold(&store, "first").await;
    let current = stand_by(&store, "second").await;
    assert_eq!(current.holder, "first");
    assert_eq!(current.token, first.fence().token());
    let fence = first.fence();
    assert_eq!(fence.check(Instant::now()), Ok(()));
    first.release().await.unwrap();
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    let second = hold(&store, "second").await;
    assert!(second.fence().token() > fence.token());
}

#[tokio::test]
async fn a_holder_that_was_paused_refuses_to_act() {
    let (standin, store) = start().await;
    let holder = hold(&store, "paused").await;
    let key = guarded(&store, &holder);
    key.update(|_| "1".to_owned()).await.unwrap();
    let before = standin.requests();
    sleep_through(LONG - LONG / 20).await;
    // The store would still take the lease as held; the margin says that this is too close.
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
    let refused = key.update(|_| "2".to_owned()).await;
    assert_eq!(refused, Err(GuardedError::Lapsed(Lapsed)));
    assert_eq!(standin.requests().get, before.get, "it asks nothing");
    assert_eq!(standin.requests().put, before.put, "it writes nothing");
    holder.fence().lapsed().await;
}

#[tokio::test]
async fn a_lapsed_fence_stays_lapsed() {
    let (standin, store) = start().await;
    let holder = hold(&store, "slow").await;
    delay_answers(&standin, LONG.mul_f64(0.6));
    sleep_through(LONG.mul_f64(0.35)).await;
    until(|| standin.requests().renew == 1).await;
    delay_answers(&standin, Duration::ZERO);
    sleep_through(LONG.mul_f64(0.6)).await;
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
    // Time for the answer to the renewal, which the store granted, to arrive.
    for _ in 0..20 {
        store.get(KEY).await.unwrap();
    }
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn renewals_keep_a_duty() {
    let (_standin, store) = start().await;
    let holder = hold(&store, "steady").await;
    for _ in 0..5 {
        sleep_through(LONG / 2).await;
        until(|| holder.fence().remaining(Instant::now()) > LONG / 2).await;
    }
}

#[tokio::test]
async fn time_counts_from_before_a_lease_was_asked_for() {
    let (standin, store) = start().await;
    delay_answers(&standin, LONG.mul_f64(0.95));
    let acquiring = tokio::spawn(async move { hold(&store, "slow").await });
    until(|| standin.requests().grant == 1).await;
    delay_answers(&standin, Duration::ZERO);
    sleep_through(LONG.mul_f64(0.95)).await;
    let holder = acquiring.await.unwrap();
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn time_counts_from_before_a_renewal_was_asked_for() {
    let (standin, store) = start().await;
    let holder = hold(&store, "slow").await;
    delay_answers(&standin, LONG / 2);
    sleep_through(LONG.mul_f64(0.35)).await;
    until(|| standin.requests().renew == 1).await;
    standin.fault(&FaultOrder {
        slow_answer_ms: Some(0),
        unavailable_requests: Some(u32::MAX),
        ..FaultOrder::default()
    });
    sleep_through(LONG / 2).await;
    // The next renewal, which fails, is tried after the first one's answer was taken in.
    until(|| standin.requests().renew == 2).await;
    let remaining = holder.fence().remaining(Instant::now());
    assert!(remaining > Duration::ZERO, "the renewal was taken in");
    assert!(remaining < LONG / 2, "{remaining:?}");
}

fn delay_answers(standin: &StoreStandin, delay: Duration) {
    standin.fault(&FaultOrder {
        slow_answer_ms: Some(u64::try_from(delay.as_millis()).unwrap()),
        ..FaultOrder::default()
    });
}

/// Waits for an event that other tasks bring about.
async fn until(mut has_happened: impl FnMut() -> bool) {
    while !has_happened() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_holder_that_does_not_know_of_its_end_can_not_write() {
    let (_standin, store) = start().await;
    let stale = hold(&store, "stale").await;
    let stale_key = guarded(&store, &stale);
    stale_key.update(|_| "1".to_owned()).await.unwrap();
    end_lease_behind_its_holder(&store).await;
    let next = hold(&store, "next").await;
    let next_key = guarded(&store, &next);
    next_key
        .update(|current| format!("{}, 2", current.unwrap()))
        .await
        .unwrap();
    assert_eq!(stale.fence().check(Instant::now()), Ok(()));
    let token = next.fence().token();
    let refused = stale_key.update(|_| "3".to_owned()).await;
    assert_eq!(refused, Err(GuardedError::Superseded { token }));
    let value = store.get(KEY).await.unwrap().unwrap().value;
    assert!(value.contains("1, 2"), "{value}");
}

#[tokio::test]
async fn a_write_under_way_when_the_duty_changes_hands_is_refused() {
    let (standin, store) = start().await;
    let stale = hold(&store, "stale").await;
    let stale_key = guarded(&store, &stale);
    stale_key.update(|_| "1".to_owned()).await.unwrap();
    standin.fault(&FaultOrder {
        key_prefix: KEY.to_owned(),
        late_writes: Some(1),
        late_after_requests: u32::MAX,
        ..FaultOrder::default()
    });
    let lost = stale_key.update(|_| "late".to_owned()).await;
    let unknown = matches!(
        lost,
        Err(GuardedError::Store(StoreError::OutcomeUnknown { .. }))
    );
    assert!(unknown, "{lost:?}");
    stale.release().await.unwrap();
    let next = hold(&store, "next").await;
    guarded(&store, &next)
        .update(|current| format!("{}, 2", current.unwrap()))
        .await
        .unwrap();
    standin.release_late_writes();
    let value = store.get(KEY).await.unwrap().unwrap().value;
    assert!(value.contains("1, 2"), "{value}");
}

#[tokio::test]
async fn a_holder_learns_that_its_lease_is_gone() {
    let (_standin, store) = start().await;
    let holder = hold(&store, "stale").await;
    end_lease_behind_its_holder(&store).await;
    sleep_through(LONG.mul_f64(0.35)).await;
    holder.fence().lapsed().await;
    assert_eq!(holder.fence().check(Instant::now()), Err(Lapsed));
}

#[tokio::test]
async fn a_duty_is_over_before_the_store_hears_of_its_release() {
    let (standin, store) = start().await;
    let holder = hold(&store, "leaving").await;
    let fence = holder.fence();
    delay_answers(&standin, LONG);
    let releasing = tokio::spawn(holder.release());
    until(|| standin.requests().revoke == 1).await;
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    sleep_through(2 * LONG).await;
    releasing.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_dropped_holder_no_longer_holds() {
    let (_standin, store) = start().await;
    let holder = hold(&store, "gone").await;
    let fence = holder.fence();
    drop(holder);
    assert_eq!(fence.check(Instant::now()), Err(Lapsed));
    stand_by(&store, "next").await;
    sleep_through(LONG).await;
    hold(&store, "next").await;
}

async fn end_lease_behind_its_holder(store: &StoreClient) {
    let entry = store.get(&duty_key(DUTY)).await.unwrap().unwrap();
    let record: serde_json::Value = serde_json::from_str(&entry.value).unwrap();
    let lease = serde_json::from_value(record["lease"].clone()).unwrap();
    store.revoke_lease(lease).await.unwrap();
}

#[tokio::test]
async fn a_duty_taken_without_confirmation_is_held() {
    let (standin, store) = start().await;
    for loss_manner in [LossManner::Close, LossManner::Unavailable] {
        standin.fault(&FaultOrder {
            key_prefix: duty_key(DUTY),
            lose_answers: Some(1),
            loss_manner,
            ..FaultOrder::default()
        });
        let holder = hold(&store, "lucky").await;
        let token = holder.fence().token();
        assert_eq!(stand_by(&store, "other").await.token, token);
        holder.release().await.unwrap();
    }
}

#[tokio::test]
async fn a_late_write_does_not_take_a_duty() {
    let (standin, store) = start().await;
    standin.fault(&FaultOrder {
        key_prefix: duty_key(DUTY),
        late_writes: Some(1),
        late_after_requests: 1_000,
        ..FaultOrder::default()
    });
    let failed = LeaseHolder::acquire(&store, &duty("late")).await;
    assert!(matches!(failed, Err(StoreError::OutcomeUnknown { .. })));
    standin.release_late_writes();
    hold(&store, "next").await;
}
