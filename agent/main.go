// Command agent is not written yet.
package main

func main() {}
