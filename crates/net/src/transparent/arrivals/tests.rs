use super::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn each_byte_has_its_moment() {
    let began = Instant::now();
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.last_taken(0), None);
    arrivals.note(10, 0, began);
    arrivals.note(10, 10, began + millis(200));
    arrivals.note(10, 20, began + millis(400));
    assert_eq!(arrivals.last_taken(20), Some(began));
    assert_eq!(arrivals.last_taken(19), Some(began + millis(200)));
    assert_eq!(arrivals.last_taken(0), Some(began + millis(400)));
}

#[test]
fn taken_bytes_are_forgotten() {
    let began = Instant::now();
    let mut arrivals = Arrivals::default();
    for round in 0..1000 {
        arrivals.note(10, 0, began + millis(round * 100));
        assert_eq!(arrivals.marks.len(), 1);
    }
    for round in 0..1000 {
        arrivals.note(10, 10, began + millis(200_000 + round));
        assert!(arrivals.marks.len() < 50);
    }
}
