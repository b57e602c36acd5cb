//! Which requests are crash suspects, for how long, and what refutes a
//! suspicion.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use super::{MAX_SUSPECTS, SUSPICION_DURATION, Suspicion};
use crate::contexts::Context;
use crate::contexts::tests::contexts_of;
use crate::key::UpstreamKey;

const BEGAN: Moment = Moment::since_boot(Duration::from_secs(100));

fn upstream(id: &str) -> UpstreamKey {
    UpstreamKey::new(id, None).expect("a valid id")
}

/// Returns the suspects together with the requests in flight when the upstream crashed.
fn joined(suspicion: &Suspicion, running: &[Rc<Context>]) -> Vec<Rc<Context>> {
    let mut suspects = running.to_vec();
    suspicion.add_to(&mut suspects);
    suspects
}

#[test]
fn losses_add_up() {
    let incarnation = upstream("i-1");
    let suspects = contexts_of(&incarnation, 3);
    let mut suspicion = Suspicion::new(incarnation, BEGAN);
    suspicion.add(&suspects[..2], BEGAN);
    suspicion.add(&suspects[1..], BEGAN);
    let known = joined(&suspicion, &[]);
    let is_same = |(one, other): (&Rc<Context>, &Rc<Context>)| Rc::ptr_eq(one, other);
    assert!(known.len() == 3 && known.iter().zip(&suspects).all(is_same));
}

/// The number of suspects is bounded, but requests that are in flight at the crash are all
/// included.
#[test]
fn joined_whole() {
    let incarnation = upstream("i-1");
    let suspects = contexts_of(&incarnation, MAX_SUSPECTS + 100);
    let mut suspicion = Suspicion::new(incarnation, BEGAN);
    suspicion.add(&suspects[..2], BEGAN);
    assert_eq!(joined(&suspicion, &suspects[1..]).len(), suspects.len());
}

#[test]
fn bounded_number() {
    let incarnation = upstream("i-1");
    let suspects = contexts_of(&incarnation, MAX_SUSPECTS + 1);
    let mut suspicion = Suspicion::new(incarnation, BEGAN);
    suspicion.add(&suspects, BEGAN);
    assert_eq!(joined(&suspicion, &[]).len(), MAX_SUSPECTS);
}

#[test]
fn last_loss_counts() {
    let mut suspicion = Suspicion::new(upstream("i-1"), BEGAN);
    let later = BEGAN + SUSPICION_DURATION / 2;
    suspicion.add(&[], later);
    assert!(suspicion.is_current(BEGAN + SUSPICION_DURATION));
    assert!(!suspicion.is_current(later + SUSPICION_DURATION));
}

/// A response to a request that was sent before the loss may have been on its way when the upstream
/// ended.
#[test]
fn settled_by_later_answers() {
    let suspicion = Suspicion::new(upstream("i-1"), BEGAN);
    assert!(!suspicion.is_refuted_by(BEGAN));
    assert!(suspicion.is_refuted_by(BEGAN + Duration::from_millis(1)));
    assert!(suspicion.is_about(&upstream("i-1")));
    assert!(!suspicion.is_about(&upstream("i-2")));
}
