use super::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn each_byte_has_its_moment() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.last_consumed(0), None);
    arrivals.record(10, 0, start);
    arrivals.record(10, 10, start + millis(200));
    arrivals.record(10, 20, start + millis(400));
    assert_eq!(arrivals.last_consumed(20), Some(start));
    assert_eq!(arrivals.last_consumed(19), Some(start + millis(200)));
    assert_eq!(arrivals.last_consumed(0), Some(start + millis(400)));
}

#[test]
fn taken_bytes_are_forgotten() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for round in 0..1000 {
        arrivals.record(10, 0, start + millis(round * 100));
        assert_eq!(arrivals.marks.len(), 1);
    }
    for round in 0..1000 {
        arrivals.record(10, 10, start + millis(200_000 + round));
        assert!(arrivals.marks.len() < 50);
    }
}
