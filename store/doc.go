// Package store groups the replicated log: consensus, files and replicas.
package store
