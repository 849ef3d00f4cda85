//! Structs that are JSON arrays on the wire, where an earlier version had tuples.

/// Implements the conversions from and to the tuple of all fields, for `#[serde(from = .., into = ..)]`.
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
