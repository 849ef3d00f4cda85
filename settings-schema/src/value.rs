//! Kinds of argument values: how they are parsed, with their units and ranges, and how they are printed.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use ipnet::IpNet;

/// The kind of an argument.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// An address and port, `127.0.0.1:80` or `[::1]:80`.
    Address,
    /// An IP network, `127.0.0.0/8`, or a single address.
    Network,
    /// A duration with a unit (`us`, `ms`, `s`, `m`, `h`); minimum and maximum, ms.
    Duration(u64, u64),
    /// A size, in bytes or with a unit (`B`, `KiB`, `MiB`, `GiB`); minimum and maximum, bytes.
    Size(u64, u64),
    /// A percentage, `80%`; minimum and maximum.
    Percent(f64, f64),
    /// A whole number; minimum and maximum.
    Count(u64, u64),
    /// `on` or `off`.
    Switch,
    /// One of these keywords.
    OneOf(&'static [&'static str]),
    /// Any text that is not empty.
    Text,
    /// A path.
    Path,
    /// The name of a header field.
    Field,
    /// An octal file mode, `0600`.
    Mode,
}

/// The value of an argument.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// An address and port.
    Address(SocketAddr),
    /// An IP network.
    Network(IpNet),
    /// A duration.
    Duration(Duration),
    /// A size in bytes.
    Size(u64),
    /// A percentage, 0 to 100.
    Percent(f64),
    /// A whole number.
    Count(u64),
    /// On or off.
    Switch(bool),
    /// A text.
    Text(String),
    /// A path.
    Path(PathBuf),
    /// A file mode.
    Mode(u32),
}

/// The units of durations in µs, largest first.
const DURATION_UNITS: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];
/// The units of sizes in bytes, largest first.
const SIZE_UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Kind {
    /// A description of the accepted values, for error messages and help.
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
            Kind::OneOf(keywords) => format!("one of {}", keywords.join(", ")),
            Kind::Text => "a word that is not empty".into(),
            Kind::Path => "a path".into(),
            Kind::Field => "the name of a header field".into(),
            Kind::Mode => "a file mode, as 0600".into(),
        }
    }

    /// The accepted keywords, if the kind consists of keywords.
    pub fn keywords(self) -> &'static [&'static str] {
        match self {
            Kind::OneOf(keywords) => keywords,
            Kind::Switch => &["on", "off"],
            _ => &[],
        }
    }

    /// Parses an argument; `None` if it is malformed or out of range.
    pub fn parse(self, text: &str) -> Option<Value> {
        match self {
            Kind::Address => text.parse().ok().map(Value::Address),
            Kind::Network => {
                let one = || text.parse::<IpAddr>().ok().map(IpNet::from);
                text.parse().ok().or_else(one).map(Value::Network)
            }
            Kind::Duration(from, to) => {
                let micros = parse_with_unit(text, &DURATION_UNITS)?;
                let within = (from.saturating_mul(1000)..=to.saturating_mul(1000)).contains(&micros);
                within.then(|| Value::Duration(Duration::from_micros(micros)))
            }
            Kind::Size(from, to) => {
                let size = parse_digits(text).or_else(|| parse_with_unit(text, &SIZE_UNITS))?;
                (from..=to).contains(&size).then_some(Value::Size(size))
            }
            Kind::Percent(from, to) => {
                let number = text.strip_suffix('%')?;
                let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
                let share: f64 = number.parse().ok().filter(|_| plain)?;
                (from..=to).contains(&share).then_some(Value::Percent(share))
            }
            Kind::Count(from, to) => parse_digits(text).filter(|n| (from..=to).contains(n)).map(Value::Count),
            Kind::Switch => match text {
                "on" => Some(Value::Switch(true)),
                "off" => Some(Value::Switch(false)),
                _ => None,
            },
            Kind::OneOf(keywords) => keywords.contains(&text).then(|| Value::Text(text.into())),
            Kind::Text => (!text.is_empty()).then(|| Value::Text(text.into())),
            Kind::Path => (!text.is_empty()).then(|| Value::Path(text.into())),
            Kind::Field => {
                // A token of RFC 9110, section 5.6.2; a line break in a name would inject another header field.
                let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
                (!text.is_empty() && text.bytes().all(token)).then(|| Value::Text(text.into()))
            }
            Kind::Mode => {
                let octal = text.len() <= 4 && text.bytes().all(|b| (b'0'..=b'7').contains(&b));
                u32::from_str_radix(text, 8).ok().filter(|_| octal).map(Value::Mode)
            }
        }
    }
}

/// Parses a number of digits only; `parse` alone would accept a sign.
fn parse_digits(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Parses a number with a unit; the result is in the smallest unit of `units`.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(at);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    parse_digits(number)?.checked_mul(*factor)
}

/// Writes a number in the largest unit in which it is a whole number.
fn write_with_unit(f: &mut fmt::Formatter<'_>, n: u64, units: &[(&str, u64)]) -> fmt::Result {
    let largest = units.iter().find(|(_, factor)| n > 0 && n % factor == 0);
    let (name, factor) = largest.or(units.last()).copied().unwrap_or(("", 1));
    write!(f, "{}{name}", n / factor)
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Address(a) => write!(f, "{a}"),
            Value::Network(n) => write!(f, "{n}"),
            Value::Duration(d) => write_with_unit(f, d.as_micros() as u64, &DURATION_UNITS),
            Value::Size(n) => write_with_unit(f, *n, &SIZE_UNITS),
            Value::Percent(p) => write!(f, "{p}%"),
            Value::Count(n) => write!(f, "{n}"),
            Value::Switch(on) => f.write_str(if *on { "on" } else { "off" }),
            Value::Text(t) => f.write_str(t),
            Value::Path(p) => write!(f, "{}", p.display()),
            Value::Mode(m) => write!(f, "{m:04o}"),
        }
    }
}
