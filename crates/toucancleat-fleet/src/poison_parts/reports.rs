//! What hosts report to their peers about parts that crash targets.

use serde::{Deserialize, Serialize};

use super::TargetKey;
use crate::poison_verdict::Confidence;
use crate::prompt_part::PartId;

/// What a host reports to its peers about parts of prompts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartReports {
    /// Parts, the targets that crashed under each, and the age of each crash.
    pub crashes: Vec<(PartId, Vec<(TargetKey, u32)>)>,
    /// Poison parts, and the age of each verdict.
    pub poison: Vec<(PartId, u32)>,
    /// Parts that other hosts suspect, and the age of their last answer here.
    pub answered: Vec<(PartId, u32)>,
    /// What hosts of the last release don't send, so it is encoded apart.
    #[serde(skip)]
    pub trials: TrialReports,
}

/// What a host reports about trials of poison parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialReports {
    /// The confidence in each verdict, in their order.
    pub confidences: Vec<Confidence>,
    /// Parts of which this host has begun a trial, and the age of the trial.
    pub begun: Vec<(PartId, u32)>,
}
