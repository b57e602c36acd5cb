//! What is doubted, for how long, and what settles it.

use std::rc::Rc;
use std::time::Duration;

use sailtrack_units::Moment;

use super::{DOUBT_TIME, Doubt, MOST_DOUBTED};
use crate::contexts::Context;
use crate::contexts::tests::contexts_of;
use crate::key::UpstreamKey;

const BEGAN: Moment = Moment::since_boot(Duration::from_secs(100));

fn upstream(id: &str) -> UpstreamKey {
    UpstreamKey::new(id, None).expect("a sound id")
}

/// Returns what ran when an upstream ended that is doubted and has these without an answer.
fn joined(doubt: &Doubt, running: &[Rc<Context>]) -> Vec<Rc<Context>> {
    let mut ran = running.to_vec();
    doubt.join_to(&mut ran);
    ran
}

#[test]
fn losses_add_up() {
    let life = upstream("i-1");
    let ran = contexts_of(&life, 3);
    let mut doubt = Doubt::new(life, BEGAN);
    doubt.add(&ran[..2], BEGAN);
    doubt.add(&ran[1..], BEGAN);
    let known = joined(&doubt, &[]);
    let is_same = |(one, other): (&Rc<Context>, &Rc<Context>)| Rc::ptr_eq(one, other);
    assert!(known.len() == 3 && known.iter().zip(&ran).all(is_same));
}

/// An upstream may run more than are doubted; what has no answer when it ends is named whole.
#[test]
fn joined_whole() {
    let life = upstream("i-1");
    let ran = contexts_of(&life, MOST_DOUBTED + 100);
    let mut doubt = Doubt::new(life, BEGAN);
    doubt.add(&ran[..2], BEGAN);
    assert_eq!(joined(&doubt, &ran[1..]).len(), ran.len());
}

#[test]
fn bounded_number() {
    let life = upstream("i-1");
    let ran = contexts_of(&life, MOST_DOUBTED + 1);
    let mut doubt = Doubt::new(life, BEGAN);
    doubt.add(&ran, BEGAN);
    assert_eq!(joined(&doubt, &[]).len(), MOST_DOUBTED);
}

#[test]
fn last_loss_counts() {
    let mut doubt = Doubt::new(upstream("i-1"), BEGAN);
    let later = BEGAN + DOUBT_TIME / 2;
    doubt.add(&[], later);
    assert!(doubt.is_fresh(BEGAN + DOUBT_TIME));
    assert!(!doubt.is_fresh(later + DOUBT_TIME));
}

/// An answer to what was sent before the loss may have been under way when the upstream ended.
#[test]
fn settled_by_later_answers() {
    let doubt = Doubt::new(upstream("i-1"), BEGAN);
    assert!(!doubt.is_settled_by(BEGAN));
    assert!(doubt.is_settled_by(BEGAN + Duration::from_millis(1)));
    assert!(doubt.is_about(&upstream("i-1")));
    assert!(!doubt.is_about(&upstream("i-2")));
}
