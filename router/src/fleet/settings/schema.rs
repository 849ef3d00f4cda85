//! Schema of section `fleet`.

use tallypin_settings_schema::{Directive, Kind, Section};

/// Maximum duration in the section: one minute, in ms.
const MINUTE_MS: u64 = 60_000;

/// Schema of the section. Its texts appear in the operator documentation.
pub const SECTION: Section = Section {
    name: "fleet",
    always_present: false,
    about: "drains that the routers of a fleet agree on",
    directives: &[
        Directive::required("name", &[Kind::Text], "the fleet's name; messages of another are not read"),
        Directive::required("me", &[Kind::Text], "which of its routers this is"),
        Directive::required(
            "key",
            &[Kind::Path],
            "a file with the key that signs messages, or two while they change",
        ),
        Directive::required(
            "router",
            &[Kind::Text, Kind::Address, Kind::Text],
            "a router, its address, its zone",
        )
        .many(),
        Directive::required("council", &[Kind::Text], "the routers that agree: 1, 3, 5 or 7 of them").rest(),
        Directive::required(
            "out-most",
            &[Kind::Text],
            "routers that may be out at once, a number or a share",
        ),
        Directive::required("out-zone", &[Kind::Text], "the same, of a zone; a share is of the smallest"),
        Directive::optional("nodes-out-most", &[Kind::Text], "model nodes that may be out by order at once"),
        Directive::optional("nodes-out-zone", &[Kind::Text], "the same, of a zone"),
        Directive::optional("nodes-out-kind", &[Kind::Text], "the same, of a kind of machine"),
        Directive::optional(
            "release",
            &[Kind::OneOf(&["settings", "configuration", "program"]), Kind::Path, Kind::Path],
            "a file that a release may change: where it is found, and the store with one for each digest",
        )
        .many(),
        Directive::optional(
            "store",
            &[Kind::Path],
            "where a member of the council stores what is agreed on, on a disk that lasts",
        ),
        Directive::with("beat", &[Kind::Duration(50, MINUTE_MS)], &["500ms"], "a router is heard so often"),
        Directive::with(
            "silent",
            &[Kind::Duration(100, MINUTE_MS)],
            &["3s"],
            "not heard for so long it is out",
        ),
        Directive::with(
            "lease",
            &[Kind::Duration(500, MINUTE_MS)],
            &["5s"],
            "a leave to go out is good for so long",
        ),
        Directive::with("answer", &[Kind::Duration(100, MINUTE_MS)], &["1s"], "a member answers within this"),
        Directive::with(
            "within",
            &[Kind::Duration(500, MINUTE_MS)],
            &["5s"],
            "an order is agreed on within this, or not",
        ),
    ],
    sections: &[],
};
