//! An incremental scanner for the few members of a stream event's JSON that are validated.
//!
//! A parser would need the complete event in one buffer and would read members that are not needed.
//! This scanner reads bytes as they arrive, split at any position. It tracks strings and nesting,
//! so that a `"model"` inside a prompt, a tool call or another member is not mistaken for the
//! event's own.

use std::sync::Arc;

use memchr::memchr2;

use super::Usage;

/// The maximum length of a buffered key or value.
const MAX_BUFFERED_BYTES: usize = 1024;

/// Scans one JSON object.
#[derive(Debug, Default)]
pub(crate) struct JsonScanner {
    depth: u32,
    state: LexState,
    /// Whether the next string at a scanned depth is a key.
    at_key: bool,
    /// Whether the next byte is the first one of a value.
    at_value: bool,
    /// The current member of the top-level object.
    member: Member,
    /// The current member of `usage` or `error`.
    inner: InnerMember,
    buffer: Vec<u8>,
    overflowed: bool,
    escaped: bool,
    number: Option<u32>,
    pub(crate) members: ScannedMembers,
}

/// The members found in an object.
#[derive(Debug, Default)]
pub(crate) struct ScannedMembers {
    /// The value of `model`.
    pub(crate) model: Option<ModelMatch>,
    pub(crate) usage: Option<Usage>,
    /// Whether there is an `error` that is not null.
    pub(crate) has_error: bool,
    pub(crate) error_message: String,
    /// Whether the object has ended.
    pub(crate) ended: bool,
    /// Whether the input is anything but a single object.
    pub(crate) malformed: bool,
}

/// The value of an event's `model`, compared with the model that the call named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ModelMatch {
    Expected,
    Other(Arc<str>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LexState {
    #[default]
    OutsideString,
    /// In a string that is not buffered.
    SkippedString,
    SkippedStringEscape,
    /// In a string that is buffered.
    BufferedString,
    BufferedStringEscape,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Member {
    #[default]
    Other,
    Model,
    Usage,
    Error,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum InnerMember {
    #[default]
    Other,
    PromptTokens,
    CompletionTokens,
    Message,
}

impl JsonScanner {
    /// Resets the scanner for the next object, and keeps the allocated buffer.
    pub(crate) fn reset(&mut self) {
        let buffer = std::mem::take(&mut self.buffer);
        *self = Self {
            buffer,
            ..Self::default()
        };
        self.buffer.clear();
    }

    /// Scans the next bytes; `named` is the model that the call named.
    pub(crate) fn feed(&mut self, mut bytes: &[u8], named: &str) {
        while let Some((&byte, rest)) = bytes.split_first() {
            match self.state {
                LexState::OutsideString => {
                    self.outside_string(byte);
                    bytes = rest;
                }
                LexState::SkippedString => bytes = self.skip_string(bytes),
                LexState::SkippedStringEscape => {
                    self.state = LexState::SkippedString;
                    bytes = rest;
                }
                LexState::BufferedString => bytes = self.buffer_string(bytes, named),
                LexState::BufferedStringEscape => {
                    self.buffer_bytes(&[byte]);
                    self.state = LexState::BufferedString;
                    bytes = rest;
                }
            }
        }
    }

    fn outside_string(&mut self, byte: u8) {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => return,
            b'0'..=b'9' if self.in_scanned_section() && !self.at_key => {
                self.digit(byte);
                return;
            }
            _ => {}
        }
        if self.members.ended || (self.depth == 0 && byte != b'{') {
            self.members.malformed = true;
            return;
        }
        let begins_value = std::mem::take(&mut self.at_value);
        if begins_value && self.depth == 1 && self.member == Member::Error && byte != b'n' {
            self.members.has_error = true;
        }
        match byte {
            b'"' => self.begin_string(),
            b'{' | b'[' => self.open(byte),
            b'}' | b']' => self.close(),
            b',' => {
                self.end_number();
                self.at_key = self.depth == 1 || self.in_scanned_section();
            }
            b':' => {
                self.at_key = false;
                self.at_value = true;
            }
            // A number or a literal.
            _ => {}
        }
    }

    fn begin_string(&mut self) {
        let wanted = match (self.depth, self.at_key) {
            (1, true) => true,
            (1, false) => self.member == Member::Model,
            (2, true) => self.in_scanned_section(),
            (2, false) => self.in_scanned_section() && self.inner == InnerMember::Message,
            _ => false,
        };
        self.state = if wanted {
            LexState::BufferedString
        } else {
            LexState::SkippedString
        };
        self.buffer.clear();
        self.overflowed = false;
        self.escaped = false;
    }

    fn open(&mut self, byte: u8) {
        self.depth += 1;
        self.inner = InnerMember::Other;
        let object = byte == b'{';
        if self.depth == 2 && !object {
            // An array as `usage` or `error` has no members to scan.
            self.member = Member::Other;
        }
        self.at_key = object && (self.depth == 1 || self.in_scanned_section());
        if self.depth == 2 && self.member == Member::Usage {
            self.members.usage = Some(Usage::default());
        }
    }

    fn close(&mut self) {
        self.end_number();
        self.depth -= 1;
        self.at_key = false;
        self.members.ended = self.depth == 0;
    }

    fn in_scanned_section(&self) -> bool {
        self.depth == 2 && matches!(self.member, Member::Usage | Member::Error)
    }

    fn skip_string<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(end) = memchr2(b'"', b'\\', bytes) else {
            return &[];
        };
        self.state = if bytes[end] == b'"' {
            LexState::OutsideString
        } else {
            LexState::SkippedStringEscape
        };
        &bytes[end + 1..]
    }

    fn buffer_string<'a>(&mut self, bytes: &'a [u8], named: &str) -> &'a [u8] {
        let Some(end) = memchr2(b'"', b'\\', bytes) else {
            self.buffer_bytes(bytes);
            return &[];
        };
        self.buffer_bytes(&bytes[..end]);
        if bytes[end] == b'"' {
            self.state = LexState::OutsideString;
            self.end_buffered(named);
        } else {
            self.escaped = true;
            self.buffer_bytes(b"\\");
            self.state = LexState::BufferedStringEscape;
        }
        &bytes[end + 1..]
    }

    fn buffer_bytes(&mut self, bytes: &[u8]) {
        if self.buffer.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.overflowed = true;
            return;
        }
        self.buffer.extend_from_slice(bytes);
    }

    fn end_buffered(&mut self, named: &str) {
        match (self.depth, self.at_key) {
            (1, true) => self.member = self.outer_member(),
            (1, false) => self.end_model(named),
            (_, true) => self.inner = self.inner_member(),
            (_, false) => self.members.error_message = self.unescaped(),
        }
    }

    fn outer_member(&self) -> Member {
        match self.key().as_ref() {
            b"model" => Member::Model,
            b"usage" => Member::Usage,
            b"error" => Member::Error,
            _ => Member::Other,
        }
    }

    fn inner_member(&self) -> InnerMember {
        match (self.member, self.key().as_ref()) {
            (Member::Usage, b"prompt_tokens") => InnerMember::PromptTokens,
            (Member::Usage, b"completion_tokens") => InnerMember::CompletionTokens,
            (Member::Error, b"message") => InnerMember::Message,
            _ => InnerMember::Other,
        }
    }

    fn key(&self) -> std::borrow::Cow<'_, [u8]> {
        if self.escaped {
            self.unescaped().into_bytes().into()
        } else {
            self.buffer.as_slice().into()
        }
    }

    /// Records the value of `model`; a wrong model is kept even if a second `model` member matches.
    fn end_model(&mut self, named: &str) {
        let same = !self.overflowed && !self.escaped && self.buffer == named.as_bytes();
        if same || (self.escaped && !self.overflowed && self.unescaped() == named) {
            self.members.model.get_or_insert(ModelMatch::Expected);
        } else if !matches!(self.members.model, Some(ModelMatch::Other(_))) {
            self.members.model = Some(ModelMatch::Other(self.unescaped().into()));
        }
    }

    fn unescaped(&self) -> String {
        let text = String::from_utf8_lossy(&self.buffer);
        if !self.escaped {
            return text.into_owned();
        }
        serde_json::from_str(&format!("\"{text}\"")).unwrap_or_default()
    }

    fn digit(&mut self, digit: u8) {
        let number = self.number.unwrap_or(0);
        self.number = Some(
            number
                .saturating_mul(10)
                .saturating_add(u32::from(digit - b'0')),
        );
    }

    fn end_number(&mut self) {
        let Some(number) = self.number.take() else {
            return;
        };
        let Some(usage) = &mut self.members.usage else {
            return;
        };
        match self.inner {
            InnerMember::PromptTokens => usage.prompt_tokens = number,
            InnerMember::CompletionTokens => usage.completion_tokens = number,
            InnerMember::Other | InnerMember::Message => {}
        }
    }
}
