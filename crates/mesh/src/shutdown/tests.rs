use super::*;

fn at(seconds: u64) -> Moment {
    Moment::since_boot(Duration::from_secs(seconds))
}

/// Without a stop a request has all of its time.
#[test]
fn no_stop() {
    let shutdown = Shutdown::default();
    assert_eq!(shutdown.answer_deadline(at(9)), at(9));
    assert_eq!(shutdown.work_deadline(at(9)), at(9));
    assert!(!shutdown.is_too_late(at(9)));
}

/// In a stop work ends before answers do, answers end before the process, and a shorter deadline
/// stays.
#[test]
fn bounded_by_stop() {
    let shutdown = Shutdown::default();
    shutdown.begin(at(9));
    let (work, answer) = (
        shutdown.work_deadline(at(20)),
        shutdown.answer_deadline(at(20)),
    );
    assert!(work < answer && answer < at(9));
    assert_eq!(shutdown.answer_deadline(at(5)), at(5));
    assert!(!shutdown.is_too_late(at(8)));
    assert!(shutdown.is_too_late(work));
}
