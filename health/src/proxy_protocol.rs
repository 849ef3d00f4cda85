//! The PROXY protocol, versions 1 and 2 (the specification that comes with HAProxy, `proxy-protocol.txt`): what
//! a balancer puts before a connection to say whose it is. The parsing is `ppp`'s; here stands where a preface
//! ends, how long it may be, and who may send one.

use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;
use ppp::{v1, v2};

/// What the start of a connection says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyHeader {
    /// Not whole yet.
    Incomplete,
    /// It has so many bytes, and the connection is from there.
    Proxied(usize, SocketAddr),
    /// It has so many bytes and names nobody: a check by the balancer itself (`LOCAL`), or an address that is
    /// not known or not of this network.
    Local(usize),
    /// There is none, or it can't be read.
    Invalid(&'static str),
}

/// The signature of version 2.
const SIGNATURE: &[u8; 12] = b"\r\n\r\n\0\r\nQUIT\n";
/// The longest line of version 1, its end included.
const MAX_V1_LINE_BYTES: usize = 107;
/// The longest preface of version 2 that is read: addresses, and extensions of moderate length.
pub const MAX_HEADER_BYTES: usize = 4 << 10;

/// Reads the start of a connection.
pub fn parse(bytes: &[u8]) -> ProxyHeader {
    let starts = |with: &[u8]| {
        let n = with.len().min(bytes.len());
        bytes[..n] == with[..n]
    };
    if starts(SIGNATURE) {
        version_2(bytes)
    } else if starts(b"PROXY ") {
        version_1(bytes)
    } else {
        ProxyHeader::Invalid("no PROXY preface where one is wanted")
    }
}

fn version_1(bytes: &[u8]) -> ProxyHeader {
    let end = bytes.windows(2).take(MAX_V1_LINE_BYTES - 1).position(|w| w == b"\r\n");
    let Some(end) = end else {
        return if bytes.len() >= MAX_V1_LINE_BYTES {
            ProxyHeader::Invalid("a PROXY line without an end")
        } else {
            ProxyHeader::Incomplete
        };
    };
    let length = end + 2;
    match v1::Header::try_from(&bytes[..length]) {
        Ok(header) => match header.addresses {
            v1::Addresses::Tcp4(a) => from(length, a.source_address.into(), a.source_port),
            v1::Addresses::Tcp6(a) => from(length, a.source_address.into(), a.source_port),
            v1::Addresses::Unknown => ProxyHeader::Local(length),
        },
        Err(_) => ProxyHeader::Invalid("a PROXY line that can't be read"),
    }
}

fn version_2(bytes: &[u8]) -> ProxyHeader {
    let Some((_, rest)) = bytes.split_first_chunk::<16>() else { return ProxyHeader::Incomplete };
    let claimed = usize::from(u16::from_be_bytes([bytes[14], bytes[15]]));
    let length = 16 + claimed;
    if length > MAX_HEADER_BYTES {
        return ProxyHeader::Invalid("a PROXY preface that is too long");
    }
    if rest.len() < claimed {
        return ProxyHeader::Incomplete;
    }
    match v2::Header::try_from(&bytes[..length]) {
        // The balancer's own connection: what addresses it may hold are to be skipped.
        Ok(header) if header.command == v2::Command::Local => ProxyHeader::Local(length),
        Ok(header) => match header.addresses {
            v2::Addresses::IPv4(a) => from(length, a.source_address.into(), a.source_port),
            v2::Addresses::IPv6(a) => from(length, a.source_address.into(), a.source_port),
            v2::Addresses::Unspecified | v2::Addresses::Unix(_) => ProxyHeader::Local(length),
        },
        Err(_) => ProxyHeader::Invalid("a PROXY preface that can't be read"),
    }
}

fn from(length: usize, ip: IpAddr, port: u16) -> ProxyHeader {
    ProxyHeader::Proxied(length, SocketAddr::new(ip, port))
}

/// Who may, and then must, send a preface. One that anybody could send would let anybody be anyone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TrustedSenders {
    networks: Vec<IpNet>,
}

impl TrustedSenders {
    /// The networks of the balancers.
    pub fn new(networks: Vec<IpNet>) -> TrustedSenders {
        TrustedSenders { networks }
    }

    /// Whether connections from there begin with a preface.
    pub fn contains(&self, ip: IpAddr) -> bool {
        let ip = ip.to_canonical();
        self.networks.iter().any(|n| n.contains(&ip))
    }
}
