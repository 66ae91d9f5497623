// Command entry takes callers' requests and operators' publishes.
package main

func main() {}
