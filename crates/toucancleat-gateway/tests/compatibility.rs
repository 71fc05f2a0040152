//! Messages between hosts of this release and of earlier ones.
//!
//! tests/recorded has the messages that each release sent, as its own build encoded them. See
//! docs/design/compatibility.md.

use toucancleat_fleet::peers::{Message, Update};
use toucancleat_fleet::poison_parts::{PartReports, TrialReports};
use toucancleat_gateway::datagram::{Datagram, decode, encode, encode_origin};

/// A release, or what will be the next one.
struct Release {
    name: &'static str,
    text: &'static str,
    /// Whether it confines requests to home regions, and sends complete changes.
    heeds_confinement: bool,
    /// Whether it knows parts of prompts that crash targets, paths, and brittle targets.
    has_reports: bool,
    /// Whether it asks targets while nobody reads the host list.
    has_watch: bool,
    /// Whether it tells what earlier processes used of the retry budget.
    has_retry_history: bool,
    /// Whether it tells of trials of poison parts, and of poison requests by their crashes.
    has_trials: bool,
}

const RELEASES: [Release; 6] = [
    Release {
        name: "ec54b7f",
        text: include_str!("recorded/ec54b7f.txt"),
        heeds_confinement: false,
        has_reports: false,
        has_watch: false,
        has_retry_history: false,
        has_trials: false,
    },
    Release {
        name: "2b1dfa5",
        text: include_str!("recorded/2b1dfa5.txt"),
        heeds_confinement: false,
        has_reports: true,
        has_watch: false,
        has_retry_history: false,
        has_trials: false,
    },
    Release {
        name: "1d957f9",
        text: include_str!("recorded/1d957f9.txt"),
        heeds_confinement: true,
        has_reports: true,
        has_watch: false,
        has_retry_history: false,
        has_trials: false,
    },
    Release {
        name: "0fa0a79",
        text: include_str!("recorded/0fa0a79.txt"),
        heeds_confinement: true,
        has_reports: true,
        has_watch: true,
        has_retry_history: false,
        has_trials: false,
    },
    Release {
        name: "49665f7",
        text: include_str!("recorded/49665f7.txt"),
        heeds_confinement: true,
        has_reports: true,
        has_watch: true,
        has_retry_history: true,
        has_trials: false,
    },
    Release {
        name: "next",
        text: include_str!("recorded/next.txt"),
        heeds_confinement: true,
        has_reports: true,
        has_watch: true,
        has_retry_history: true,
        has_trials: true,
    },
];

/// A message as a build encoded it, and what it held.
struct Recorded {
    name: &'static str,
    bytes: Vec<u8>,
    content: &'static str,
}

fn recorded(release: &Release) -> Vec<Recorded> {
    let sections = release.text.split("== ").skip(1);
    sections
        .map(|section| {
            let (name, rest) = section.split_once('\n').expect("a name");
            let (digits, content) = rest.split_once("--\n").expect("a content");
            let digits: String = digits.split_whitespace().collect();
            let byte = |index| u8::from_str_radix(&digits[index..index + 2], 16);
            let bytes = (0..digits.len()).step_by(2).map(byte);
            Recorded {
                name,
                bytes: bytes.collect::<Result<_, _>>().expect("hexadecimal digits"),
                content,
            }
        })
        .collect()
}

/// Encodes a datagram as this build sends it.
fn encode_datagram(datagram: &Datagram) -> Vec<u8> {
    match datagram {
        Datagram::Origin(message) => {
            encode_origin(message).expect("a message that can be encoded")
        }
        Datagram::State(message) => {
            let encoded =
                encode((**message).clone()).expect("a message that can be encoded");
            let datagram = encoded.complete(&message.echo, &message.predecessor);
            datagram.expect("an echo and counts")
        }
    }
}

/// Returns the first line of a recorded content that a message lacks. A message may have more
/// lines, of fields that the release doesn't know.
fn missing_line<'a>(content: &'a str, message: &str) -> Option<&'a str> {
    let mut lines = message.lines();
    content
        .lines()
        .find(|line| !lines.any(|candidate| candidate == *line))
}

/// Each message of an earlier release is decoded with the values that it had there, and
/// this build's encoding of the same message begins with the same bytes: an earlier release
/// decodes what it knows and ignores the rest.
#[test]
fn messages_of_earlier_releases_keep_their_encoding() {
    for release in RELEASES {
        let messages = recorded(&release);
        let names: Vec<&str> = messages.iter().map(|message| message.name).collect();
        let expected = ["targets", "configuration", "began", "query", "reply"];
        assert_eq!(names, expected, "{}", release.name);
        for message in messages {
            let name = format!("{}: {}", release.name, message.name);
            let decoded = decode(&message.bytes).expect("a message of a release");
            let content = match &decoded {
                Datagram::State(state) => format!("{state:#?}"),
                Datagram::Origin(origin) => format!("{origin:#?}"),
            };
            assert_eq!(missing_line(message.content, &content), None, "{name}");
            let encoded = encode_datagram(&decoded);
            let begins_alike = encoded.starts_with(&message.bytes);
            assert!(begins_alike, "{name}: {encoded:02x?}");
            if release.name == "next" {
                assert_eq!(encoded, message.bytes, "{name}: record it again");
            }
        }
    }
}

/// What an earlier release doesn't send has its default, and is recognisable as not sent.
#[test]
fn what_earlier_releases_lack_is_absent() {
    for release in RELEASES {
        for message in recorded(&release) {
            let name = format!("{}: {}", release.name, message.name);
            let decoded = decode(&message.bytes).expect("a message of a release");
            let Datagram::State(state) = decoded else {
                continue;
            };
            let Message {
                heeds_confinement,
                version_digest,
                part_reports,
                request_reports,
                path_reports,
                evacuations,
                cold_reports,
                demand,
                watch,
                has_retry_history,
                predecessor,
                update,
                ..
            } = *state;
            assert_eq!(heeds_confinement, release.heeds_confinement, "{name}");
            assert!(version_digest.is_some(), "{name}");
            assert_eq!(!path_reports.is_empty(), release.has_reports, "{name}");
            let has_operation = !evacuations.zones.is_empty()
                && !cold_reports.is_empty()
                && !demand.organisations.is_empty();
            assert_eq!(has_operation, release.heeds_confinement, "{name}");
            assert_eq!(watch.is_some(), release.has_watch, "{name}");
            let tells_history = has_retry_history && predecessor.retries.is_some();
            assert_eq!(tells_history, release.has_retry_history, "{name}");
            assert!(release.has_retry_history || !has_retry_history, "{name}");
            let tells_trials = part_reports.trials != TrialReports::default();
            assert_eq!(tells_trials, release.has_trials, "{name}");
            let tells_requests = request_reports != PartReports::default();
            assert_eq!(tells_requests, release.has_trials, "{name}");
            if let Some(Update::Configuration(change)) = update {
                assert_eq!(change.is_complete, release.heeds_confinement, "{name}");
            }
        }
    }
}

/// A datagram of a later release has more bytes behind all that this one knows.
#[test]
fn what_later_releases_add_is_ignored() {
    let known = |release: &Release| release.name == "next";
    for release in RELEASES.into_iter().filter(known) {
        for message in recorded(&release) {
            let later = [&message.bytes[..], &[1, 2, 3]].concat();
            let name = message.name;
            assert_eq!(decode(&later), decode(&message.bytes), "{name}");
        }
    }
}
