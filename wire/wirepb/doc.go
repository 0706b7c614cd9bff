// Package wirepb holds the generated messages and services of the protocol
// between filberttrack's own processes.
package wirepb

//go:generate bash ../../tools/generate.sh
