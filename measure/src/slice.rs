//! Statistics of small samples.

/// Returns a quantile of `values`, 0 if there is none.
pub fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1) as f64;
    let index = (last * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Returns the mean of `values`, 0 if there is none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the largest of `values` over their mean.
pub fn imbalance(values: &[f64]) -> f64 {
    let busiest = values.iter().copied().fold(0.0, f64::max);
    match mean(values) {
        0.0 => 0.0,
        mean => busiest / mean,
    }
}
