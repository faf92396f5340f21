//! Reading the tables of the platform's store, and the operator's orders in them.

pub(crate) mod compressed_rows;
pub(crate) mod feed;
pub(crate) mod orders;
pub(crate) mod restore;
pub(crate) mod table_views;
