//! Tests of the timeline of one request across the logs of several hosts.

use greengagecleat::trace::{Collector, Line, Timeline};

fn log(second: f64, fields: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-01-02T03:04:{second:09.6}Z\",\"level\":\"INFO\",{fields},\"target\":\"t\"}}"
    )
}

fn collect(lines: &[(&str, String)]) -> Option<Timeline> {
    let mut collector = Collector::new("r1");
    for (file, line) in lines {
        collector.push(line, file);
    }
    collector.finish()
}

fn forwarded() -> Vec<(&'static str, String)> {
    vec![
        (
            "s1",
            log(5.06, r#""event":"taken","request":"r1","from":"n1""#),
        ),
        (
            "n1",
            log(5.0, r#""event":"forwarded","request":"r1","host":"s1""#),
        ),
        (
            "s1",
            log(
                6.0,
                r#""event":"answered","request":"r1","outcome":"whole""#,
            ),
        ),
        (
            "n1",
            log(
                6.06,
                r#""event":"answered","request":"r1","outcome":"whole""#,
            ),
        ),
        ("n1", log(5.5, r#""event":"answered","request":"r2""#)),
    ]
}

#[test]
fn lines_of_all_hosts_are_ordered_and_pauses_are_shown() {
    let timeline = collect(&forwarded()).unwrap();
    let order: Vec<_> = timeline
        .lines
        .iter()
        .map(|line| (line.source.as_str(), line.event.as_str()))
        .collect();
    let expected = [
        ("n1", "forwarded"),
        ("s1", "taken"),
        ("s1", "answered"),
        ("n1", "answered"),
    ];
    assert_eq!(order, expected);
    assert_eq!(timeline.gaps, Vec::<String>::new());
    let text = timeline.to_string();
    assert!(text.contains("… 940 ms"), "{text}");
    assert!(
        text.contains("+1.060 s   n1  answered outcome=whole"),
        "{text}"
    );
}

#[test]
fn request_without_log_lines_has_no_timeline() {
    assert_eq!(collect(&forwarded()[4..]), None);
}

#[test]
fn missing_logs_and_lines_are_reported() {
    let mut lines = forwarded();
    lines.retain(|(file, _)| *file == "n1");
    let timeline = collect(&lines).unwrap();
    assert_eq!(timeline.gaps.len(), 1);
    assert!(timeline.gaps[0].contains("its log is missing"));
    lines.push(("s1", log(5.0, r#""event":"configured","version":3"#)));
    lines.retain(|(_, line)| !line.contains("answered"));
    let timeline = collect(&lines).unwrap();
    assert!(timeline.gaps[0].contains("logged nothing about it"));
    assert!(timeline.gaps[1].contains("n1 logged no end"));
}

#[test]
fn state_changes_of_involved_hosts_are_shown() {
    let mut lines = forwarded();
    let change = |second, upstream: &str| {
        let fields = format!(r#""event":"upstream","upstream":"{upstream}","state":"gone""#);
        log(second, &fields)
    };
    lines.push(("s1", change(4.0, "near")));
    lines.push(("s1", change(1.0, "long-before")));
    lines.push(("e1", change(5.2, "elsewhere")));
    let timeline = collect(&lines).unwrap();
    assert_eq!(timeline.state_changes.len(), 1);
    assert_eq!(timeline.state_changes[0].fields["upstream"], "near");
    assert!(timeline.to_string().contains("-1.000 s ~ s1  upstream"));
}

#[test]
fn prefix_of_a_line_overrides_the_file_name() {
    let text = log(5.0, r#""event":"start""#);
    let line = Line::parse(&format!("12.5 n7 {text}"), "all").unwrap();
    assert_eq!(line.source, "n7");
    assert_eq!(Line::parse(&text, "all").unwrap().source, "all");
}

#[test]
fn lines_that_are_not_log_lines_are_counted() {
    let mut lines = forwarded();
    for text in [
        "no json",
        "{\"timestamp\":\"never\",\"event\":\"e\"}",
        "{",
        "",
    ] {
        lines.push(("n1", text.to_owned()));
    }
    let timeline = collect(&lines).unwrap();
    assert_eq!(timeline.unparsed, 3, "an empty line is not counted");
}
