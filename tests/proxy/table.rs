use {
    crate::common::{customer, route, rows},
    greengagecleat::{
        key::Digest,
        proxy::table::{Denial, Kind, Row, Table, Unreadable},
    },
    std::collections::BTreeSet,
};

fn homes(regions: &[&str]) -> BTreeSet<greengagecleat::name::Region> {
    regions.iter().map(|region| (*region).into()).collect()
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut rows = rows(1);
    let deeper = route("deeper", "/digest/deep/", Kind::Idempotent, "records");
    rows.routes.push(deeper);
    let table = Table::new(rows);
    let name = |path| {
        table
            .route("a.example", path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(name("/digest/1"), Some("digest"));
    assert_eq!(name("/digest/deep/1"), Some("deeper"));
    assert_eq!(name("/digest"), None);
    assert!(table.route("b.example", "/digest/1").is_none());
}

#[test]
fn a_request_needs_a_known_key_unless_its_route_is_public() {
    let mut rows = rows(1);
    let mut open = route("open", "/open/", Kind::Idempotent, "records");
    open.is_public = true;
    rows.routes.push(open);
    let table = Table::new(rows);
    let denied = |path, key: Option<&[u8]>| table.resolve("a.example", path, key).err();
    assert_eq!(denied("/digest/1", Some(b"key")), None);
    assert_eq!(
        denied("/digest/1", Some(b"other")),
        Some(Denial::KeyUnknown)
    );
    assert_eq!(denied("/digest/1", None), Some(Denial::KeyUnknown));
    assert_eq!(denied("/open/1", None), None);
    assert_eq!(denied("/none/1", Some(b"key")), Some(Denial::RouteUnknown));
}

#[test]
fn home_regions_of_route_and_customer_both_apply() {
    let mut rows = rows(1);
    rows.routes[0].home_regions = homes(&["north", "south"]);
    let mut bound = customer("bound", 1.0);
    bound.home_regions = homes(&["south", "east"]);
    let mut outside = customer("outside", 1.0);
    outside.home_regions = homes(&["east"]);
    rows.customers.push((bound, vec![Digest::of(b"bound")]));
    rows.customers.push((outside, vec![Digest::of(b"outside")]));
    let table = Table::new(rows);
    let resolve = |key: &[u8]| table.resolve("a.example", "/digest/1", Some(key));
    assert_eq!(resolve(b"bound").unwrap().home_regions, homes(&["south"]));
    assert_eq!(
        resolve(b"key").unwrap().home_regions,
        homes(&["north", "south"])
    );
    assert_eq!(resolve(b"outside").err(), Some(Denial::NoHome));
}

#[test]
fn a_forwarded_request_runs_only_while_its_customer_is_known() {
    let table = Table::new(rows(1));
    assert!(
        table
            .match_forwarded(&"digest".into(), Some(&"c".into()))
            .is_some()
    );
    assert!(
        table
            .match_forwarded(&"digest".into(), Some(&"gone".into()))
            .is_none()
    );
    assert!(
        table
            .match_forwarded(&"gone".into(), Some(&"c".into()))
            .is_none()
    );
}

#[test]
fn cost_counts_tokens_or_the_default() {
    let table = Table::new(rows(1));
    let matched = table
        .resolve("a.example", "/digest/1", Some(b"key"))
        .unwrap();
    assert_eq!(matched.cost(Some((100, 20))), 120.0);
    assert_eq!(matched.cost(None), 200.0);
}

#[test]
fn suitability_counts_the_routes_and_customers_that_allow_a_region() {
    let mut rows = rows(1);
    rows.routes[0].home_regions = homes(&["north", "south"]);
    let mut bound = customer("bound", 1.0);
    bound.home_regions = homes(&["south"]);
    rows.customers.push((bound, Vec::new()));
    let table = Table::new(rows);
    let suits = |host, region: &str| table.suitability(host, &region.into());
    assert_eq!(suits("a.example", "south"), 4);
    assert_eq!(suits("a.example", "north"), 3);
    assert_eq!(suits("a.example", "east"), 2);
    assert_eq!(suits("b.example", "south"), 2);
}

fn unreadable(row: Row) -> Unreadable {
    Unreadable {
        row,
        reason: String::new(),
    }
}

#[test]
fn a_path_whose_route_cannot_be_read_is_served_by_no_shorter_one() {
    let mut rows = rows(1);
    rows.unreadable.push(unreadable(Row::Route {
        host: "a.example".to_owned(),
        prefix: "/digest/deep/".to_owned(),
    }));
    let table = Table::new(rows);
    let denied = |path| table.resolve("a.example", path, Some(b"key")).err();
    assert_eq!(denied("/digest/deep/1"), Some(Denial::Unreadable));
    assert_eq!(denied("/digest/1"), None);
    assert_eq!(denied("/none/1"), Some(Denial::RouteUnknown));
}

#[test]
fn a_pool_that_cannot_be_read_is_left_out_of_its_routes() {
    let mut rows = rows(1);
    rows.routes[0].pools.push(("records".into(), 1));
    rows.unreadable
        .push(unreadable(Row::Pool("engines".into())));
    rows.unreadable.push(unreadable(Row::Unknown));
    let table = Table::new(rows);
    let found = table.resolve("a.example", "/digest/1", Some(b"key"));
    assert_eq!(found.unwrap().route.pools, [("records".into(), 1)]);
    let mut rows = crate::common::rows(2);
    rows.unreadable
        .push(unreadable(Row::Pool("engines".into())));
    let table = Table::new(rows);
    let denied = |path| table.resolve("a.example", path, Some(b"key")).err();
    assert_eq!(denied("/digest/1"), Some(Denial::Unreadable));
    assert_eq!(denied("/post/1"), None);
}

#[test]
fn keys_of_customers_that_cannot_be_read_are_not_unknown_and_open_nothing() {
    let mut rows = rows(1);
    rows.customers.clear();
    let withheld = Row::Customer(vec![Digest::of(b"withheld")]);
    rows.unreadable.push(unreadable(withheld));
    let table = Table::new(rows);
    let denied = |key: &[u8]| table.resolve("a.example", "/digest/1", Some(key)).err();
    assert_eq!(denied(b"withheld"), Some(Denial::Unreadable));
    assert_eq!(denied(b"other"), Some(Denial::KeyUnknown));
}
