//! The burn report as one self-contained HTML page.

use plotters::prelude::*;

use crate::burn::{self, Series, report};

/// Width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (760, 260);

/// Least upper end of the rate axis, before the headroom is added.
const MIN_TOP_RATE: f64 = 2.0;

/// Upper end of the rate axis over the largest rate.
const HEADROOM_FACTOR: f64 = 1.1;

/// Error of drawing a plot.
#[derive(Debug, thiserror::Error)]
#[error("a plot can't be drawn: {0}")]
pub struct Error(String);

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:50rem;margin:2rem auto;\
padding:0 1rem;color:#1d2733}table{border-collapse:collapse;margin:.5rem 0 1rem}\
td,th{padding:.25rem .8rem;border-bottom:1px solid #d5dce4;text-align:right}\
td:first-child,th:first-child{text-align:left}.firing{background:#fbe3e0;font-weight:600}\
svg{max-width:100%;height:auto}h2{margin-top:2.5rem}.note{color:#5a6878}";

/// Renders a report as HTML. `written` is the time of the report as text.
///
/// # Errors
/// Returns [`Error`] if a plot can't be drawn.
pub fn render(report: &report::Report, written: &str) -> Result<String, Error> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style>\
         <h1>Service-level burn</h1><p class=\"note\">Written {}. A burn rate of 1 uses up the \
         allowed bad requests exactly over the objective's period of 30 days. A rule fires if both \
         of its windows burn faster than its threshold. The red line in the plots is a rate of 1.</p>",
        escape(written)
    );
    if report.services.is_empty() {
        page.push_str("<p>No request was counted yet.</p>");
    }
    for service in &report.services {
        page.push_str(&section(service)?);
    }
    page.push_str(&coverage(report));
    Ok(page)
}

/// Renders the rules and plots of one service.
fn section(service: &report::Service) -> Result<String, Error> {
    let report::Service {
        service: name,
        slo_ms,
        slo_ppm,
        ..
    } = service;
    let mut text = format!(
        "<h2>{}</h2><p>Objective: {}% of requests answered within {slo_ms} ms.</p>\
         <table><tr><th>Rule</th><th>Threshold</th><th>Short window</th><th>Bad / all</th>\
         <th>Long window</th><th>Bad / all</th></tr>",
        escape(name.as_str()),
        f64::from(*slo_ppm) / report::PPM_PER_PERCENT
    );
    for rule in &service.rules {
        let (class, state) = match rule.firing {
            true => (" class=\"firing\"", "burning"),
            false => ("", "ok"),
        };
        let windows = [&rule.short, &rule.long].map(|window| {
            let burn::Counts { good, total } = window.counts;
            let length = report::format_duration(window.window_ms);
            let bad = total - good.min(total);
            format!(
                "<td>{length}: {:.2}</td><td>{bad} / {total}</td>",
                window.rate
            )
        });
        text.push_str(&format!(
            "<tr{class}><td>{state}</td><td>{}</td>{}</tr>",
            rule.threshold,
            windows.concat()
        ));
    }
    text.push_str("</table>");
    let hour = Plot {
        title: "Burn rate, last hour",
        unit: "minutes ago",
        scale: burn::MINUTE_MS as f64,
        span: 60.0,
    };
    let days = Plot {
        title: "Burn rate, last 3 days",
        unit: "hours ago",
        scale: burn::HOUR_MS as f64,
        span: 72.0,
    };
    text.push_str(&hour.draw(&service.fine, *slo_ppm)?);
    text.push_str(&days.draw(&service.coarse, *slo_ppm)?);
    Ok(text)
}

/// Renders the list of daemons: the period that each covers, and the errors of
/// those that did not answer.
fn coverage(report: &report::Report) -> String {
    let mut text = "<h2>Daemons</h2><table><tr><th>Host</th><th>Counts since</th></tr>".to_owned();
    for (host, covered) in &report.covered {
        let host = escape(host.as_str());
        let minutes = covered / burn::MINUTE_MS;
        text.push_str(&format!("<tr><td>{host}</td><td>{minutes} min</td></tr>"));
    }
    for silent in &report.silent {
        let host = escape(silent.host.as_str());
        let why = escape(&silent.why);
        text.push_str(&format!(
            "<tr class=\"firing\"><td>{host}</td><td>no answer: {why}</td></tr>"
        ));
    }
    text.push_str("</table></html>\n");
    text
}

/// Labels and time axis of a plot.
struct Plot {
    title: &'static str,
    unit: &'static str,
    /// Milliseconds in one unit of the time axis.
    scale: f64,
    /// Length of the time axis, in its unit.
    span: f64,
}

impl Plot {
    /// Returns the burn rates of a series as SVG.
    fn draw(&self, series: &Series, slo_ppm: u32) -> Result<String, Error> {
        let buckets = (0_u32..).zip(&series.buckets);
        let buckets = buckets.filter(|(_, counts)| counts.total > 0);
        let points = buckets.flat_map(|(age, counts)| {
            let at = |age: u32| (f64::from(age) * series.width as f64 / self.scale).min(self.span);
            let rate = report::rate(*counts, slo_ppm);
            // One point at each end of the bucket, so that a single bucket is visible.
            [(-at(age), rate), (-at(age + 1), rate)]
        });
        let points: Vec<_> = points.collect();
        let top = points
            .iter()
            .map(|(_, rate)| *rate)
            .fold(MIN_TOP_RATE, f64::max)
            * HEADROOM_FACTOR;
        let mut svg = String::new();
        self.draw_on(&mut svg, &points, top)
            .map_err(|error| Error(error.to_string()))?;
        Ok(svg)
    }

    /// Draws the points, with the rate axis up to `top`, and the line at rate 1.
    fn draw_on(
        &self,
        svg: &mut String,
        points: &[(f64, f64)],
        top: f64,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(-self.span..0.0, 0.0..top)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_label_formatter(&|age| format!("{:.0}", age.abs()))
            .x_desc(self.unit)
            .draw()?;
        let line = RGBColor(26, 95, 180);
        chart.draw_series(LineSeries::new(
            points.iter().copied(),
            line.stroke_width(2),
        ))?;
        let limit = [(-self.span, 1.0), (0.0, 1.0)];
        chart.draw_series(LineSeries::new(
            limit,
            RGBColor(192, 57, 43).stroke_width(1),
        ))?;
        drop(chart);
        area.present()?;
        Ok(())
    }
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}
