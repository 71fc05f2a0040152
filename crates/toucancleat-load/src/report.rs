//! Results of an experiment, as JSON and as a Markdown table.

use std::fmt::Write;

use serde::Serialize;

use crate::measurements::Measurements;
use crate::spec::{Arm, Spec};

/// The results of all arms and seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Spec of the experiment.
    pub spec: Spec,
    /// One result for each arm and seed that was run.
    pub results: Vec<RunResult>,
}

/// The result of one arm on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Arm that was run.
    pub arm: Arm,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Measurements of the run.
    pub measured: Measurements,
}

/// One metric: a column of the table.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Heading of the column.
    pub heading: &'static str,
    /// Returns the metric's value from the measurements of a run.
    pub value: fn(&Measurements) -> f64,
}

/// The metrics of the table, in the order of its columns.
pub const METRICS: &[Metric] = &[
    Metric {
        heading: "on time %",
        value: |m| 100.0 * m.on_time as f64 / m.offered.max(1) as f64,
    },
    Metric {
        heading: "refused %",
        value: |m| 100.0 * m.refused as f64 / m.offered.max(1) as f64,
    },
    Metric {
        heading: "broken",
        value: |m| (m.broken + m.wrong) as f64,
    },
    Metric {
        heading: "preemptions",
        value: |m| m.preemptions as f64,
    },
    Metric {
        heading: "stall s",
        value: |m| m.stall_time_ms / 1_000.0,
    },
    Metric {
        heading: "gap p95 ms",
        value: |m| m.between_tokens.p95_ms,
    },
    Metric {
        heading: "gap p99 ms",
        value: |m| m.between_tokens.p99_ms,
    },
    Metric {
        heading: "first p50 ms",
        value: |m| m.first_token.p50_ms,
    },
    Metric {
        heading: "first p95 ms",
        value: |m| m.first_token.p95_ms,
    },
    Metric {
        heading: "goodput tok/s",
        value: |m| m.goodput_tokens_per_s,
    },
    Metric {
        heading: "fairness",
        value: |m| m.fairness,
    },
    Metric {
        heading: "msgs/req",
        value: |m| m.messages_per_request,
    },
];

impl Report {
    /// Returns the results of an arm, in the order of the seeds.
    pub fn arm_results(&self, arm: Arm) -> Vec<&RunResult> {
        let results = self.results.iter();
        results.filter(|result| result.arm == arm).collect()
    }

    /// Renders the means over the seeds, followed by the ratios of the first arm to the others.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}: load {}%, {} seed(s)\n\n| arm |",
            self.spec.name,
            (self.spec.load_share * 100.0).round(),
            self.spec.seeds.len(),
        );
        for metric in METRICS {
            let _ = write!(text, " {} |", metric.heading);
        }
        text.push_str("\n| --- |");
        text.push_str(&" ---: |".repeat(METRICS.len()));
        for &arm in &self.spec.arms {
            self.write_means(&mut text, arm);
        }
        self.write_ratios(&mut text);
        text
    }

    fn write_means(&self, text: &mut String, arm: Arm) {
        let results = self.arm_results(arm);
        let _ = write!(text, "\n| {} |", arm.as_str());
        for metric in METRICS {
            let values: Vec<f64> = results
                .iter()
                .map(|r| (metric.value)(&r.measured))
                .collect();
            let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
            let _ = write!(text, " {mean:.2} |");
        }
    }

    /// Writes, for each metric, the ratio of the first arm's value to each other arm's on the
    /// same seed: the median, the smallest and the largest over all seeds.
    fn write_ratios(&self, text: &mut String) {
        let Some((&first, others)) = self.spec.arms.split_first() else {
            return;
        };
        let _ = write!(text, "\n\nRatios of {} on the same seed", first.as_str());
        text.push_str(", median (least to largest):\n\n| to |");
        for metric in METRICS {
            let _ = write!(text, " {} |", metric.heading);
        }
        text.push_str("\n| --- |");
        text.push_str(&" ---: |".repeat(METRICS.len()));
        for &other in others {
            let _ = write!(text, "\n| {} |", other.as_str());
            for metric in METRICS {
                let _ = write!(text, " {} |", self.ratio(first, other, metric));
            }
        }
        text.push('\n');
    }

    fn ratio(&self, first: Arm, other: Arm, metric: &Metric) -> String {
        let firsts = self.arm_results(first);
        let others = self.arm_results(other);
        let pairs = firsts.iter().filter_map(|a| {
            let b = others.iter().find(|b| b.seed == a.seed)?;
            Some(((metric.value)(&a.measured), (metric.value)(&b.measured)))
        });
        let mut ratios: Vec<f64> = pairs
            .filter(|(_, b)| *b != 0.0)
            .map(|(a, b)| a / b)
            .collect();
        if ratios.is_empty() {
            return "-".to_owned();
        }
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        let (least, largest) = (ratios[0], ratios[ratios.len() - 1]);
        format!("{median:.2} ({least:.2} to {largest:.2})")
    }
}
