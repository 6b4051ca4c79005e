//! Team limits that hold over all entries without shared state.
