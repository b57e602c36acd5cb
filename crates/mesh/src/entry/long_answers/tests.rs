use super::*;

fn route(has_long_answers: bool) -> Route {
    let name = "r-1".parse().expect("a name");
    let route = Route::builder(name, "/r/");
    route.long_answers(has_long_answers).build()
}

/// Before the first answer the route decides, then what was seen.
#[test]
fn by_route_then_by_answers() {
    let kinds = LongAnswers::default();
    let (download, read) = (route(true), route(false));
    assert!(kinds.are_expected(&download));
    assert!(!kinds.are_expected(&read));
    kinds.record(&download.name, false);
    assert!(!kinds.are_expected(&download));
    kinds.record(&download.name, true);
    assert!(kinds.are_expected(&download));
    for _ in 0..SHORT_ANSWERS {
        assert!(kinds.are_expected(&read));
        kinds.record(&read.name, false);
    }
    assert!(!kinds.are_expected(&download));
}
