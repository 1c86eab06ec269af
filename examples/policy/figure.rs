//! Statistics of runs and their table.

/// The quantile of the values at `share`, from 0 to 1. Sorts the values.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share).round() as usize]
}

/// The mean of the values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Prints the rows as a table with columns as wide as their content.
pub(crate) fn print(head: &[&str], rows: &[(String, Vec<f64>)]) {
    println!("| {} |", head.join(" | "));
    println!("|{}", " --- |".repeat(head.len()));
    for (name, values) in rows {
        let cells: Vec<_> = values.iter().map(|value| format!("{value:.3}")).collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
}

/// The mean of each column over the runs.
pub(crate) fn average(runs: &[Vec<f64>]) -> Vec<f64> {
    let columns = runs[0].len();
    (0..columns)
        .map(|column| mean(&runs.iter().map(|run| run[column]).collect::<Vec<_>>()))
        .collect()
}
