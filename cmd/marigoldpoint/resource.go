package main

// resourceCommand groups the commands over resources.
type resourceCommand struct{}
