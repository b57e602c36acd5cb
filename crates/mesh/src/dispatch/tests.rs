//! Which failures are worth another try.

use sailtrack_admission::Pressure;
use sailtrack_wire::Reason;

use crate::dispatch::is_hopeless;
use crate::work::Returned;

fn lost(pressure: f64) -> Returned {
    Returned {
        path_pressure: Pressure(pressure),
        ..Returned::unknown(Reason::Connection)
    }
}

#[test]
fn lost_under_load() {
    assert!(!is_hopeless(&lost(0.4)));
    assert!(!is_hopeless(&lost(1.2)), "requests wait, no more");
    assert!(is_hopeless(&lost(2.0)), "requests are refused");
}

#[test]
fn failed_below() {
    let failed = Returned {
        failed_below: true,
        ..lost(0.4)
    };
    assert!(is_hopeless(&failed), "it was repeated there");
}
