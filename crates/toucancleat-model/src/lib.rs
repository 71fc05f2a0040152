//! Specifications of the core protocols, explored exhaustively.
