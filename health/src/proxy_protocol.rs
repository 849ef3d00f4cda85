//! The PROXY protocol, versions 1 and 2 (`proxy-protocol.txt` of HAProxy): a header by which a balancer names the client at
//! the start of a connection. The crate `ppp` parses headers; this module finds their ends, limits their length, and decides
//! who may send them.

use std::net::{IpAddr, SocketAddr};

use ipnet::IpNet;
use ppp::{v1, v2};

/// The result of parsing the start of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyHeader {
    /// The header is not complete yet.
    Incomplete,
    /// A header of this length in bytes, and the client's address.
    Proxied(usize, SocketAddr),
    /// A header of this length in bytes that names no client: a check by the balancer itself (`LOCAL`), or an address that is
    /// unknown or not an IP address.
    Local(usize),
    /// The header is missing or malformed, with the reason.
    Invalid(&'static str),
}

/// The signature of version 2.
const SIGNATURE: &[u8; 12] = b"\r\n\r\n\0\r\nQUIT\n";
/// Maximum length of a version 1 header, in bytes, with its line end.
const MAX_V1_LINE_BYTES: usize = 107;
/// Maximum length of a version 2 header, in bytes: addresses, and extensions of moderate length.
pub const MAX_HEADER_BYTES: usize = 4 << 10;

/// Parses the start of a connection.
pub fn parse(bytes: &[u8]) -> ProxyHeader {
    let may_start_with = |prefix: &[u8]| {
        let length = prefix.len().min(bytes.len());
        bytes[..length] == prefix[..length]
    };
    if may_start_with(SIGNATURE) {
        parse_v2(bytes)
    } else if may_start_with(b"PROXY ") {
        parse_v1(bytes)
    } else {
        ProxyHeader::Invalid("required PROXY header is missing")
    }
}

fn parse_v1(bytes: &[u8]) -> ProxyHeader {
    let end = bytes.windows(2).take(MAX_V1_LINE_BYTES - 1).position(|w| w == b"\r\n");
    let Some(end) = end else {
        return if bytes.len() >= MAX_V1_LINE_BYTES {
            ProxyHeader::Invalid("PROXY version 1 header has no line end")
        } else {
            ProxyHeader::Incomplete
        };
    };
    let length = end + 2;
    match v1::Header::try_from(&bytes[..length]) {
        Ok(header) => match header.addresses {
            v1::Addresses::Tcp4(a) => proxied(length, a.source_address.into(), a.source_port),
            v1::Addresses::Tcp6(a) => proxied(length, a.source_address.into(), a.source_port),
            v1::Addresses::Unknown => ProxyHeader::Local(length),
        },
        Err(_) => ProxyHeader::Invalid("PROXY version 1 header is malformed"),
    }
}

fn parse_v2(bytes: &[u8]) -> ProxyHeader {
    let Some((_, rest)) = bytes.split_first_chunk::<16>() else { return ProxyHeader::Incomplete };
    let payload_length = usize::from(u16::from_be_bytes([bytes[14], bytes[15]]));
    let length = 16 + payload_length;
    if length > MAX_HEADER_BYTES {
        return ProxyHeader::Invalid("PROXY version 2 header is too long");
    }
    if rest.len() < payload_length {
        return ProxyHeader::Incomplete;
    }
    match v2::Header::try_from(&bytes[..length]) {
        // The balancer's own connection: the addresses in the header must be ignored.
        Ok(header) if header.command == v2::Command::Local => ProxyHeader::Local(length),
        Ok(header) => match header.addresses {
            v2::Addresses::IPv4(a) => proxied(length, a.source_address.into(), a.source_port),
            v2::Addresses::IPv6(a) => proxied(length, a.source_address.into(), a.source_port),
            v2::Addresses::Unspecified | v2::Addresses::Unix(_) => ProxyHeader::Local(length),
        },
        Err(_) => ProxyHeader::Invalid("PROXY version 2 header is malformed"),
    }
}

fn proxied(length: usize, ip: IpAddr, port: u16) -> ProxyHeader {
    ProxyHeader::Proxied(length, SocketAddr::new(ip, port))
}

/// The networks whose connections must begin with a PROXY header. Headers from other senders are not trusted, as they could
/// claim any client address.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TrustedSenders {
    networks: Vec<IpNet>,
}

impl TrustedSenders {
    /// Creates the list from the networks of the balancers.
    pub fn new(networks: Vec<IpNet>) -> TrustedSenders {
        TrustedSenders { networks }
    }

    /// Whether connections from this address begin with a PROXY header.
    pub fn contains(&self, ip: IpAddr) -> bool {
        let ip = ip.to_canonical();
        self.networks.iter().any(|n| n.contains(&ip))
    }
}
