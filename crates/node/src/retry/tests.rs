//! Retry budgets hold for parallel calls and lost answers, and the retry ratio runs out.

use sailtrack_units::{Allowance, Rank, Ratio, ServiceName};

use crate::retry::{Budget, Limiter};

#[test]
fn parallel_calls_share() {
    let budget = Budget::new(Allowance(5));
    let reservations: Vec<_> = (0..10).map(|_| budget.reserve()).collect();
    let reserved: u32 = reservations
        .iter()
        .map(|reservation| reservation.amount().0)
        .sum();
    assert_eq!(reserved, 5);
    assert!(!budget.spend());
    for reservation in reservations {
        reservation.refund(Allowance(0));
    }
    assert_eq!(budget.used(), Allowance(0));
}

#[test]
fn lost_answer_counts() {
    let budget = Budget::new(Allowance(4));
    let reservation = budget.reserve();
    let reserved = reservation.amount();
    reservation.refund(reserved);
    assert_eq!(budget.used(), Allowance(2));
    drop(budget.reserve());
    assert_eq!(budget.used(), Allowance(3));
}

/// Acquires retries until none are left.
fn drain(retry_limiter: &Limiter, service: &ServiceName, rank: Rank) -> usize {
    (0..100)
        .take_while(|_| retry_limiter.try_acquire(service, rank))
        .count()
}

#[test]
fn ratio_runs_out() {
    let retry_limiter = Limiter::new(Ratio(0.1));
    let service = "ledger".parse().expect("a name");
    assert_eq!(drain(&retry_limiter, &service, Rank::HIGHEST), 20);
    for _ in 0..11 {
        retry_limiter.record_success(&service);
    }
    assert!(retry_limiter.try_acquire(&service, Rank::HIGHEST));
    assert!(!retry_limiter.try_acquire(&service, Rank::HIGHEST));
}

/// Retries of many unimportant calls leave some to the important ones.
#[test]
fn important_ones_first() {
    let retry_limiter = Limiter::new(Ratio(0.1));
    let service = "ledger".parse().expect("a name");
    let ranks = [0, 130, 255].map(Rank::from_index);
    let taken = ranks.map(|rank| drain(&retry_limiter, &service, rank));
    assert_eq!(taken, [10, 5, 5]);
}
