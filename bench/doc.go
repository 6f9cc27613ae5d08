// Package bench contains the measuring commands; each is a folder below cmd.
package bench
