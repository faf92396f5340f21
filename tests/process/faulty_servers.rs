//! Servers that send what is no answer.
