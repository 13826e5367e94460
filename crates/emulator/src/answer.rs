//! Heads of answers in which one field is spoilt, or two, and sound ones that differ in the same
//! places.
//!
//! ```
//! use sorreldeck_emulator::answer::{Answer, Part, SPOILS};
//!
//! let answer = Answer::new("r1", b"body");
//! assert!(answer.bytes().ends_with(b"content-length: 4\r\n\r\nbody"));
//! let spoil = SPOILS.iter().find(|s| s.part == Part::Length).unwrap();
//! assert_ne!(spoil.apply(&answer).bytes(), answer.bytes());
//! ```

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;

/// The part of a head that a spoil or a variant changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The length of the body.
    Length,
    /// The coding of the body in chunks.
    Chunks,
    /// The status.
    Status,
    /// The version of the protocol.
    Version,
    /// The name of a field.
    Name,
    /// The value of a field.
    Value,
    /// A line that holds a field.
    Line,
}

/// An answer as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The version of the protocol.
    pub version: Vec<u8>,
    /// The status and its reason.
    pub status: Vec<u8>,
    /// The lines of the head but for those that tell the end of the body.
    pub lines: Vec<Vec<u8>>,
    /// The lines that tell the end of the body.
    pub framing: Vec<Vec<u8>>,
    /// The body as it is sent, with its chunks if it has any.
    pub body: Vec<u8>,
}

impl Answer {
    /// Creates a sound answer to the request of this id, with a receipt.
    pub fn new(request: &str, body: &[u8]) -> Answer {
        Answer {
            version: b"HTTP/1.1".into(),
            status: b"200 OK".into(),
            lines: vec![
                format!("request-id: {request}").into(),
                b"response-signature: s.1".into(),
                b"x-own: kept".into(),
            ],
            framing: vec![format!("content-length: {}", body.len()).into()],
            body: body.into(),
        }
    }

    /// Sends the body in one chunk.
    #[must_use]
    pub fn chunked(mut self) -> Answer {
        let mut body = format!("{:x}\r\n", self.body.len()).into_bytes();
        body.extend_from_slice(&self.body);
        body.extend_from_slice(b"\r\n0\r\n\r\n");
        self.framing = vec![b"transfer-encoding: chunked".into()];
        self.body = body;
        self
    }

    /// Returns the answer as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = [&self.version[..], b" ", &self.status, b"\r\n"].concat();
        for line in self.lines.iter().chain(&self.framing) {
            bytes.extend_from_slice(line);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a change does to a sound answer.
#[derive(Clone, Copy, Debug)]
enum Change {
    Version(&'static [u8]),
    Status(&'static [u8]),
    /// Adds a line.
    Add(&'static [u8]),
    /// Adds a line before all others.
    AddFirst(&'static [u8]),
    /// Replaces the lines that tell the end of the body.
    Framing(&'static [&'static [u8]]),
    /// Sends the body in chunks and replaces the lines that tell its end.
    Chunked(&'static [&'static [u8]]),
}

/// One change of a head.
#[derive(Clone, Copy, Debug)]
pub struct Spoil {
    /// What it changes.
    pub part: Part,
    change: Change,
}

impl Spoil {
    /// Returns the answer with this change.
    pub fn apply(&self, answer: &Answer) -> Answer {
        let mut answer = answer.clone();
        match self.change {
            Change::Version(version) => answer.version = version.into(),
            Change::Status(status) => answer.status = status.into(),
            Change::Add(line) => answer.lines.push(line.into()),
            Change::AddFirst(line) => answer.lines.insert(0, line.into()),
            Change::Framing(lines) => answer.framing = to_owned(lines),
            Change::Chunked(lines) => {
                answer = answer.chunked();
                answer.framing = to_owned(lines);
            }
        }
        answer
    }
}

impl fmt::Display for Spoil {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.part)?;
        let lines: &[&[u8]] = match &self.change {
            Change::Version(line) | Change::Status(line) => &[line],
            Change::Add(line) | Change::AddFirst(line) => &[line],
            Change::Framing(lines) | Change::Chunked(lines) => lines,
        };
        lines
            .iter()
            .try_for_each(|line| write!(f, " {:?}", line.escape_ascii().to_string()))
    }
}

fn to_owned(lines: &[&[u8]]) -> Vec<Vec<u8>> {
    lines.iter().map(|line| line.to_vec()).collect()
}

const fn spoil(part: Part, change: Change) -> Spoil {
    Spoil { part, change }
}

macro_rules! changes {
    ($($part:ident: $($change:expr),+;)*) => {
        &[$($(spoil(Part::$part, $change)),+),*]
    };
}

use Change::{Add, AddFirst, Chunked, Framing, Status, Version};

/// Changes after which a head is none, of an answer whose body has four bytes.
pub const SPOILS: &[Spoil] = changes! {
    Length:
        Framing(&[b"content-length:"]),
        Framing(&[b"content-length: four"]),
        Framing(&[b"content-length: +4"]),
        Framing(&[b"content-length: -4"]),
        Framing(&[b"content-length: 0x4"]),
        Framing(&[b"content-length: 4.0"]),
        Framing(&[b"content-length: 4e0"]),
        Framing(&[b"content-length: 4 4"]),
        Framing(&[b"content-length: 4;"]),
        Framing(&[b"content-length: \"4\""]),
        Framing(&[b"content-length: 4, 2"]),
        Framing(&[b"content-length: 4,"]),
        Framing(&[b"content-length: 4\x01"]),
        Framing(&[b"content-length: \xd9\xa4"]),
        Framing(&[b"content-length: 18446744073709551616"]),
        Framing(&[b"content-length: 18446744073709551615"]),
        Framing(&[b"content-length: 18446744073709551613"]),
        Framing(&[b"content-length: 9223372036854775808"]),
        Framing(&[b"content-length: 9007199254740992"]),
        Framing(&[b"content-length: 99999999999999999999999999"]),
        Framing(&[b"content-length: 4", b"content-length: 2"]),
        Framing(&[b"content-length: 2", b"content-length: 4"]),
        Framing(&[b"content-length: 4", b"content-length: four"]),
        Framing(&[b"content-length: 4", b"transfer-encoding: chunked"]),
        Framing(&[b"content-length: 4", b"transfer-encoding: chunkd"]),
        Framing(&[b"content-length: 4", b"transfer-encoding: identity"]);
    Chunks:
        Chunked(&[b"transfer-encoding:"]),
        Chunked(&[b"transfer-encoding: chunkd"]),
        Chunked(&[b"transfer-encoding: \"chunked\""]),
        Chunked(&[b"transfer-encoding: chunked;"]),
        Chunked(&[b"transfer-encoding: chunked;q=1"]),
        Chunked(&[b"transfer-encoding: chunked, gzip"]),
        Chunked(&[b"transfer-encoding: gzip, chunked"]),
        Chunked(&[b"transfer-encoding: chunked, chunked"]),
        Chunked(&[b"transfer-encoding: chunked,"]),
        Chunked(&[b"transfer-encoding: chunked chunked"]),
        Chunked(&[b"transfer-encoding: identity"]),
        Chunked(&[b"transfer-encoding: chunked\x0b"]),
        Chunked(&[b"transfer-encoding: chunked\xa0"]),
        Chunked(&[b"transfer-encoding: chunked", b"transfer-encoding: chunkd"]),
        Chunked(&[b"transfer-encoding: chunkd", b"transfer-encoding: chunked"]),
        Chunked(&[b"transfer-encoding: gzip", b"transfer-encoding: chunked"]),
        Chunked(&[b"transfer-encoding: chunked", b"content-length: 7"]),
        Chunked(&[b"content-length: 7", b"transfer-encoding: chunked"]),
        Chunked(&[b"transfer-encoding: chunked", b"content-length:"]),
        Chunked(&[b"transfer-encoding : chunked"]),
        Chunked(&[b"transfer-encoding\x00: chunked"]);
    Status:
        Status(b"000 OK"),
        Status(b"099 OK"),
        Status(b"100 OK"),
        Status(b"101 OK"),
        Status(b"199 OK"),
        Status(b"204 OK"),
        Status(b"600 OK"),
        Status(b"700 OK"),
        Status(b"999 OK"),
        Status(b"20 OK"),
        Status(b"2000 OK"),
        Status(b"2x0 OK"),
        Status(b"-20 OK"),
        Status(b"+20 OK"),
        Status(b"0xc OK"),
        Status(b"OK"),
        Status(b""),
        Status(b"200\x00"),
        Status(b"200 O\x01K"),
        Status(b"\xb2\xb0\xb0 OK");
    Version:
        Version(b""),
        Version(b"HTTP"),
        Version(b"HTTP/0.9"),
        Version(b"HTTP/1"),
        Version(b"HTTP/2.0"),
        Version(b"HTTP/9.1"),
        Version(b"HTTQ/1.1"),
        Version(b"http/1.1"),
        Version(b"HTTP/1.1\x00");
    Name:
        Add(b"x own: 1"),
        Add(b"x-own : 1"),
        Add(b"x-own\t: 1"),
        Add(b"x\x00own: 1"),
        Add(b"x\x01own: 1"),
        Add(b"x\x7fown: 1"),
        Add(b"x\xe9own: 1"),
        Add(b"x(own): 1"),
        Add(b"x/own: 1"),
        Add(b"\"x-own\": 1"),
        Add(b": 1"),
        Add(b" : 1"),
        AddFirst(b"x own: 1"),
        AddFirst(b"x\x01own: 1");
    Value:
        Add(b"x-more: a\x00b"),
        Add(b"x-more: a\x01b"),
        Add(b"x-more: a\x1bb"),
        Add(b"x-more: a\x7fb"),
        Add(b"x-more: a\rb"),
        Add(b"x-more: \x08"),
        AddFirst(b"x-more: a\x00b");
    Line:
        Add(b"no field"),
        Add(b"nofield"),
        Add(b"x-more"),
        Add(b" folded: 1"),
        Add(b"\tfolded"),
        Add(b"\x00"),
        Add(b"\rx-more: 1"),
        Add(b"=?"),
        AddFirst(b"nofield"),
        AddFirst(b" folded: 1"),
        AddFirst(b"HTTP/1.1 200 OK");
};

/// Changes after which a head is sound, of an answer whose body has four bytes.
pub const VARIANTS: &[Spoil] = changes! {
    Length:
        Framing(&[b"Content-Length: 4"]),
        Framing(&[b"CONTENT-LENGTH:4"]),
        Framing(&[b"content-length: \t 4 \t"]),
        Framing(&[b"content-length: 004"]);
    Chunks:
        Chunked(&[b"transfer-encoding: chunked"]),
        Chunked(&[b"Transfer-Encoding: Chunked"]),
        Chunked(&[b"TRANSFER-ENCODING:CHUNKED"]),
        Chunked(&[b"transfer-encoding:\t chunked \t"]);
    Status:
        Status(b"200 "),
        Status(b"200 Fine, thanks"),
        Status(b"200 \xe9t\xe9"),
        Status(b"201 Created"),
        Status(b"226 IM Used"),
        Status(b"299 X");
    Name:
        Add(b"x-!#$%&'*+.^_`|~-9: 1"),
        Add(b"X-More: 1"),
        AddFirst(b"x: 1");
    Value:
        Add(b"x-more:"),
        Add(b"x-more: "),
        Add(b"x-more: a\tb"),
        Add(b"x-more: \xc3\xa9\xff"),
        Add(b"x-more: a: b, \"c\"; d=e"),
        Add(b"x-more:1"),
        Add(b"x-own: again");
};

/// An answer and what was changed in it.
#[derive(Clone, Debug)]
pub struct Case {
    /// The changes, for people.
    pub name: String,
    /// The answer with them.
    pub answer: Answer,
}

/// Returns an answer with each of these changes, one at a time.
pub fn singles(answer: &Answer, spoils: &[Spoil]) -> Vec<Case> {
    let cases = spoils.iter().map(|spoil| Case {
        name: spoil.to_string(),
        answer: spoil.apply(answer),
    });
    cases.collect()
}

/// Returns an answer with two changes at a time, chosen at random, of which one at least spoils it.
pub fn pairs(answer: &Answer, count: usize, seed: u64) -> Vec<Case> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cases = (0..count).map(|_| {
        let (first, second) = choose_pair(&mut rng);
        Case {
            name: format!("{first}, {second}"),
            answer: second.apply(&first.apply(answer)),
        }
    });
    cases.collect()
}

/// Returns two changes of different parts, the first of which spoils a head.
fn choose_pair(rng: &mut impl Rng) -> (Spoil, Spoil) {
    let all: Vec<&Spoil> = SPOILS.iter().chain(VARIANTS).collect();
    loop {
        let first = SPOILS.choose(rng).expect("there are spoils");
        let second = all.choose(rng).expect("there are spoils");
        // Both tell the end of the body, so that the later one would undo the other.
        let tells_end = |spoil: &Spoil| matches!(spoil.part, Part::Length | Part::Chunks);
        if first.part != second.part && !(tells_end(first) && tells_end(second)) {
            return (*first, **second);
        }
    }
}
