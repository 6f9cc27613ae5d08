// Command gooseberryctl is the command line of operators and users.
package main

func main() {}
