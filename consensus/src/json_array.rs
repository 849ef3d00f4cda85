//! Structs that are JSON arrays on the wire, for compatibility with versions that used tuples.

/// Implements the conversions between a struct and the tuple of its fields, for `#[serde(from = .., into = ..)]`.
macro_rules! json_array {
    ($name:ident { $($field:ident: $kind:ty),+ }) => {
        impl From<($($kind),+)> for $name {
            fn from(($($field),+): ($($kind),+)) -> $name {
                $name { $($field),+ }
            }
        }

        impl From<$name> for ($($kind),+) {
            fn from(of: $name) -> ($($kind),+) {
                ($(of.$field),+)
            }
        }
    };
}
pub(crate) use json_array;
