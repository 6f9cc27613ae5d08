// Command gooseberryd runs one host of the scheduler.
package main

func main() {}
