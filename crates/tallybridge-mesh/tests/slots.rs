//! Slots of a back end: the limit holds, critical calls go first, and no slot leaks.

use std::time::Duration;

use tallybridge_core::Criticality;
use tallybridge_mesh::tables::backend::slots::{BackendSlots, NoSlot, Slot};
use tokio::time::{Instant, sleep};

const LONG_WAIT: Duration = Duration::from_secs(60);

fn slots_with(count: u32) -> BackendSlots {
    let slots = BackendSlots::default();
    slots.set_slots(count);
    slots
}

async fn acquire_all(slots: &BackendSlots) -> Vec<Slot> {
    let mut held = Vec::new();
    for _ in 0..slots.load().limit {
        let wait_until = Instant::now() + LONG_WAIT;
        held.push(
            slots
                .acquire(Criticality::Critical, wait_until)
                .await
                .unwrap(),
        );
    }
    held
}

#[tokio::test(start_paused = true)]
async fn limit_is_95_percent_and_at_least_one() {
    for (slots, limit) in [(1, 1), (2, 1), (20, 19), (22, 20), (38, 36), (142, 134)] {
        assert_eq!(slots_with(slots).load().limit, limit);
    }
}

#[tokio::test(start_paused = true)]
async fn released_slot_goes_to_most_critical_call() {
    let slots = slots_with(4);
    let mut held = acquire_all(&slots).await;
    let mut waiting_tasks = Vec::new();
    for class in [
        Criticality::Sheddable,
        Criticality::CriticalPlus,
        Criticality::Critical,
    ] {
        let slots = slots.clone();
        waiting_tasks.push(tokio::spawn(async move {
            slots.acquire(class, Instant::now() + LONG_WAIT).await
        }));
        sleep(Duration::from_millis(1)).await;
    }
    held.pop();
    sleep(Duration::from_millis(1)).await;
    let finished: Vec<bool> = waiting_tasks
        .iter()
        .map(|task| task.is_finished())
        .collect();
    assert_eq!(finished, [false, true, false]);
}

#[tokio::test(start_paused = true)]
async fn refuses_call_that_would_wait_too_long() {
    let slots = slots_with(2);
    for _ in 0..200 {
        let slot = slots
            .acquire(Criticality::Critical, Instant::now() + LONG_WAIT)
            .await;
        sleep(Duration::from_millis(100)).await;
        drop(slot);
    }
    let _held = acquire_all(&slots).await;
    let waiting_slots = slots.clone();
    let _waiting_task = tokio::spawn(async move {
        let _ = waiting_slots
            .acquire(Criticality::Critical, Instant::now() + LONG_WAIT)
            .await;
    });
    sleep(Duration::from_millis(1)).await;
    let started_at = Instant::now();
    let wait_until = started_at + Duration::from_millis(50);
    let result = slots.acquire(Criticality::Critical, wait_until).await;
    assert_eq!(result.unwrap_err(), NoSlot::Full);
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn expired_wait_leaves_queue() {
    let slots = slots_with(2);
    let held = acquire_all(&slots).await;
    let started_at = Instant::now();
    let wait_until = started_at + Duration::from_millis(80);
    assert!(
        slots
            .acquire(Criticality::Critical, wait_until)
            .await
            .is_err()
    );
    assert_eq!(started_at.elapsed().as_millis() / 10, 8);
    assert_eq!(slots.load().queued, 0);
    drop(held);
    assert_eq!(slots.load().in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn cancelled_call_gets_no_slot() {
    let slots = slots_with(2);
    let held = acquire_all(&slots).await;
    let waiting_slots = slots.clone();
    let task = tokio::spawn(async move {
        let _ = waiting_slots
            .acquire(Criticality::Critical, Instant::now() + LONG_WAIT)
            .await;
        panic!("the cancelled call ran");
    });
    sleep(Duration::from_millis(1)).await;
    assert_eq!(slots.load().queued, 1);
    task.abort();
    assert!(task.await.unwrap_err().is_cancelled());
    drop(held);
    let load = slots.load();
    assert_eq!((load.in_flight, load.queued), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn refuses_waiting_calls_of_leaving_back_end() {
    let slots = slots_with(2);
    let held = acquire_all(&slots).await;
    let waiting_slots = slots.clone();
    let task = tokio::spawn(async move {
        waiting_slots
            .acquire(Criticality::CriticalPlus, Instant::now() + LONG_WAIT)
            .await
    });
    sleep(Duration::from_millis(1)).await;
    slots.refuse_waiting();
    assert_eq!(task.await.unwrap().unwrap_err(), NoSlot::Closed);
    drop(held);
    assert_eq!(slots.load().in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn releases_all_slots_after_random_load() {
    use rand::{Rng, SeedableRng};
    let slots = slots_with(6);
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for _ in 0..2000 {
        let slots = slots.clone();
        let max_wait = Duration::from_millis(random.random_range(0..40));
        let hold_time = Duration::from_millis(random.random_range(0..20));
        let class = Criticality::ALL[random.random_range(0..4)];
        let cancel_after = Duration::from_millis(random.random_range(0..60));
        let task = tokio::spawn(async move {
            let use_slot = async {
                let slot = slots.acquire(class, Instant::now() + max_wait).await;
                assert!(slots.load().in_flight <= slots.load().limit);
                sleep(hold_time).await;
                drop(slot);
            };
            let _ = tokio::time::timeout(cancel_after, use_slot).await;
        });
        tasks.push(task);
        sleep(Duration::from_millis(random.random_range(0..4))).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
    let load = slots.load();
    assert_eq!((load.in_flight, load.queued), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn service_time_decays_without_calls() {
    let slots = slots_with(4);
    let slot = slots
        .acquire(Criticality::Critical, Instant::now() + LONG_WAIT)
        .await;
    sleep(Duration::from_secs(1)).await;
    drop(slot);
    assert_eq!(slots.load().service_ms, 1000);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(slots.load().service_ms, 1000);
    sleep(Duration::from_secs(5)).await;
    assert!(slots.load().service_ms < 150, "{}", slots.load().service_ms);
}

/// Saturates a back end that slows down while more than the share `slow_above` of its slots is in use.
async fn saturate(slots: &BackendSlots, count: u32, slow_above: f64, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers = (0..count * 2).map(|_| {
        let slots = slots.clone();
        tokio::spawn(async move {
            while Instant::now() < end {
                let wait_until = Instant::now() + Duration::from_secs(1);
                let Ok(mut slot) = slots.acquire(Criticality::Critical, wait_until).await else {
                    continue;
                };
                let occupancy = f64::from(slots.load().in_flight) / f64::from(count);
                let work_ms = if occupancy > slow_above { 64 } else { 40 };
                sleep(Duration::from_millis(work_ms)).await;
                slot.record_success(1);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn avoids_slots_that_slow_back_end_down() {
    let healthy = BackendSlots::default();
    healthy.set_slots(38);
    saturate(&healthy, 38, 1.0, 8).await;
    assert_eq!(healthy.load().limit, 36);
    let slowing = BackendSlots::default();
    slowing.set_slots(38);
    saturate(&slowing, 38, 0.85, 8).await;
    let limit = slowing.load().limit;
    assert!((27..=32).contains(&limit), "{limit}");
    slowing.reset_share();
    assert_eq!(
        slowing.load().limit,
        36,
        "the limit learned for the previous instance still applies"
    );
}
