mod choice;
mod names;
mod prefix;
