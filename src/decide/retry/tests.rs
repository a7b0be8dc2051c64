mod budget;
mod evidence;
mod hedge;
mod limit;
