//! Bar charts of an experiment's results, as SVG.

use std::fmt::Write;

use crate::report::{METRICS, Report};

/// Metrics that are plotted, by their column heading in the table.
const PLOTTED_METRICS: [&str; 4] = ["on time %", "preemptions", "stall s", "gap p99 ms"];

const PANEL_WIDTH: f64 = 260.0;
const PANEL_HEIGHT: f64 = 220.0;
const LABEL_HEIGHT: f64 = 120.0;
const MARGIN: f64 = 30.0;

/// Renders one panel for each plotted metric, with a bar for each arm's mean and a dot for each
/// seed.
pub fn render_svg(report: &Report) -> String {
    let width = PLOTTED_METRICS.len() as f64 * (PANEL_WIDTH + MARGIN) + MARGIN;
    let height = PANEL_HEIGHT + LABEL_HEIGHT + 2.0 * MARGIN;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    let _ = writeln!(
        svg,
        "<text x=\"{MARGIN}\" y=\"16\" font-weight=\"bold\">{}, load {}%</text>",
        escape_xml(&report.spec.name),
        (report.spec.load_share * 100.0).round()
    );
    for (index, name) in PLOTTED_METRICS.iter().enumerate() {
        let left = MARGIN + index as f64 * (PANEL_WIDTH + MARGIN);
        write_panel(&mut svg, report, name, left);
    }
    svg.push_str("</svg>\n");
    svg
}

fn write_panel(svg: &mut String, report: &Report, name: &str, left: f64) {
    let Some(metric) = METRICS.iter().find(|metric| metric.heading == name) else {
        return;
    };
    let arms = &report.spec.arms;
    let values: Vec<Vec<f64>> = arms
        .iter()
        .map(|&arm| {
            let results = report.arm_results(arm);
            results
                .iter()
                .map(|r| (metric.value)(&r.measured))
                .collect()
        })
        .collect();
    let top = values
        .iter()
        .flatten()
        .copied()
        .fold(0.0, f64::max)
        .max(1e-9);
    let base = MARGIN + PANEL_HEIGHT;
    let y = |value: f64| base - value / top * (PANEL_HEIGHT - MARGIN);
    let _ = writeln!(
        svg,
        "<text x=\"{left}\" y=\"{MARGIN}\">{} (top {top:.1})</text>",
        escape_xml(name)
    );
    let step = PANEL_WIDTH / arms.len() as f64;
    for (index, (arm, values)) in arms.iter().zip(&values).enumerate() {
        let x = left + index as f64 * step;
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{:.1}\" \
             fill=\"#9bb8d3\"/>",
            y(mean),
            step * 0.7,
            base - y(mean)
        );
        for &value in values {
            let _ = writeln!(
                svg,
                "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"2.5\" fill=\"#1f3b57\"/>",
                x + step * 0.35,
                y(value)
            );
        }
        let (label_x, label_y) = (x + step * 0.35, base + 12.0);
        let _ = writeln!(
            svg,
            "<text transform=\"translate({label_x:.1} {label_y:.1}) rotate(55)\">{}</text>",
            arm.as_str()
        );
    }
}

fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
