//! The router around the decision module.
