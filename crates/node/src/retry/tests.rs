//! A budget bounds retries however calls are spread.

use sailtrack_units::{Allowance, Ratio};

use crate::retry::{Budget, Limiter};

#[test]
fn parallel_calls_share() {
    let budget = Budget::new(Allowance(5));
    let loans: Vec<_> = (0..10).map(|_| budget.lend()).collect();
    let lent: u32 = loans.iter().map(|loan| loan.amount().0).sum();
    assert_eq!(lent, 5);
    assert!(!budget.spend());
    for loan in loans {
        loan.give_back(Allowance(0));
    }
    assert_eq!(budget.used(), Allowance(0));
}

#[test]
fn lost_answer_counts() {
    let budget = Budget::new(Allowance(4));
    let loan = budget.lend();
    let lent = loan.amount();
    loan.give_back(lent);
    assert_eq!(budget.used(), Allowance(2));
    drop(budget.lend());
    assert_eq!(budget.used(), Allowance(3));
}

#[test]
fn ratio_runs_out() {
    let retry_limiter = Limiter::new(Ratio(0.1));
    let service = "ledger".parse().expect("a name");
    let taken = (0..100).filter(|_| retry_limiter.take(&service)).count();
    assert_eq!(taken, 20);
    for _ in 0..11 {
        retry_limiter.note_success(&service);
    }
    assert!(retry_limiter.take(&service));
    assert!(!retry_limiter.take(&service));
}
