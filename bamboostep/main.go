// Command bamboostep is not written yet.
package main

func main() {}
