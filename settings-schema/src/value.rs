//! What a word may mean: kinds of values, their units, and how they are written back.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use ipnet::IpNet;

/// The kind of a word.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// An address and port, `127.0.0.1:80` or `[::1]:80`.
    Address,
    /// A network, `127.0.0.0/8`, or one address.
    Network,
    /// A time with its unit: `us`, `ms`, `s`, `m`, `h`; from and to, ms.
    Duration(u64, u64),
    /// A size with its unit: bytes, `KiB`, `MiB`, `GiB`; from and to.
    Size(u64, u64),
    /// `80%`; from and to.
    Percent(f64, f64),
    /// A whole number; from and to.
    Count(u64, u64),
    /// `on` or `off`.
    Switch,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// Any word that is not empty.
    Text,
    /// A path.
    Path,
    /// The name of a header field.
    Field,
    /// An octal file mode, `0600`.
    Mode,
}

/// A word's meaning.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// An address and port.
    Address(SocketAddr),
    /// A network.
    Network(IpNet),
    /// A time.
    Duration(Duration),
    /// A size, bytes.
    Size(u64),
    /// A share, in percent.
    Percent(f64),
    /// A number.
    Count(u64),
    /// On or off.
    Switch(bool),
    /// A word.
    Text(String),
    /// A path.
    Path(PathBuf),
    /// A file mode.
    Mode(u32),
}

/// The units of time, longest first for writing, in µs.
const TIMES: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];
/// The units of size.
const SIZES: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Kind {
    /// What is expected, in words.
    pub fn expects(self) -> String {
        let ms = |ms: u64| Value::Duration(Duration::from_millis(ms)).to_string();
        match self {
            Kind::Address => "an address and port, as 127.0.0.1:8701".into(),
            Kind::Network => "a network or an address, as 127.0.0.0/8".into(),
            Kind::Duration(from, to) => format!("a time with its unit, from {} to {}", ms(from), ms(to)),
            Kind::Size(from, to) => {
                format!("a size, from {} to {}", Value::Size(from), Value::Size(to))
            }
            Kind::Percent(from, to) => format!("a share from {from}% to {to}%"),
            Kind::Count(from, to) => format!("a whole number from {from} to {to}"),
            Kind::Switch => "on or off".into(),
            Kind::OneOf(words) => format!("one of {}", words.join(", ")),
            Kind::Text => "a word that is not empty".into(),
            Kind::Path => "a path".into(),
            Kind::Field => "the name of a header field".into(),
            Kind::Mode => "a file mode, as 0600".into(),
        }
    }

    /// The words of this kind, where they can be listed.
    pub fn words(self) -> &'static [&'static str] {
        match self {
            Kind::OneOf(words) => words,
            Kind::Switch => &["on", "off"],
            _ => &[],
        }
    }

    /// Reads a word.
    pub fn read(self, word: &str) -> Option<Value> {
        match self {
            Kind::Address => word.parse().ok().map(Value::Address),
            Kind::Network => {
                let one = || word.parse::<IpAddr>().ok().map(IpNet::from);
                word.parse().ok().or_else(one).map(Value::Network)
            }
            Kind::Duration(from, to) => {
                let micros = with_unit(word, &TIMES)?;
                let within = (from.saturating_mul(1000)..=to.saturating_mul(1000)).contains(&micros);
                within.then(|| Value::Duration(Duration::from_micros(micros)))
            }
            Kind::Size(from, to) => {
                let size = digits(word).or_else(|| with_unit(word, &SIZES))?;
                (from..=to).contains(&size).then_some(Value::Size(size))
            }
            Kind::Percent(from, to) => {
                let number = word.strip_suffix('%')?;
                let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
                let share: f64 = number.parse().ok().filter(|_| plain)?;
                (from..=to).contains(&share).then_some(Value::Percent(share))
            }
            Kind::Count(from, to) => digits(word).filter(|n| (from..=to).contains(n)).map(Value::Count),
            Kind::Switch => match word {
                "on" => Some(Value::Switch(true)),
                "off" => Some(Value::Switch(false)),
                _ => None,
            },
            Kind::OneOf(words) => words.contains(&word).then(|| Value::Text(word.into())),
            Kind::Text => (!word.is_empty()).then(|| Value::Text(word.into())),
            Kind::Path => (!word.is_empty()).then(|| Value::Path(word.into())),
            Kind::Field => {
                // A token of RFC 9110, section 5.6.2: a line break in it would be a field of its own.
                let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
                (!word.is_empty() && word.bytes().all(token)).then(|| Value::Text(word.into()))
            }
            Kind::Mode => {
                let octal = word.len() <= 4 && word.bytes().all(|b| (b'0'..=b'7').contains(&b));
                u32::from_str_radix(word, 8).ok().filter(|_| octal).map(Value::Mode)
            }
        }
    }
}

/// Digits only: `parse` alone would take a sign.
fn digits(word: &str) -> Option<u64> {
    word.parse().ok().filter(|_| word.bytes().all(|b| b.is_ascii_digit()))
}

fn with_unit(word: &str, units: &[(&str, u64)]) -> Option<u64> {
    let at = word.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = word.split_at(at);
    let (_, each) = units.iter().find(|(name, _)| *name == unit)?;
    digits(number)?.checked_mul(*each)
}

/// The largest unit in which it is a whole number.
fn in_unit(f: &mut fmt::Formatter<'_>, n: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = units.iter().find(|(_, each)| n > 0 && n % each == 0);
    let (name, each) = fits.or(units.last()).copied().unwrap_or(("", 1));
    write!(f, "{}{name}", n / each)
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Address(a) => write!(f, "{a}"),
            Value::Network(n) => write!(f, "{n}"),
            Value::Duration(d) => in_unit(f, d.as_micros() as u64, &TIMES),
            Value::Size(n) => in_unit(f, *n, &SIZES),
            Value::Percent(p) => write!(f, "{p}%"),
            Value::Count(n) => write!(f, "{n}"),
            Value::Switch(on) => f.write_str(if *on { "on" } else { "off" }),
            Value::Text(t) => f.write_str(t),
            Value::Path(p) => write!(f, "{}", p.display()),
            Value::Mode(m) => write!(f, "{m:04o}"),
        }
    }
}
