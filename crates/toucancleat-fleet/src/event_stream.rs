//! Reads a stream of server-sent events, and keeps them whole and in order across its runs.

/// Maximum size of one event in bytes. No known engine sends a longer one.
const EVENT_MAX_BYTES: usize = 1_048_576;

/// The fields of an event, by the specification of server-sent events.
const FIELDS: [&str; 4] = ["id", "event", "data", "retry"];

/// A stream over all of its runs.
///
/// What one read brings is taken together, since an event as a value of its own takes many times the
/// bytes of a short one.
///
/// A target that breaks off may write other things on the same connection, such as the head or the
/// text of an error, and so may the one that goes on. With a length or chunks they aren't part of the
/// body. So the events of a run without either are checked, and those of each run but the first.
#[derive(Clone, Debug)]
pub struct EventStream {
    splitter: EventSplitter,
    sequence: EventSequence,
    extension_fields: &'static [&'static str],
    runs: u32,
    is_checked: bool,
    /// Whether a run has stopped inside an event that no run has completed since.
    lacks_event: bool,
}

/// The events that bytes of a stream have completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// The events that come next, one after the other.
    pub bytes: Vec<u8>,
    /// The number of these events.
    pub count: u64,
    /// Why the run can't go on after them, if it can't.
    pub fault: Option<StreamFault>,
}

/// The reason why what follows in a run can't be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum StreamFault {
    /// An event exceeds the maximum size.
    EventTooLong,
    /// Events are missing.
    Gap,
    /// The bytes aren't an event of the stream.
    NotAnEvent,
}

impl EventStream {
    /// Creates a stream whose events may also have these fields.
    pub fn new(extension_fields: &'static [&'static str]) -> Self {
        EventStream {
            splitter: EventSplitter::default(),
            sequence: EventSequence::default(),
            extension_fields,
            runs: 0,
            is_checked: true,
            lacks_event: false,
        }
    }

    /// Begins to read another run, whose body has a length or chunks, or ends with its connection.
    pub fn begin_run(&mut self, is_framed: bool) {
        self.end_run();
        self.runs += 1;
        self.is_checked = !is_framed || self.runs > 1;
    }

    /// Discards the incomplete event of the current run.
    pub fn end_run(&mut self) {
        self.lacks_event |= self.has_partial_event();
        self.splitter = EventSplitter::default();
    }

    /// Reads bytes of the current run.
    pub fn receive(&mut self, bytes: &[u8]) -> ReceivedEvents {
        let mut received = ReceivedEvents::default();
        self.splitter.push(bytes);
        loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(EventTooLong) => {
                    received.fault = Some(StreamFault::EventTooLong);
                    break;
                }
            };
            let needs_id = self.sequence.last_id().is_some();
            if self.is_checked && !is_event(&event, self.extension_fields, needs_id) {
                received.fault = Some(StreamFault::NotAnEvent);
                break;
            }
            match self.sequence.check(&event) {
                SequencePosition::Next => {
                    self.lacks_event = false;
                    received.bytes.extend_from_slice(event.bytes);
                    received.count += 1;
                }
                SequencePosition::Duplicate => {}
                SequencePosition::AfterGap => {
                    received.fault = Some(StreamFault::Gap);
                    break;
                }
            }
        }
        received
    }

    /// Returns the length of the bytes that are held of the current run.
    pub fn pending_bytes(&self) -> usize {
        self.splitter.pending_bytes()
    }

    /// Returns true if the current run has stopped inside an event, so far.
    pub fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    /// Returns true if the stream can't be complete yet: a run has stopped inside an event that no run
    /// has brought since.
    pub fn lacks_event(&self) -> bool {
        self.lacks_event || self.has_partial_event()
    }

    /// Returns the id of the last event that came next.
    pub fn last_id(&self) -> Option<u64> {
        self.sequence.last_id()
    }
}

/// A complete event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEvent<'a> {
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: &'a [u8],
    /// The event's numeric id, if it has one.
    pub id: Option<u64>,
}

/// Buffers bytes of a stream until an event is complete.
///
/// A target that crashes may stop in the middle of an event. Only complete events are
/// forwarded, so that the next run can resume after the last of them.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// The end of the events that have been taken.
    taken_bytes: usize,
    /// Where the blank line that ends the next event may begin.
    search_from: usize,
}

/// An error that is returned when an event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Buffers bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        // N.B. no byte is moved more often than bytes are pushed, however many events they complete.
        self.pending.drain(..self.taken_bytes);
        self.search_from -= self.taken_bytes;
        self.taken_bytes = 0;
        if self.pending.is_empty() {
            // The memory for a long event isn't kept.
            self.pending = Vec::new();
        }
        self.pending.extend_from_slice(bytes);
    }

    /// Takes the next complete event, or returns `None` if there is none.
    ///
    /// Returns an error if the incomplete rest is longer than an event may be.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent<'_>>, EventTooLong> {
        let Some(end) = event_end(&self.pending, self.search_from) else {
            // The blank line may begin in the last bytes and end in the next ones.
            self.search_from = self.taken_bytes.max(self.pending.len().saturating_sub(3));
            return if self.pending_bytes() > EVENT_MAX_BYTES {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        let bytes = &self.pending[self.taken_bytes..end];
        self.taken_bytes = end;
        self.search_from = end;
        let id = event_id(bytes);
        Ok(Some(StreamEvent { bytes, id }))
    }

    /// Returns the length of the bytes that have not been taken.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len() - self.taken_bytes
    }

    /// Returns true if the buffer holds the beginning of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.pending_bytes() > 0
    }
}

/// Returns the end of the first blank line that begins at `from` or later.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|begin| {
        let tail = &bytes[begin..];
        if tail.starts_with(b"\n\n") {
            Some(begin + 2)
        } else if tail.starts_with(b"\r\n\r\n") {
            Some(begin + 4)
        } else {
            None
        }
    })
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}

/// Returns true if the lines of an event are fields or comments and end alike, and if it has an id where
/// it needs one. Comments alone need none.
fn is_event(event: &StreamEvent<'_>, extension_fields: &[&str], needs_id: bool) -> bool {
    let mut line_ends = event.bytes.split_inclusive(|byte| *byte == b'\n');
    let ends_with_cr = event.bytes.ends_with(b"\r\n");
    let mut has_fields = false;
    let are_sound = line_ends.all(|line| {
        let line = line.strip_suffix(b"\n").unwrap_or(line);
        let (line, has_cr) = match line.strip_suffix(b"\r") {
            Some(line) => (line, true),
            None => (line, false),
        };
        if has_cr != ends_with_cr {
            return false;
        }
        if line.is_empty() || line.starts_with(b":") {
            return true;
        }
        has_fields = true;
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let mut known = FIELDS.iter().chain(extension_fields);
        known.any(|field| field.as_bytes() == name)
    });
    are_sound && (event.id.is_some() || !has_fields || !needs_id)
}

/// Deduplicates the events of a stream and detects gaps, across all of its runs.
#[derive(Clone, Debug, Default)]
pub struct EventSequence {
    last_id: Option<u64>,
    step: Option<u64>,
}

/// Position of an event relative to those already forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequencePosition {
    /// The event comes next.
    Next,
    /// The event was forwarded before.
    Duplicate,
    /// Events before it are missing.
    AfterGap,
}

impl EventSequence {
    /// Returns the position of an event. An event that comes next counts as forwarded.
    ///
    /// A gap is detected only while the ids have increased by a constant step.
    pub fn check(&mut self, event: &StreamEvent<'_>) -> SequencePosition {
        let Some(id) = event.id else {
            return SequencePosition::Next;
        };
        if let Some(last_id) = self.last_id {
            if id <= last_id {
                return SequencePosition::Duplicate;
            }
            let step = id - last_id;
            if self.step.is_some_and(|usual| step > usual) {
                return SequencePosition::AfterGap;
            }
            self.step = Some(step);
        }
        self.last_id = Some(id);
        SequencePosition::Next
    }

    /// Returns the id of the last forwarded event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}
