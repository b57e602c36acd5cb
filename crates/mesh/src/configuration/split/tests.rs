//! Weighted split of requests.

use crate::configuration::route::Route;
use crate::configuration::split::Splitter;

fn route(weights: &[(&str, u32)]) -> Route {
    let name = "r".parse().expect("a name");
    let builder = Route::builder(name, "/r/");
    let builder = weights.iter().fold(builder, |builder, (service, weight)| {
        builder.share(service.parse().expect("a name"), *weight)
    });
    builder.build()
}

fn count(splitter: &Splitter, route: &Route, service: &str, of: usize) -> usize {
    let chosen = (0..of).filter_map(|_| splitter.next(route));
    chosen.filter(|chosen| chosen.as_str() == service).count()
}

#[test]
fn by_weight() {
    let splitter = Splitter::default();
    let route = route(&[("one", 90), ("two", 10), ("none", 0)]);
    let two = count(&splitter, &route, "two", 200);
    assert!((19..=21).contains(&two), "{two} of 200");
    assert_eq!(count(&splitter, &route, "none", 200), 0);
}

#[test]
fn changed_weights() {
    let splitter = Splitter::default();
    count(&splitter, &route(&[("one", 1), ("two", 99)]), "one", 500);
    let changed = route(&[("one", 50), ("two", 50)]);
    let one = count(&splitter, &changed, "one", 100);
    assert!((49..=51).contains(&one), "{one} of 100");
}

#[test]
fn only_one() {
    let splitter = Splitter::default();
    assert_eq!(count(&splitter, &route(&[("one", 0)]), "one", 3), 3);
}
