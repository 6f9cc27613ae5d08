// Package structs defines the entities, commands, messages, errors and time
// limits shared by the scheduler's packages. It holds data only: rules that
// change entities live in package state, decisions in package sched.
package structs
