mod choice;
