//! Counts the interim answers that precede an answer.

/// Maximum number of interim answers to one request. A sound target sends two or three, to confirm that it has
/// the head and to give hints about the answer.
pub const INTERIM_ANSWERS_MAX: usize = 16;

/// Length of the part of a status line that shows whether the answer is interim: `HTTP/1.1 1`.
const STATUS_CLASS_BYTES: usize = 10;

/// Counts interim answers in bytes that arrive in any parts.
#[derive(Debug, Default)]
pub(crate) struct InterimCounter {
    /// The beginning of the current head.
    begin: Vec<u8>,
    /// Whether the last line had nothing but a line end so far.
    is_line_empty: bool,
    /// Whether the head of the answer itself has begun.
    is_answer: bool,
    count: usize,
}

impl InterimCounter {
    /// Reads bytes, and returns the number of interim answers that are complete so far.
    pub(crate) fn read(&mut self, bytes: &[u8]) -> usize {
        for byte in bytes {
            if self.is_answer {
                break;
            }
            self.read_byte(*byte);
        }
        self.count
    }

    fn read_byte(&mut self, byte: u8) {
        let is_line_end = matches!(byte, b'\r' | b'\n');
        if self.begin.len() < STATUS_CLASS_BYTES {
            // Blank lines may precede a head.
            if !(self.begin.is_empty() && is_line_end) {
                self.begin.push(byte);
                self.is_line_empty = false;
            }
            let is_known = self.begin.len() == STATUS_CLASS_BYTES;
            self.is_answer = is_known && self.begin[STATUS_CLASS_BYTES - 1] != b'1';
            return;
        }
        if byte != b'\n' {
            self.is_line_empty &= byte == b'\r';
        } else if self.is_line_empty {
            self.count += 1;
            self.begin.clear();
        } else {
            self.is_line_empty = true;
        }
    }
}
