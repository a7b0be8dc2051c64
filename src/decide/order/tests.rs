mod holder;
mod placement;
