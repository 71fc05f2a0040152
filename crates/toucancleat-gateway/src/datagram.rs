//! Encodes and decodes the datagrams between entry hosts.
//!
//! Hosts of several releases run side by side while a fleet is upgraded, and the encoding
//! doesn't describe itself. So what a release adds to a message follows all that earlier ones
//! know, which ignore it. Messages about the origins of streams go only to hosts that have shown
//! that they know them.

use serde::{Deserialize, Serialize};
use toucancleat_fleet::brittle_targets::BrittleReports;
use toucancleat_fleet::cold_targets::ColdReport;
use toucancleat_fleet::configuration_change::ChangeAdditions;
use toucancleat_fleet::contention::DemandReport;
use toucancleat_fleet::evacuation::EvacuationReport;
use toucancleat_fleet::peers::{Echo, Message, Predecessor, Update};
use toucancleat_fleet::poison_parts::{PartReports, TrialReports};
use toucancleat_fleet::pool_path::PathReport;
use toucancleat_fleet::prelude::SoftwareVersion;
use toucancleat_fleet::stream_origin::OriginMessage;
use toucancleat_fleet::target_notice::NoticeReport;
use toucancleat_fleet::target_watch::WatchReport;

/// The parts of a message that follow the echo. Hosts of earlier releases ignore what follows
/// the echo, and send nothing there.
#[derive(Default, Serialize, Deserialize)]
struct Extension {
    notices: Vec<NoticeReport>,
    store_era: u64,
}

/// The parts that follow the extension. Hosts of the last release ignore them.
#[derive(Serialize, Deserialize)]
struct VersionExtension {
    version_digest: u64,
    /// The software's version of each entry among the changes of the host list, in their order.
    entry_versions: Vec<Option<SoftwareVersion>>,
}

/// The parts that follow the versions. Hosts of the last release ignore them.
#[derive(Serialize, Deserialize)]
struct ReportExtension {
    part_reports: PartReports,
    path_reports: Vec<PathReport>,
    brittle_reports: BrittleReports,
}

/// The parts that follow the reports. Hosts of the last release ignore them.
#[derive(Serialize, Deserialize)]
struct OperationExtension {
    evacuations: EvacuationReport,
    cold_reports: Vec<ColdReport>,
    demand: DemandReport,
}

/// The part that follows the operation: what earlier releases don't know of a change of the
/// configuration. It is empty if the message has no such change.
#[derive(Serialize, Deserialize)]
struct ConfigurationExtension {
    additions: ChangeAdditions,
}

/// The part that follows the additions to the configuration. Hosts of the last release ignore it.
#[derive(Serialize, Deserialize)]
struct WatchExtension {
    watch: Option<WatchReport>,
}

/// The parts that follow the watch, before what is known of the recipient's predecessor.
#[derive(Serialize, Deserialize)]
struct RetryExtension {
    has_retry_history: bool,
    is_exiting: bool,
}

/// The parts that follow what is known of the predecessor. Hosts of the last release ignore it.
#[derive(Serialize, Deserialize)]
struct TrialExtension {
    trials: TrialReports,
    request_reports: PartReports,
    request_trials: TrialReports,
}

/// A message to peers, encoded but for what differs between them.
#[derive(Clone, Debug)]
pub struct EncodedMessage {
    /// What precedes the echo.
    message: Vec<u8>,
    /// What follows the echo, and what follows the predecessor.
    extension: Vec<u8>,
    trials: Vec<u8>,
}

impl EncodedMessage {
    /// Returns the datagram for one recipient.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be encoded.
    pub fn complete(
        &self,
        echo: &Option<Echo>,
        predecessor: &Predecessor,
    ) -> postcard::Result<Vec<u8>> {
        let mut datagram = postcard::to_extend(echo, self.message.clone())?;
        datagram.extend_from_slice(&self.extension);
        let mut datagram = postcard::to_extend(predecessor, datagram)?;
        datagram.extend_from_slice(&self.trials);
        Ok(datagram)
    }
}

/// Encodes the parts of a message that are the same for all recipients.
///
/// # Errors
///
/// Returns an error if a part can't be encoded.
pub fn encode(mut message: Message) -> postcard::Result<EncodedMessage> {
    let trials = TrialExtension {
        trials: std::mem::take(&mut message.part_reports.trials),
        request_trials: std::mem::take(&mut message.request_reports.trials),
        request_reports: std::mem::take(&mut message.request_reports),
    };
    let extension = Extension {
        notices: std::mem::take(&mut message.notices),
        store_era: message.store_era,
    };
    let versions = VersionExtension {
        version_digest: message.version_digest.unwrap_or_default(),
        entry_versions: entry_versions(&mut message)
            .map(|version| version.clone())
            .collect(),
    };
    let reports = ReportExtension {
        part_reports: std::mem::take(&mut message.part_reports),
        path_reports: std::mem::take(&mut message.path_reports),
        brittle_reports: std::mem::take(&mut message.brittle_reports),
    };
    let operation = OperationExtension {
        evacuations: std::mem::take(&mut message.evacuations),
        cold_reports: std::mem::take(&mut message.cold_reports),
        demand: std::mem::take(&mut message.demand),
    };
    let extension = postcard::to_stdvec(&extension)?;
    let extension = postcard::to_extend(&versions, extension)?;
    let additions = match &message.update {
        Some(Update::Configuration(change)) => change.additions(),
        _ => ChangeAdditions::default(),
    };
    let configuration = ConfigurationExtension { additions };
    let watch = WatchExtension {
        watch: message.watch.take(),
    };
    let extension = postcard::to_extend(&reports, extension)?;
    let extension = postcard::to_extend(&operation, extension)?;
    let extension = postcard::to_extend(&configuration, extension)?;
    let retries = RetryExtension {
        has_retry_history: message.has_retry_history,
        is_exiting: message.is_exiting,
    };
    let extension = postcard::to_extend(&watch, extension)?;
    Ok(EncodedMessage {
        message: postcard::to_stdvec(&message)?,
        extension: postcard::to_extend(&retries, extension)?,
        trials: postcard::to_stdvec(&trials)?,
    })
}

/// Returns the software's version of each entry among the changes that a message carries.
fn entry_versions(
    message: &mut Message,
) -> impl Iterator<Item = &mut Option<SoftwareVersion>> {
    let changes = match &mut message.update {
        Some(Update::Targets(changes)) => changes.as_mut_slice(),
        _ => &mut [],
    };
    changes
        .iter_mut()
        .filter_map(|change| change.entry.as_mut())
        .map(|entry| &mut entry.software_version)
}

/// The first byte of a message about the origin of a stream. Other messages begin with the
/// length of the sender's name, which is never empty.
const ORIGIN_MARK: u8 = 0;

/// A datagram of a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A message with the state of its sender.
    State(Box<Message>),
    /// A message about the origin of a stream.
    Origin(OriginMessage),
}

/// Encodes a message about the origin of a stream.
///
/// # Errors
///
/// Returns an error if the message can't be encoded.
pub fn encode_origin(message: &OriginMessage) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(message, vec![ORIGIN_MARK])
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the datagram is cut off or isn't a message.
pub fn decode(datagram: &[u8]) -> postcard::Result<Datagram> {
    match datagram.split_first() {
        Some((&ORIGIN_MARK, rest)) => postcard::from_bytes(rest).map(Datagram::Origin),
        _ => decode_state(datagram).map(|message| Datagram::State(Box::new(message))),
    }
}

/// Decodes a message, the echo and the parts that follow it.
fn decode_state(datagram: &[u8]) -> postcard::Result<Message> {
    let (mut message, rest) = postcard::take_from_bytes::<Message>(datagram)?;
    let (echo, rest) = postcard::take_from_bytes::<Option<Echo>>(rest)?;
    let (extension, rest) = if rest.is_empty() {
        (Extension::default(), rest)
    } else {
        postcard::take_from_bytes::<Extension>(rest)?
    };
    message.echo = echo;
    message.notices = extension.notices;
    message.store_era = extension.store_era;
    if !rest.is_empty() {
        let (versions, rest) = postcard::take_from_bytes::<VersionExtension>(rest)?;
        message.version_digest = Some(versions.version_digest);
        for (version, sent) in entry_versions(&mut message).zip(versions.entry_versions) {
            *version = sent;
        }
        if !rest.is_empty() {
            let (reports, rest) = postcard::take_from_bytes::<ReportExtension>(rest)?;
            message.part_reports = reports.part_reports;
            message.path_reports = reports.path_reports;
            message.brittle_reports = reports.brittle_reports;
            if !rest.is_empty() {
                let (operation, rest) =
                    postcard::take_from_bytes::<OperationExtension>(rest)?;
                message.heeds_confinement = true;
                message.evacuations = operation.evacuations;
                message.cold_reports = operation.cold_reports;
                message.demand = operation.demand;
                decode_newest(&mut message, rest)?;
            }
        }
    }
    Ok(message)
}

/// Decodes the additions to a change of the configuration, and what follows them.
fn decode_newest(message: &mut Message, rest: &[u8]) -> postcard::Result<()> {
    if rest.is_empty() {
        return Ok(());
    }
    let (extension, rest) = postcard::take_from_bytes::<ConfigurationExtension>(rest)?;
    if let Some(Update::Configuration(change)) = &mut message.update {
        change.restore(extension.additions);
    }
    if rest.is_empty() {
        return Ok(());
    }
    let (extension, rest) = postcard::take_from_bytes::<WatchExtension>(rest)?;
    message.watch = extension.watch;
    if rest.is_empty() {
        return Ok(());
    }
    let (extension, rest) = postcard::take_from_bytes::<RetryExtension>(rest)?;
    message.has_retry_history = extension.has_retry_history;
    message.is_exiting = extension.is_exiting;
    if rest.is_empty() {
        return Ok(());
    }
    let (predecessor, rest) = postcard::take_from_bytes::<Predecessor>(rest)?;
    message.predecessor = predecessor;
    if !rest.is_empty() {
        let extension: TrialExtension = postcard::from_bytes(rest)?;
        message.part_reports.trials = extension.trials;
        message.request_reports = PartReports {
            trials: extension.request_trials,
            ..extension.request_reports
        };
    }
    Ok(())
}
