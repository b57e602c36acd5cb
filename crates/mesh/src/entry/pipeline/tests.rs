use super::*;

/// A pipeline in which reads run.
const READS: State = State {
    count: 2,
    is_exclusive: false,
    end: End::Open,
    pending_response_bytes: 0,
    is_node_full: false,
};

#[test]
fn empty_line() {
    let empty = State::default();
    assert!(empty.has_place(true) && empty.has_place(false));
    let full = State {
        is_node_full: true,
        end: End::Soon,
        ..empty
    };
    assert!(
        full.has_place(true) && full.has_place(false),
        "one at a time"
    );
    let closed = State {
        end: End::Now,
        ..empty
    };
    assert!(!closed.has_place(true) && !closed.has_place(false));
}

#[test]
fn behind_others() {
    assert!(READS.has_place(true));
    assert!(!READS.has_place(false), "it may run once");
    let exclusive = State {
        count: 1,
        is_exclusive: true,
        ..READS
    };
    assert!(!exclusive.has_place(true));
}

#[test]
fn bounds() {
    let last = State {
        count: MOST_BEGUN - 1,
        pending_response_bytes: MOST_READY_BYTES - 1,
        ..READS
    };
    assert!(last.has_place(true));
    let beyond = [
        State {
            count: MOST_BEGUN,
            ..READS
        },
        State {
            pending_response_bytes: MOST_READY_BYTES,
            ..READS
        },
        State {
            is_node_full: true,
            ..READS
        },
        State {
            end: End::Soon,
            ..READS
        },
        State {
            end: End::Now,
            ..READS
        },
    ];
    for state in beyond {
        assert!(!state.has_place(true), "{state:?}");
    }
}
