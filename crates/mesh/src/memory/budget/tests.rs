use futures::FutureExt as _;
use futures::future::LocalBoxFuture;
use sailtrack_net::runtime;

use super::state::SMALL_BYTES;
use super::*;

const MIB: usize = 1024 * 1024;
/// Longer than any test takes.
const PATIENT: Duration = Duration::from_mins(1);
const BRIEF: Duration = Duration::from_millis(20);

fn run(test: impl Future<Output = ()>) {
    runtime::run(test).expect("a runtime");
}

type Acquired<'a> = LocalBoxFuture<'a, Result<Charge, Exhausted>>;

fn workspace(name: &str) -> Caller {
    Caller::Workspace(name.parse().expect("a name"))
}

/// Starts to wait, and returns the future that ends once the memory is charged.
fn wait(budget: &Budget, caller: Caller, bytes: usize) -> Acquired<'_> {
    let mut acquired = budget.acquire(caller, bytes, PATIENT).boxed_local();
    assert!((&mut acquired).now_or_never().is_none(), "it waits");
    acquired
}

async fn take(budget: &Budget, caller: Caller, bytes: usize) -> Result<Charge, Exhausted> {
    budget.acquire(caller, bytes, BRIEF).await
}

#[test]
fn refused_beyond_capacity() {
    run(async {
        let budget = Budget::new(8 * MIB, &Bound::new(8 * MIB));
        let held = take(&budget, workspace("a"), 4 * MIB).await.expect("room");
        let other = take(&budget, workspace("b"), 4 * MIB).await.expect("room");
        assert!(take(&budget, workspace("c"), 1).await.is_err());
        assert_eq!(budget.sample().refused, 1);
        drop((held, other));
        assert_eq!(budget.sample().held, 0);
        assert!(take(&budget, workspace("c"), 1).await.is_ok());
    });
}

/// A body waits for others to be released instead of being refused.
#[test]
fn waits_for_room() {
    run(async {
        let budget = Budget::new(8 * MIB, &Bound::new(8 * MIB));
        let held = take(&budget, workspace("a"), 4 * MIB).await.expect("room");
        let other = take(&budget, workspace("b"), 4 * MIB).await.expect("room");
        let waiting = wait(&budget, workspace("c"), 3 * MIB);
        assert_eq!(budget.sample().waiting, 1);
        drop(other);
        assert_eq!(waiting.await.expect("room").bytes(), 3 * MIB);
        drop(held);
    });
}

/// The bodies of one caller leave room for those of others, and for small ones.
#[test]
fn shared_fairly() {
    run(async {
        let budget = Budget::new(8 * MIB, &Bound::new(8 * MIB));
        let mut held = Vec::new();
        while let Ok(charge) = take(&budget, workspace("a"), MIB).await {
            held.push(charge);
        }
        assert_eq!(held.len(), 7);
        let small = take(&budget, workspace("a"), SMALL_BYTES).await;
        let other = take(&budget, workspace("b"), MIB - SMALL_BYTES).await;
        assert!(small.is_ok() && other.is_ok());
        // When memory is released, the caller that uses least is first.
        let late = wait(&budget, workspace("a"), MIB);
        let other = wait(&budget, workspace("c"), MIB);
        held.truncate(5);
        assert!(other.now_or_never().expect("it is first").is_ok());
        drop(late);
    });
}

/// A body that is the only one may be longer than the budget.
#[test]
fn single_body() {
    run(async {
        let budget = Budget::new(2 * MIB, &Bound::new(5 * MIB));
        let single = take(&budget, workspace("a"), 5 * MIB).await.expect("room");
        assert!(take(&budget, workspace("a"), 1).await.is_err());
        drop(single);
        assert!(take(&budget, workspace("a"), 6 * MIB).await.is_err());
    });
}

/// Two budgets have less together than each of them by itself; each keeps what the other cannot take.
#[test]
fn bound_of_both() {
    run(async {
        let bound = Bound::new(8 * MIB);
        let (clients, peers) = (Budget::new(6 * MIB, &bound), Budget::new(4 * MIB, &bound));
        let mut held = Vec::new();
        for name in ["a", "b", "c"] {
            held.push(
                take(&clients, workspace(name), 2 * MIB)
                    .await
                    .expect("room"),
            );
        }
        let peer = take(&peers, workspace("a"), 2 * MIB).await.expect("room");
        assert!(take(&peers, workspace("b"), 1).await.is_err());
        let waiting = wait(&peers, workspace("b"), 2 * MIB);
        held.pop();
        let granted = waiting
            .now_or_never()
            .expect("what others release is theirs");
        assert_eq!(granted.expect("room").bytes(), 2 * MIB);
        drop((held, peer));
        assert!(take(&peers, workspace("b"), 8 * MIB).await.is_ok());
    });
}

/// A body that is the only one of its budget has no more than the other budget leaves.
#[test]
fn single_beside_others() {
    run(async {
        let bound = Bound::new(8 * MIB);
        let (clients, peers) = (Budget::new(6 * MIB, &bound), Budget::new(4 * MIB, &bound));
        let single = take(&clients, workspace("a"), 7 * MIB).await.expect("room");
        assert!(take(&peers, workspace("a"), 5 * MIB).await.is_err());
        drop(single);
        assert!(take(&peers, workspace("a"), 5 * MIB).await.is_ok());
    });
}

/// Bodies that wait for each other's memory are refused one by one, the last one first.
#[test]
fn growth_ends() {
    run(async {
        let budget = Budget::new(8 * MIB, &Bound::new(8 * MIB));
        let mut charges = Vec::new();
        for name in ["a", "b", "c", "d"] {
            charges.push(take(&budget, workspace(name), 2 * MIB).await.expect("room"));
        }
        let growing = charges.into_iter().map(|mut charge| async move {
            let grown = charge.grow(2 * MIB, BRIEF).await;
            grown.is_ok().then_some(charge)
        });
        let ends = futures::future::join_all(growing).await;
        let sizes: Vec<_> = ends
            .iter()
            .map(|end| end.as_ref().map(Charge::bytes))
            .collect();
        assert_eq!(sizes, [Some(4 * MIB), Some(4 * MIB), None, None]);
    });
}

/// A body that stops waiting leaves nothing behind.
#[test]
fn wait_is_cancelled() {
    run(async {
        let budget = Budget::new(MIB, &Bound::new(MIB));
        let held = take(&budget, workspace("a"), MIB).await.expect("room");
        drop(wait(&budget, workspace("b"), MIB));
        assert_eq!(budget.sample().waiting, 0);
        drop(held);
        assert_eq!(budget.sample().held, 0);
    });
}

/// A long body that waits holds up longer ones, but no small ones.
#[test]
fn small_ones_pass() {
    run(async {
        let budget = Budget::new(8 * MIB, &Bound::new(8 * MIB));
        let held = take(&budget, workspace("a"), 4 * MIB).await.expect("room");
        let other = take(&budget, workspace("b"), 3 * MIB).await.expect("room");
        let waiting = wait(&budget, workspace("c"), 2 * MIB);
        assert!(take(&budget, workspace("d"), MIB).await.is_err());
        assert!(take(&budget, workspace("d"), SMALL_BYTES).await.is_ok());
        drop(waiting);
        drop((held, other));
    });
}
