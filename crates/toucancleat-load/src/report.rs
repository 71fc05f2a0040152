//! Results of an experiment as JSON and as a table.

use std::fmt::Write;

use serde::Serialize;

use crate::measurements::Measured;
use crate::spec::{Arm, Spec};

/// The results of all arms and seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was run.
    pub spec: Spec,
    /// One entry for each arm and seed that was run.
    pub results: Vec<RunResult>,
}

/// The result of one arm on one seed.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The arm.
    pub arm: Arm,
    /// The seed.
    pub seed: u64,
    /// What was measured.
    pub measured: Measured,
}

/// One figure of the table.
#[derive(Clone, Copy, Debug)]
pub struct Figure {
    /// Heading of its column.
    pub name: &'static str,
    /// How it is read from a result.
    pub read: fn(&Measured) -> f64,
}

/// The figures of the table, in its order.
pub const FIGURES: &[Figure] = &[
    Figure {
        name: "on time %",
        read: |m| 100.0 * m.on_time as f64 / m.offered.max(1) as f64,
    },
    Figure {
        name: "refused %",
        read: |m| 100.0 * m.refused as f64 / m.offered.max(1) as f64,
    },
    Figure {
        name: "broken",
        read: |m| (m.broken + m.wrong) as f64,
    },
    Figure {
        name: "preemptions",
        read: |m| m.preemptions as f64,
    },
    Figure {
        name: "stall s",
        read: |m| m.stall_time_ms / 1_000.0,
    },
    Figure {
        name: "gap p95 ms",
        read: |m| m.between_tokens.p95_ms,
    },
    Figure {
        name: "gap p99 ms",
        read: |m| m.between_tokens.p99_ms,
    },
    Figure {
        name: "first p50 ms",
        read: |m| m.first_token.p50_ms,
    },
    Figure {
        name: "first p95 ms",
        read: |m| m.first_token.p95_ms,
    },
    Figure {
        name: "goodput tok/s",
        read: |m| m.goodput_tokens_per_s,
    },
    Figure {
        name: "fairness",
        read: |m| m.fairness,
    },
    Figure {
        name: "msgs/req",
        read: |m| m.messages_per_request,
    },
];

impl Report {
    /// Returns the results of an arm, in the order of the seeds.
    pub fn of_arm(&self, arm: Arm) -> Vec<&RunResult> {
        let results = self.results.iter();
        results.filter(|result| result.arm == arm).collect()
    }

    /// Writes the means over the seeds, and then the paired ratios to the first arm.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}: load {}%, {} seed(s)\n\n| arm |",
            self.spec.name,
            (self.spec.load_share * 100.0).round(),
            self.spec.seeds.len(),
        );
        for figure in FIGURES {
            let _ = write!(text, " {} |", figure.name);
        }
        text.push_str("\n| --- |");
        text.push_str(&" ---: |".repeat(FIGURES.len()));
        for &arm in &self.spec.arms {
            self.write_means(&mut text, arm);
        }
        self.write_ratios(&mut text);
        text
    }

    fn write_means(&self, text: &mut String, arm: Arm) {
        let results = self.of_arm(arm);
        let _ = write!(text, "\n| {} |", arm.as_str());
        for figure in FIGURES {
            let values: Vec<f64> =
                results.iter().map(|r| (figure.read)(&r.measured)).collect();
            let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
            let _ = write!(text, " {mean:.2} |");
        }
    }

    /// Writes, for each figure, the first arm's value over each other arm's on the same
    /// seed: the median, and the least and largest of all seeds.
    fn write_ratios(&self, text: &mut String) {
        let Some((&first, others)) = self.spec.arms.split_first() else {
            return;
        };
        let _ = write!(text, "\n\nRatios of {} on the same seed", first.as_str());
        text.push_str(", median (least to largest):\n\n| to |");
        for figure in FIGURES {
            let _ = write!(text, " {} |", figure.name);
        }
        text.push_str("\n| --- |");
        text.push_str(&" ---: |".repeat(FIGURES.len()));
        for &other in others {
            let _ = write!(text, "\n| {} |", other.as_str());
            for figure in FIGURES {
                let _ = write!(text, " {} |", self.ratio(first, other, figure));
            }
        }
        text.push('\n');
    }

    fn ratio(&self, first: Arm, other: Arm, figure: &Figure) -> String {
        let firsts = self.of_arm(first);
        let others = self.of_arm(other);
        let pairs = firsts.iter().filter_map(|a| {
            let b = others.iter().find(|b| b.seed == a.seed)?;
            Some(((figure.read)(&a.measured), (figure.read)(&b.measured)))
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
