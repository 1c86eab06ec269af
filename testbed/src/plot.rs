//! Plots results of runs as SVG line charts over the seconds of the run.

use {
    crate::run::result::{Report, Second},
    plotters::prelude::*,
    std::{io, path::Path},
};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 360);

/// Margin around a plot, and space for the labels of its axes, in pixels.
const MARGIN: u32 = 12;
const LABELS: u32 = 48;

/// Top of the vertical axis over the highest value.
const HEADROOM: f64 = 1.1;

/// One line of a chart with its legend.
struct Line<'a> {
    name: &'a str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Plots the numbers of whole, refused and failed requests in each second.
pub fn ends(report: &Report, to: &Path) -> io::Result<()> {
    let line = |name, color, value: fn(&Second) -> u64| Line {
        name,
        color,
        points: points(report, |second| value(second) as f64),
    };
    let lines = [
        line("whole", RGBColor(40, 120, 70), |second| second.whole),
        line("refused", RGBColor(200, 140, 20), |second| second.refused),
        line("failed", RGBColor(180, 40, 40), |second| second.failed),
    ];
    draw(to, &title(report, "requests a second"), &lines).map_err(io::Error::other)
}

/// Plots the 95th percentile of the time to the first token in each second, with one line for each
/// result.
pub fn first_token(reports: &[(String, Report)], to: &Path) -> io::Result<()> {
    let colors = [
        RGBColor(40, 80, 160),
        RGBColor(200, 90, 30),
        RGBColor(60, 130, 60),
    ];
    let lines: Vec<_> = reports
        .iter()
        .zip(colors.iter().cycle())
        .map(|((name, report), color)| Line {
            name,
            color: *color,
            points: points(report, |second| second.first_p95),
        })
        .collect();
    let title = "first token of streams, ms at 95 in 100, by second";
    draw(to, title, &lines).map_err(io::Error::other)
}

fn title(report: &Report, what: &str) -> String {
    let faults = report.faults.join(", ");
    format!(
        "{}, seed {}: {what} {faults}",
        report.deployment, report.seed
    )
}

fn points(report: &Report, value: impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    let seconds = report.timeline.iter().enumerate();
    seconds
        .map(|(at, second)| (at as f64, value(second)))
        .collect()
}

fn draw(to: &Path, title: &str, lines: &[Line]) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let all = || lines.iter().flat_map(|line| &line.points);
    let right = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = all().map(|(_, y)| *y).fold(1.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(to, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    area.present()
}
