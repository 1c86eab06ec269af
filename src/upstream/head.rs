//! Finds a second status line within the head of an answer. An answer too many that was cut short within
//! its head and the answer behind it would be read as one, with the status of the first and the id of the
//! second.

/// Length of a status line up to the first digit of its code, as `HTTP/1.1 2`.
const STATUS_LINE_BYTES: usize = 10;

/// The head that is being read.
#[derive(Debug, Default)]
pub(super) struct Head {
    /// Number of bytes of a status line that were just read.
    matched: usize,
    has_status_line: bool,
    /// Whether another head follows this one.
    is_interim: bool,
    is_line_empty: bool,
    is_complete: bool,
}

impl Head {
    /// Reads further bytes, which may go beyond the head. Returns whether another one begins within it.
    pub(super) fn read(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            if self.is_complete {
                return false;
            }
            if self.read_byte(*byte) {
                return true;
            }
        }
        false
    }

    fn read_byte(&mut self, byte: u8) -> bool {
        let is_expected = match self.matched {
            7 | 9 => byte.is_ascii_digit(),
            matched => b"HTTP/1.. "[matched] == byte,
        };
        self.matched = if is_expected {
            self.matched + 1
        } else {
            usize::from(byte == b'H')
        };
        if self.matched == STATUS_LINE_BYTES {
            if self.has_status_line {
                return true;
            }
            self.matched = 0;
            self.has_status_line = true;
            self.is_interim = byte == b'1';
        }
        match byte {
            b'\n' if self.is_line_empty && self.is_interim => *self = Self::default(),
            b'\n' if self.is_line_empty => self.is_complete = true,
            b'\n' => self.is_line_empty = self.has_status_line,
            b'\r' => {}
            _ => self.is_line_empty = false,
        }
        false
    }
}
