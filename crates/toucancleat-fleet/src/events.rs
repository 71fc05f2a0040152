//! Splitting a stream's bytes into whole events.

/// Most bytes of one event; a longer one is no event of any engine known.
const EVENT_MAX_BYTES: usize = 1_048_576;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its text, with the empty line that ends it.
    pub text: Vec<u8>,
    /// Its number, where it has one.
    pub id: Option<u64>,
}

/// Collects bytes until an event is whole.
///
/// A target that crashes may stop in the middle of an event; only whole events are passed
/// on, so that the next run can go on behind the last of them.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
}

/// An event that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl EventSplitter {
    /// Takes bytes and appends the events that they complete.
    pub fn push(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<StreamEvent>,
    ) -> Result<(), TooLong> {
        // An end may begin in what came before.
        let mut search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        while let Some(end) = event_end(&self.pending, search_from) {
            let text: Vec<u8> = self.pending.drain(..end).collect();
            let id = event_id(&text);
            events.push(StreamEvent { text, id });
            search_from = 0;
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// Says whether an event has begun and isn't whole.
    pub fn is_torn(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = bytes.get(from..)?;
    let lf = tail.windows(2).position(|pair| pair == b"\n\n");
    let crlf = tail.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(from + crlf + 4),
        (Some(lf), _) => Some(from + lf + 2),
        (None, Some(crlf)) => Some(from + crlf + 4),
        (None, None) => None,
    }
}

fn event_id(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    text.lines()
        .find_map(|line| line.strip_prefix("id:"))
        .and_then(|id| id.trim().parse().ok())
}

/// Lets each event of a stream through once and in order, over all runs.
#[derive(Clone, Debug, Default)]
pub struct Order {
    last: Option<u64>,
    step: Option<u64>,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It comes next.
    Next,
    /// It was passed on before.
    Repeated,
    /// Events are missing before it.
    AfterGap,
}

impl Order {
    /// Says where an event stands; one that comes next is taken as passed on.
    ///
    /// A gap shows only where the numbers have gone up by the same step so far.
    pub fn place(&mut self, event: &StreamEvent) -> Place {
        let Some(id) = event.id else {
            return Place::Next;
        };
        if let Some(last) = self.last {
            if id <= last {
                return Place::Repeated;
            }
            let step = id - last;
            if self.step.is_some_and(|usual| step > usual) {
                return Place::AfterGap;
            }
            self.step = Some(step);
        }
        self.last = Some(id);
        Place::Next
    }

    /// Returns the number of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }
}
