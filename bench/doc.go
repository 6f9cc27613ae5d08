// Package bench holds the project's measuring commands.
package bench
