//! Slots of a back end: never more than there are, given to what matters most.

use std::time::Duration;

use tallybridge_core::Criticality;
use tallybridge_mesh::tables::backend::slots::{BackendSlots, NoSlot, Slot};
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(60);

fn slots_of(count: u32) -> BackendSlots {
    let slots = BackendSlots::default();
    slots.set_slots(count);
    slots
}

async fn fill(slots: &BackendSlots) -> Vec<Slot> {
    let mut held = Vec::new();
    for _ in 0..slots.load().limit {
        let until = Instant::now() + LONG;
        held.push(slots.slot(Criticality::Critical, until).await.unwrap());
    }
    held
}

#[tokio::test(start_paused = true)]
async fn slots_are_never_all_used_nor_more_than_there_are() {
    for (slots, limit) in [(1, 1), (2, 1), (20, 19), (22, 20), (38, 36), (142, 134)] {
        assert_eq!(slots_of(slots).load().limit, limit);
    }
}

#[tokio::test(start_paused = true)]
async fn a_slot_that_is_given_back_goes_to_the_most_critical_that_waits() {
    let slots = slots_of(4);
    let mut held = fill(&slots).await;
    let mut waiting = Vec::new();
    for class in [
        Criticality::Sheddable,
        Criticality::CriticalPlus,
        Criticality::Critical,
    ] {
        let slots = slots.clone();
        waiting.push(tokio::spawn(async move {
            slots.slot(class, Instant::now() + LONG).await
        }));
        sleep(Duration::from_millis(1)).await;
    }
    held.pop();
    sleep(Duration::from_millis(1)).await;
    let finished: Vec<bool> = waiting.iter().map(|task| task.is_finished()).collect();
    assert_eq!(finished, [false, true, false]);
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_would_be_for_nothing_is_refused_at_once() {
    let slots = slots_of(2);
    for _ in 0..200 {
        let slot = slots
            .slot(Criticality::Critical, Instant::now() + LONG)
            .await;
        sleep(Duration::from_millis(100)).await;
        drop(slot);
    }
    let _held = fill(&slots).await;
    let first = slots.clone();
    let _waiting = tokio::spawn(async move {
        let _ = first
            .slot(Criticality::Critical, Instant::now() + LONG)
            .await;
    });
    sleep(Duration::from_millis(1)).await;
    let began = Instant::now();
    let short = began + Duration::from_millis(50);
    let refused = slots.slot(Criticality::Critical, short).await;
    assert_eq!(refused.unwrap_err(), NoSlot::Full);
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_its_time_is_up_and_leaves_nothing_behind() {
    let slots = slots_of(2);
    let held = fill(&slots).await;
    let began = Instant::now();
    let until = began + Duration::from_millis(80);
    assert!(slots.slot(Criticality::Critical, until).await.is_err());
    assert_eq!(began.elapsed().as_millis() / 10, 8);
    assert_eq!(slots.load().queued, 0);
    drop(held);
    assert_eq!(slots.load().in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_withdrawn_while_it_waits_never_gets_a_slot() {
    let slots = slots_of(2);
    let held = fill(&slots).await;
    let waiting = slots.clone();
    let task = tokio::spawn(async move {
        let _ = waiting
            .slot(Criticality::Critical, Instant::now() + LONG)
            .await;
        panic!("it was withdrawn");
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
async fn all_that_wait_are_refused_when_the_back_end_leaves() {
    let slots = slots_of(2);
    let held = fill(&slots).await;
    let waiting = slots.clone();
    let task = tokio::spawn(async move {
        waiting
            .slot(Criticality::CriticalPlus, Instant::now() + LONG)
            .await
    });
    sleep(Duration::from_millis(1)).await;
    slots.refuse_waiting();
    assert_eq!(task.await.unwrap().unwrap_err(), NoSlot::Closed);
    drop(held);
    assert_eq!(slots.load().in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn slots_balance_under_a_random_load() {
    use rand::{Rng, SeedableRng};
    let slots = slots_of(6);
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut tasks = Vec::new();
    for _ in 0..2000 {
        let slots = slots.clone();
        let wait = Duration::from_millis(random.random_range(0..40));
        let hold = Duration::from_millis(random.random_range(0..20));
        let class = Criticality::ALL[random.random_range(0..4)];
        let patience = Duration::from_millis(random.random_range(0..60));
        let task = tokio::spawn(async move {
            let using = async {
                let slot = slots.slot(class, Instant::now() + wait).await;
                assert!(slots.load().in_flight <= slots.load().limit);
                sleep(hold).await;
                drop(slot);
            };
            let _ = tokio::time::timeout(patience, using).await;
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
async fn a_slow_time_is_believed_less_while_nothing_shows_it() {
    let slots = slots_of(4);
    let slot = slots
        .slot(Criticality::Critical, Instant::now() + LONG)
        .await;
    sleep(Duration::from_secs(1)).await;
    drop(slot);
    assert_eq!(slots.load().service_ms, 1000);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(slots.load().service_ms, 1000);
    sleep(Duration::from_secs(5)).await;
    assert!(slots.load().service_ms < 150, "{}", slots.load().service_ms);
}

/// Keeps the slots of a back end taken that takes longer over its calls from a share of them on.
async fn saturate(slots: &BackendSlots, count: u32, slow_from: f64, seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    let callers = (0..count * 2).map(|_| {
        let slots = slots.clone();
        tokio::spawn(async move {
            while Instant::now() < end {
                let wait_until = Instant::now() + Duration::from_secs(1);
                let Ok(mut slot) = slots.slot(Criticality::Critical, wait_until).await else {
                    continue;
                };
                let taken = f64::from(slots.load().in_flight) / f64::from(count);
                let took = if taken > slow_from { 64 } else { 40 };
                sleep(Duration::from_millis(took)).await;
                slot.ended_well(1);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn slots_on_which_a_back_end_slows_down_are_not_used_under_saturation() {
    let sound = BackendSlots::default();
    sound.set_slots(38);
    saturate(&sound, 38, 1.0, 8).await;
    assert_eq!(sound.load().limit, 36);
    let slowing = BackendSlots::default();
    slowing.set_slots(38);
    saturate(&slowing, 38, 0.85, 8).await;
    let limit = slowing.load().limit;
    assert!((27..=32).contains(&limit), "{limit}");
    slowing.forget_instance();
    assert_eq!(slowing.load().limit, 36, "another instance may differ");
}
