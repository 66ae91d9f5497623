// Command scenario runs the demonstration.
package main

func main() {}
