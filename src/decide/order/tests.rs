mod lease;
mod placement;
