use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};

use super::MemoryBudget;

const SHORT: Duration = Duration::from_millis(20);

fn run_test<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

#[test]
fn a_dropped_reservation_is_returned_to_the_budget() {
    let budget = MemoryBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(budget.reserve(61).is_none());
    assert!(body.grow(100) && budget.available() == 0);
    drop(body);
    assert_eq!(budget.available(), 100);
}

#[test]
fn a_reservation_that_cannot_grow_is_unchanged() {
    let budget = MemoryBudget::new(100);
    let mut body = budget.reserve(40).expect("enough is left");
    assert!(!body.grow(101));
    assert!(body.grow(10), "a reservation never shrinks");
    assert_eq!(budget.available(), 60);
}

#[test]
fn a_task_waits_until_memory_is_returned() {
    run_test(async {
        let budget = MemoryBudget::new(100);
        let held = budget.reserve(60).unwrap();
        let mut waiting = budget.empty_reservation();
        assert!(timeout(SHORT, waiting.grow_when_available(50)).await.is_err());
        assert_eq!((waiting.size(), budget.available()), (0, 40));
        tokio::join!(waiting.grow_when_available(50), async { drop(held) });
        assert_eq!((waiting.size(), budget.available()), (50, 50));
    });
}

/// Guards against clients that are disconnected for a shortage that is over, or that has only begun.
#[test]
fn only_a_shortage_that_lasts_is_reported() {
    run_test(async {
        let budget = MemoryBudget::new(100);
        assert!(timeout(SHORT * 3, budget.shortage_lasting(SHORT)).await.is_err());
        let held = budget.reserve(100).unwrap();
        assert!(timeout(SHORT * 3, budget.shortage_lasting(SHORT)).await.is_err(), "no task waits");
        let started = Instant::now();
        let mut waiting = budget.empty_reservation();
        tokio::select! {
            () = waiting.grow_when_available(1) => panic!("nothing is available"),
            () = budget.shortage_lasting(SHORT) => assert!(started.elapsed() >= SHORT),
        }
        drop(held);
        waiting.grow_when_available(1).await;
        sleep(SHORT).await;
        assert!(timeout(SHORT * 3, budget.shortage_lasting(SHORT)).await.is_err(), "the shortage is over");
    });
}
