//! Retry budgets hold for parallel calls and lost answers, and the retry ratio runs out.

use sailtrack_units::{Allowance, Ratio};

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

#[test]
fn ratio_runs_out() {
    let retry_limiter = Limiter::new(Ratio(0.1));
    let service = "ledger".parse().expect("a name");
    let taken = (0..100)
        .filter(|_| retry_limiter.try_acquire(&service))
        .count();
    assert_eq!(taken, 20);
    for _ in 0..11 {
        retry_limiter.record_success(&service);
    }
    assert!(retry_limiter.try_acquire(&service));
    assert!(!retry_limiter.try_acquire(&service));
}
