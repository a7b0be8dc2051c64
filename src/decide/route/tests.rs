mod choice;
mod fixtures;
mod prefix;
